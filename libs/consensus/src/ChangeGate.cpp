#include "wigeonfold/consensus/ChangeGate.h"

#include <algorithm>

namespace wigeonfold::consensus {

ChangeGate::ChangeGate(size_t aLosses, const MembershipPolicyOptions& aOptions)
  : m_losses(aLosses)
  , m_contactTimeout(aOptions.m_replaceAfter)
{
}

bool ChangeGate::MayAccept(const wire::Membership& aMembership,
                           MemberId aSelf,
                           const std::map<MemberId, ControlVmState>& aVms,
                           TimePoint aNow)
{
  const size_t voters = VoterCount(aMembership);
  if (voters <= m_losses) {
    return false;
  }
  if (voters >= 2 * m_losses + 1) {
    m_waitingSince.reset();
    return true;
  }
  const bool mayGrow =
    std::any_of(aVms.begin(), aVms.end(), [&](const auto& aVm) {
      return aVm.first != aSelf && !IsVoter(aMembership, aVm.first) &&
             aNow - aVm.second.m_contactAt < m_contactTimeout;
    });
  if (!mayGrow) {
    return true;
  }
  m_waitingSince = m_waitingSince.value_or(aNow);
  return aNow - *m_waitingSince >= kMaxWait;
}

} // namespace wigeonfold::consensus
