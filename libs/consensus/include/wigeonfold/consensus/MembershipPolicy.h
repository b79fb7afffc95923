// Decides membership changes that need no operator.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/consensus/Membership.h"
#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace wigeonfold::consensus {

struct MembershipPolicyOptions
{
  // Number of voters to maintain. Odd, so that no partition can split them into
  // two halves without a quorum.
  size_t m_voters = 3;
  // Voters beyond m_voters that are kept while all voters are in contact. With
  // one of them, a voter that ends for good and a lost disk leave a quorum even
  // at the same moment (QuorumSizeAfterLoss). 0 or 1.
  size_t m_standbyVoters = 0;
  // A voter without contact for this long is replaced by a learner that has
  // caught up. Longer than an election, so that a short stall replaces no one.
  Duration m_replaceAfter = std::chrono::milliseconds(1500);
  // A member that is up has been heard of within this time: three heartbeats.
  Duration m_recentContact = std::chrono::milliseconds(300);
  // A learner without contact for this long is removed.
  Duration m_removeAfter = std::chrono::seconds(30);
};

// What the leader knows of one control VM.
struct ControlVmState
{
  wire::ControlHello m_hello;
  TimePoint m_helloAt{};   // when m_hello arrived
  TimePoint m_contactAt{}; // last message, or last seen connected
  // Start of the newest connection that this VM opened to it and on which it
  // answered.
  std::optional<TimePoint> m_dialedAt;
};

struct MembershipStep
{
  MembershipChange m_change;
  const char* m_reason = ""; // for the event log
};

// The next membership change for the leader to propose, or nothing. In order of
// precedence:
// - a member is removed when a VM with its name or address has connected with
//   another member id, which means that the member lost its disk, and the other
//   voters in contact form a quorum without it;
// - a control VM in contact that is not a member is added as a learner;
// - a learner that has caught up is promoted while fewer voters than m_voters,
//   with the standby ones, stay, which are those that aren't stopping; one of a
//   zone with few voters first;
// - a voter that is stopping, the leader itself among them, is demoted once
//   m_voters others stay;
// - a voter beyond m_voters and the standby ones is demoted, preferably one
//   without contact, and a voter without contact beyond m_voters as well;
// - a learner that has caught up is promoted when a voter has no contact, which
//   is one too many then, if it and the voters in contact form a quorum;
// - a learner without contact for m_removeAfter is removed.
// aVms is keyed by member id; aCaughtUp holds the members whose log is up to
// date. A removed id never votes again; its VM rejoins as a learner.
// Precondition: no change is uncommitted. Thread safe.
std::optional<MembershipStep> NextMembershipStep(
  const wire::Membership& aMembership,
  MemberId aSelf,
  const std::map<MemberId, ControlVmState>& aVms,
  const std::set<MemberId>& aCaughtUp,
  const MembershipPolicyOptions& aOptions,
  TimePoint aNow);

// Whether a VM other than aSelf that is not a voter is in contact and not
// stopping, so that it may become a voter. Thread safe.
bool HasReplacement(const wire::Membership& aMembership,
                    MemberId aSelf,
                    const std::map<MemberId, ControlVmState>& aVms,
                    const MembershipPolicyOptions& aOptions,
                    TimePoint aNow);

// What Raft has to know of aVms, but for the lost disks. Thread safe.
VoterOutlook MakeVoterOutlook(const wire::Membership& aMembership,
                              MemberId aSelf,
                              const std::map<MemberId, ControlVmState>& aVms,
                              const MembershipPolicyOptions& aOptions,
                              TimePoint aNow);

// Whether a voter that is to stop should run on until it is demoted: a learner,
// or a VM in contact that may become one, can take its place or has taken it.
// While it is still listed it counts for the quorum. Without the wait, one
// disk that is lost right after its end leaves the group without a quorum.
// Thread safe.
bool ShouldAwaitDemotion(const wire::Membership& aMembership,
                         MemberId aSelf,
                         const std::map<MemberId, ControlVmState>& aVms,
                         const MembershipPolicyOptions& aOptions,
                         TimePoint aNow);

// Whether this VM is the one that creates the cluster: its configuration allows
// it, its data folder is empty, every seed has sent a hello with an empty data
// folder, and its address is the least among the seeds that are allowed to.
// Hellos of a VM that answers with a newer id by now don't count.
// aSeeds holds the peer addresses of the other seeds. Thread safe.
bool MayFormCluster(const wire::ControlHello& aSelf,
                    const std::set<std::string>& aSeeds,
                    const std::map<MemberId, ControlVmState>& aVms);

// The first membership that this VM creates: the seeds as voters, so that no
// single disk holds all of the new cluster, or this VM alone when there are
// fewer than three seeds or aOptions wants fewer voters. Precondition:
// MayFormCluster(). Thread safe.
wire::Membership FirstMembership(const wire::ControlHello& aSelf,
                                 const std::set<std::string>& aSeeds,
                                 const std::map<MemberId, ControlVmState>& aVms,
                                 const MembershipPolicyOptions& aOptions);

// The first membership of which another VM tells and aSelf is a voter; nullptr
// for none. Thread safe.
const wire::Membership* FindFormation(
  MemberId aSelf,
  const std::map<MemberId, ControlVmState>& aVms);

} // namespace wigeonfold::consensus
