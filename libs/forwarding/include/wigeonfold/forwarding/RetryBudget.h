// Limits retries of a service to a part of its first attempts.
#pragma once

#include <cstdint>

namespace wigeonfold::forwarding {

// Token bucket filled by first attempts, so that retries can't multiply the
// load of a service in trouble. Over any time, retries are at most kReserve
// plus the given percentage of first attempts. Not thread safe.
class RetryBudget
{
public:
  // aPercent is the service's retry.budget-percent.
  void OnFirstAttempt(int aPercent);
  // Takes one retry; false when the budget is used up or aPercent is 0.
  bool TryRetry(int aPercent);

  // A service with little traffic may retry this often before first attempts
  // have paid for it. Each node of a fleet has a reserve, so it is small.
  static constexpr int64_t kReserve = 2;
  // Unused retries kept for a burst of failures; the fleet's budget is the sum
  // over its nodes.
  static constexpr int64_t kMaxSaved = 3;

private:
  int64_t m_hundredths = kReserve * 100;
};

} // namespace wigeonfold::forwarding
