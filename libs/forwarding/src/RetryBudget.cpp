#include "wigeonfold/forwarding/RetryBudget.h"

#include <algorithm>

namespace wigeonfold::forwarding {

void RetryBudget::OnFirstAttempt(int aPercent)
{
  m_hundredths = std::min(m_hundredths + aPercent, kMaxBalanceHundredths);
}

bool RetryBudget::TryRetry(int aPercent)
{
  if (aPercent == 0 || m_hundredths < 100) {
    return false;
  }
  m_hundredths -= 100;
  return true;
}

void RetryBudget::OnCallFromRetriedRequest()
{
  m_hundredths = std::max(m_hundredths - 100, -kMaxDebtHundredths);
}

} // namespace wigeonfold::forwarding
