// Plans membership changes, one member at a time.
#include "Json.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"

#include <algorithm>

namespace wigeonfold::registry {

namespace {

// The design's limit on control VMs (docs/design.md, section 2).
constexpr size_t kMaxMembers = 21;

const wire::Member* FindMember(const wire::Membership& aMembership, int64_t aId)
{
  for (const wire::Member& member : aMembership.members) {
    if (member.memberId == aId) {
      return &member;
    }
  }
  return nullptr;
}

MembershipPlan Refuse(const std::string& aText)
{
  return { PlanKind::Refused, {}, false, aText };
}

MembershipPlan AlreadyDone(const std::string& aText)
{
  return { PlanKind::Done, {}, true, aText };
}

std::string Describe(const wire::Member& aMember)
{
  return aMember.name + " (" + std::to_string(aMember.memberId) + ")";
}

bool SharesNameOrAddress(const wire::Member& aLeft, const wire::Member& aRight)
{
  return aLeft.name == aRight.name || aLeft.peerAddress == aRight.peerAddress ||
         aLeft.apiAddress == aRight.apiAddress;
}

MembershipPlan PlanAdd(const wire::Membership& aCurrent,
                       const wire::Member& aMember)
{
  if (const wire::Member* present = FindMember(aCurrent, aMember.memberId)) {
    wire::Member requested = aMember;
    requested.voter = present->voter;
    return requested == *present
             ? AlreadyDone(Describe(aMember) + " is a member")
             : Refuse(
                 "member id " + std::to_string(aMember.memberId) +
                 " belongs to a member with another name, zone or address");
  }
  for (const wire::Member& other : aCurrent.members) {
    if (SharesNameOrAddress(other, aMember)) {
      return Refuse("member " + Describe(other) +
                    " has the same name or address; remove or replace it");
    }
  }
  if (aCurrent.members.size() >= kMaxMembers) {
    return Refuse("the cluster has the maximum of " +
                  std::to_string(kMaxMembers) + " members already");
  }
  MembershipPlan plan{ PlanKind::Propose, aCurrent, true, "" };
  plan.m_next.members.push_back(aMember);
  plan.m_next.members.back().voter = false;
  plan.m_text = "add " + Describe(aMember) + " as a learner";
  return plan;
}

MembershipPlan PlanPromote(const wire::Membership& aCurrent,
                           int64_t aId,
                           const std::set<int64_t>& aCaughtUp)
{
  const wire::Member* member = FindMember(aCurrent, aId);
  if (member == nullptr) {
    return Refuse("no member " + std::to_string(aId));
  }
  if (member->voter) {
    return AlreadyDone(Describe(*member) + " is a voter");
  }
  if (aCaughtUp.count(aId) == 0) {
    return { PlanKind::Wait,
             {},
             false,
             "waiting until " + Describe(*member) + " has caught up" };
  }
  MembershipPlan plan{ PlanKind::Propose, aCurrent, true, "" };
  for (wire::Member& other : plan.m_next.members) {
    other.voter = other.voter || other.memberId == aId;
  }
  plan.m_text = "promote " + Describe(*member) + " to voter";
  return plan;
}

MembershipPlan PlanRemove(const wire::Membership& aCurrent, int64_t aId)
{
  const wire::Member* member = FindMember(aCurrent, aId);
  if (member == nullptr) {
    return AlreadyDone("member " + std::to_string(aId) +
                       " is not in the cluster");
  }
  const auto voters =
    std::count_if(aCurrent.members.begin(),
                  aCurrent.members.end(),
                  [](const wire::Member& aMember) { return aMember.voter; });
  if (member->voter && voters == 1) {
    return Refuse(Describe(*member) + " is the only voter");
  }
  MembershipPlan plan{ PlanKind::Propose, aCurrent, true, "" };
  std::erase_if(plan.m_next.members, [aId](const wire::Member& aMember) {
    return aMember.memberId == aId;
  });
  plan.m_text = "remove " + Describe(*member);
  return plan;
}

// Whether the new member of a replacement has to become a voter: when the
// replaced member is one. Once that member has been removed, an even number of
// voters is the only sign that it was a voter.
bool NeedsPromotion(const wire::Membership& aCurrent,
                    const wire::Member* aReplaced)
{
  if (aReplaced != nullptr) {
    return aReplaced->voter;
  }
  const auto voters =
    std::count_if(aCurrent.members.begin(),
                  aCurrent.members.end(),
                  [](const wire::Member& aMember) { return aMember.voter; });
  return voters % 2 == 0;
}

// A replaced member that shares no name or address with the new one stays until
// the new one votes, so that the cluster tolerates as many losses as before. A
// new member with the same name or address means that the old VM is gone. The
// old member is then removed first, because two members can't share an address.
MembershipPlan PlanReplace(const wire::Membership& aCurrent,
                           const MemberRequest& aRequest,
                           const std::set<int64_t>& aCaughtUp)
{
  const wire::Member& added = aRequest.m_member;
  const wire::Member* replaced = FindMember(aCurrent, aRequest.m_memberId);
  const bool present = FindMember(aCurrent, added.memberId) != nullptr;
  if (replaced == nullptr && !present && aCurrent.members.empty()) {
    return Refuse("no member " + std::to_string(aRequest.m_memberId));
  }
  MembershipPlan plan;
  if (replaced != nullptr && SharesNameOrAddress(*replaced, added)) {
    plan = PlanRemove(aCurrent, replaced->memberId);
    plan.m_isLastStep = false;
    return plan;
  }
  plan = PlanAdd(aCurrent, added);
  if (plan.m_kind != PlanKind::Done) {
    plan.m_isLastStep = false;
    return plan;
  }
  if (NeedsPromotion(aCurrent, replaced)) {
    plan = PlanPromote(aCurrent, added.memberId, aCaughtUp);
    if (plan.m_kind != PlanKind::Done) {
      plan.m_isLastStep = replaced == nullptr;
      return plan;
    }
  }
  return PlanRemove(aCurrent, aRequest.m_memberId);
}

} // namespace

MembershipPlan PlanMembership(const wire::Membership& aCurrent,
                              const MemberRequest& aRequest,
                              const std::set<int64_t>& aCaughtUp)
{
  switch (aRequest.m_action) {
    case MemberAction::Add:
      return PlanAdd(aCurrent, aRequest.m_member);
    case MemberAction::Promote:
      return PlanPromote(aCurrent, aRequest.m_memberId, aCaughtUp);
    case MemberAction::Remove:
      return PlanRemove(aCurrent, aRequest.m_memberId);
    case MemberAction::Replace:
      return PlanReplace(aCurrent, aRequest, aCaughtUp);
  }
  return Refuse("unknown action");
}

ApiReply FormatMembership(const MembershipPlan& aPlan)
{
  const Json body{ { "step", aPlan.m_text } };
  switch (aPlan.m_kind) {
    case PlanKind::Refused:
      return FormatProblem(409, aPlan.m_text);
    case PlanKind::Wait:
      return { 202, DumpJson(body), "" };
    case PlanKind::Propose:
      return { aPlan.m_isLastStep ? 200 : 202, DumpJson(body), "" };
    case PlanKind::Done:
      return { 200, DumpJson(body), "" };
  }
  return FormatProblem(500, "unknown plan");
}

} // namespace wigeonfold::registry
