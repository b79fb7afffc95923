// Membership changes that need no operator.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/consensus/Membership.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace wigeonfold::consensus {

struct MembershipPolicyOptions
{
  // Voters to keep; odd, so that no half of the group has a quorum by a tie.
  size_t m_voters = 3;
  // A voter without contact for this long gives way to a learner that has
  // caught up. Longer than an election, so that a short stall moves nobody.
  Duration m_replaceAfter = std::chrono::milliseconds(1500);
  // A learner without contact for this long is removed.
  Duration m_removeAfter = std::chrono::seconds(30);
};

// What the leader knows of one control VM, by its member id.
struct ControlVmState
{
  wire::ControlHello m_hello;
  TimePoint m_helloAt{};
  TimePoint m_contactAt{}; // last message or open connection
};

struct MembershipStep
{
  MembershipChange m_change;
  const char* m_reason = "";
};

// The next single step of the leader, or nothing:
// - a member whose name or address answers under another id lost its disk and
//   is removed;
// - a control VM in contact that is no member is added as a learner;
// - a learner that has caught up is promoted while voters are missing;
// - a silent voter is demoted when a learner that has caught up can take its
//   place and the other voters in contact form a quorum without it;
// - a learner that has long been silent is removed.
// A removed id never votes again; its VM comes back as a learner. Precondition:
// no change is uncommitted. Thread safe.
std::optional<MembershipStep> NextMembershipStep(
  const wire::Membership& aMembership,
  MemberId aSelf,
  const std::map<MemberId, ControlVmState>& aVms,
  const std::set<MemberId>& aCaughtUp,
  const MembershipPolicyOptions& aOptions,
  TimePoint aNow);

// Whether this VM creates the cluster: it may, its folder is empty, every seed
// has said hello with an empty folder, and its address is the least among the
// seeds that may. aSeeds holds the other seeds' addresses. Thread safe.
bool MayFormCluster(const wire::ControlHello& aSelf,
                    const std::set<std::string>& aSeeds,
                    const std::map<MemberId, ControlVmState>& aVms);

} // namespace wigeonfold::consensus
