#include "wigeonfold/consensus/Membership.h"

#include <algorithm>

namespace wigeonfold::consensus {
namespace {

Error ChangeError(ErrorCode aCode, MemberId aId, const std::string& aDetail)
{
  return Error{
    aCode, "change membership", "member " + std::to_string(aId), aDetail
  };
}

wire::Member* Find(wire::Membership& aMembership, MemberId aId)
{
  auto& members = aMembership.members;
  const auto found =
    std::find_if(members.begin(), members.end(), [aId](const auto& aMember) {
      return aMember.memberId == aId;
    });
  return found == members.end() ? nullptr : &*found;
}

bool IsLastVoter(const wire::Membership& aMembership,
                 const wire::Member& aMember)
{
  return aMember.voter && VoterCount(aMembership) == 1;
}

Result<wire::Membership> AddLearner(wire::Membership aMembership,
                                    wire::Member aMember)
{
  if (aMember.memberId <= 0) {
    return ChangeError(
      ErrorCode::InvalidArgument, aMember.memberId, "the id must be positive");
  }
  if (Find(aMembership, aMember.memberId) != nullptr) {
    return ChangeError(
      ErrorCode::Conflict, aMember.memberId, "already in the membership");
  }
  aMember.__set_voter(false);
  aMembership.members.push_back(std::move(aMember));
  return aMembership;
}

} // namespace

const char* ToString(MembershipChangeKind aKind)
{
  switch (aKind) {
    case MembershipChangeKind::AddLearner:
      return "add-learner";
    case MembershipChangeKind::Promote:
      return "promote";
    case MembershipChangeKind::Demote:
      return "demote";
    case MembershipChangeKind::Remove:
      return "remove";
  }
  return "unknown";
}

const wire::Member* FindMember(const wire::Membership& aMembership,
                               MemberId aId)
{
  const auto& members = aMembership.members;
  const auto found =
    std::find_if(members.begin(), members.end(), [aId](const auto& aMember) {
      return aMember.memberId == aId;
    });
  return found == members.end() ? nullptr : &*found;
}

bool IsVoter(const wire::Membership& aMembership, MemberId aId)
{
  const wire::Member* member = FindMember(aMembership, aId);
  return member != nullptr && member->voter;
}

size_t VoterCount(const wire::Membership& aMembership)
{
  const auto& members = aMembership.members;
  return static_cast<size_t>(
    std::count_if(members.begin(), members.end(), [](const auto& aMember) {
      return aMember.voter;
    }));
}

size_t QuorumSize(const wire::Membership& aMembership)
{
  return QuorumSizeAfterLoss(VoterCount(aMembership), 0);
}

size_t QuorumSizeAfterLoss(size_t aVoters, size_t aLost)
{
  const size_t left = aVoters - std::min(aLost, aVoters);
  return std::max(left / 2 + 1, (aVoters + 1) / 2);
}

Result<wire::Membership> ApplyChange(const wire::Membership& aMembership,
                                     const MembershipChange& aChange)
{
  const MemberId id = aChange.m_member.memberId;
  if (aChange.m_kind == MembershipChangeKind::AddLearner) {
    return AddLearner(aMembership, aChange.m_member);
  }
  wire::Membership changed = aMembership;
  wire::Member* member = Find(changed, id);
  if (member == nullptr) {
    return ChangeError(ErrorCode::NotFound, id, "not in the membership");
  }
  switch (aChange.m_kind) {
    case MembershipChangeKind::Promote:
      if (member->voter) {
        return ChangeError(ErrorCode::Conflict, id, "already a voter");
      }
      member->voter = true;
      break;
    case MembershipChangeKind::Demote:
      if (!member->voter || IsLastVoter(changed, *member)) {
        return ChangeError(
          ErrorCode::InvalidArgument, id, "is a learner or the last voter");
      }
      member->voter = false;
      break;
    case MembershipChangeKind::Remove:
      if (IsLastVoter(changed, *member)) {
        return ChangeError(ErrorCode::InvalidArgument, id, "is the last voter");
      }
      std::erase_if(changed.members, [id](const auto& aMember) {
        return aMember.memberId == id;
      });
      break;
    case MembershipChangeKind::AddLearner:
      break;
  }
  return changed;
}

} // namespace wigeonfold::consensus
