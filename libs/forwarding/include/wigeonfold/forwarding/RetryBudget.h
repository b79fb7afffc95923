// Limits retries of a service to a part of its first attempts.
#pragma once

#include <cstdint>

namespace wigeonfold::forwarding {

// Token bucket filled by first attempts, so that retries can't multiply the
// load of a service in trouble. Over any time, retries are at most what is
// saved plus the given percentage of first attempts. Not thread safe.
class RetryBudget
{
public:
  // aPercent is the service's retry.budget-percent.
  void OnFirstAttempt(int aPercent);
  // Takes one retry; false when the budget is used up or aPercent is 0.
  bool TryRetry(int aPercent);
  // A first attempt that the service would not have received but for a retry
  // elsewhere: the request was made by work that ran again. It is not refused,
  // but later retries wait until it is paid for.
  void OnCallFromRetriedRequest();

  // A service with little traffic may retry this often before first attempts
  // have paid for it. Each node of a fleet has a reserve, so it is small.
  static constexpr int64_t kInitialRetries = 1;
  // Unused retries kept for a burst of failures, in hundredths. The fleet's
  // budget is the sum over its nodes.
  static constexpr int64_t kMaxBalanceHundredths = 150;
  // Bounds how long an outage is paid for after its end.
  static constexpr int64_t kMaxDebtHundredths = 2000;

private:
  int64_t m_hundredths = kInitialRetries * 100;
};

} // namespace wigeonfold::forwarding
