#include "wigeonfold/forwarding/RetryBudget.h"

#include <algorithm>

namespace wigeonfold::forwarding {

void RetryBudget::OnFirstAttempt(int aPercent)
{
  m_balanceHundredths =
    std::min(m_balanceHundredths + aPercent, kMaxBalanceHundredths);
}

bool RetryBudget::TryRetry(int aPercent)
{
  if (aPercent == 0 || m_balanceHundredths < 100) {
    return false;
  }
  m_balanceHundredths -= 100;
  return true;
}

void RetryBudget::Return()
{
  m_balanceHundredths =
    std::min(m_balanceHundredths + 100, kMaxBalanceHundredths);
}

void RetryBudget::OnCallFromRetriedRequest()
{
  m_balanceHundredths =
    std::max(m_balanceHundredths - 100, -kMaxDebtHundredths);
}

} // namespace wigeonfold::forwarding
