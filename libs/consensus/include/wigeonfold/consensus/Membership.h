// Membership of the replicated group and its single-step changes.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <cstdint>
#include <vector>

namespace wigeonfold::consensus {

using MemberId = int64_t;

enum class MembershipChangeKind
{
  AddLearner, // replicates the log, does not vote
  Promote,    // learner that has caught up becomes voter
  Demote,     // voter becomes learner
  Remove,     // leaves the membership
};

const char* ToString(MembershipChangeKind aKind);

struct MembershipChange
{
  MembershipChangeKind m_kind = MembershipChangeKind::AddLearner;
  // AddLearner uses all fields but voter; the other kinds only memberId.
  wire::Member m_member;
};

// A membership and the index of its log entry.
struct IndexedMembership
{
  int64_t m_index = 0;
  wire::Membership m_membership;
};

// Null when there is no such member.
const wire::Member* FindMember(const wire::Membership& aMembership,
                               MemberId aId);
bool IsVoter(const wire::Membership& aMembership, MemberId aId);
size_t VoterCount(const wire::Membership& aMembership);
// Smallest number of voters that is a majority.
size_t QuorumSize(const wire::Membership& aMembership);
// Votes that a group of aVoters needs once aLost of them are known to have lost
// their disks. Lost voters don't count among them. The quorum has a voter that
// is not lost in common with every majority of all voters, and with every other
// quorum of this kind: it is a majority of those that are left, and at least
// half of all. So an even group goes on with one vote less than a majority.
size_t QuorumSizeAfterLoss(size_t aVoters, size_t aLost);

// The membership after the change. Fails with NotFound when the member is not
// in the membership, and with InvalidArgument or Conflict on an impossible
// change, such as the removal of the last voter.
Result<wire::Membership> ApplyChange(const wire::Membership& aMembership,
                                     const MembershipChange& aChange);

} // namespace wigeonfold::consensus
