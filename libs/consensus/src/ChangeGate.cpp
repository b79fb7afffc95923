#include "wigeonfold/consensus/ChangeGate.h"

namespace wigeonfold::consensus {

ChangeGate::ChangeGate(size_t aLosses, const MembershipPolicyOptions& aOptions)
  : m_losses(aLosses)
  , m_options(aOptions)
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
  if (!HasReplacement(aMembership, aSelf, aVms, m_options, aNow)) {
    return true;
  }
  m_waitingSince = m_waitingSince.value_or(aNow);
  return aNow - *m_waitingSince >= kMaxWait;
}

} // namespace wigeonfold::consensus
