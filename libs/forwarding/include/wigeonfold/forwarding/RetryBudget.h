// Limits the retries of a service to a percentage of its first attempts.
#pragma once

#include <cstdint>

namespace wigeonfold::forwarding {

// Token bucket filled by first attempts, so that retries can't multiply the
// load of a failing service. Over any period, retries are at most the balance
// at its start plus the given percentage of first attempts. Not thread safe.
class RetryBudget
{
public:
  // aPercent is the service's retry.budget-percent.
  void OnFirstAttempt(int aPercent);
  // Takes one retry; false if the budget is used up or aPercent is 0.
  bool TryRetry(int aPercent);
  // Reverts TryRetry() for a retry that its target's node refused.
  void Return();
  // Charges a first attempt that was made while serving a retried request, so
  // that the service would not have received it without that retry. It is never
  // refused, but may make the balance negative, which delays later retries.
  void OnCallFromRetriedRequest();

  // Retries available before first attempts have paid for them, for services
  // with little traffic. Small, since each node of a fleet has its own.
  static constexpr int64_t kInitialRetries = 1;
  // Limit of unused retries kept for a burst of failures, in hundredths of a
  // retry. The fleet's budget is the sum over its nodes.
  static constexpr int64_t kMaxBalanceHundredths = 150;
  // Limit of a negative balance, in hundredths of a retry; bounds how long
  // retries are delayed after the end of an outage.
  static constexpr int64_t kMaxDebtHundredths = 2000;

private:
  int64_t m_balanceHundredths = kInitialRetries * 100;
};

} // namespace wigeonfold::forwarding
