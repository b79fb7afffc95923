#include "wigeonfold/consensus/LostDisks.h"

#include <algorithm>

namespace wigeonfold::consensus {

void LostDisks::Update(const wire::Membership& aCurrent,
                       const wire::Membership& aPrevious,
                       TimePoint aNow)
{
  std::map<MemberId, KnownMember> members;
  for (const auto* membership : { &aCurrent, &aPrevious }) {
    for (const wire::Member& member : membership->members) {
      const auto known = m_members.find(member.memberId);
      const bool isNew = known == m_members.end();
      members[member.memberId] = { member.peerAddress,
                                   isNew ? aNow : known->second.m_since };
    }
  }
  m_members = std::move(members);
}

bool LostDisks::IsLost(MemberId aId,
                       const std::map<MemberId, ControlVmState>& aVms) const
{
  const KnownMember& member = m_members.at(aId);
  return std::any_of(aVms.begin(), aVms.end(), [&](const auto& aVm) {
    const ControlVmState& vm = aVm.second;
    return aVm.first != aId && vm.m_hello.peerAddress == member.m_peerAddress &&
           vm.m_dialedAt && *vm.m_dialedAt > member.m_since;
  });
}

std::set<MemberId> LostDisks::Find(
  const std::map<MemberId, ControlVmState>& aVms) const
{
  std::set<MemberId> lost;
  for (const auto& [id, member] : m_members) {
    if (IsLost(id, aVms)) {
      lost.insert(id);
    }
  }
  return lost;
}

} // namespace wigeonfold::consensus
