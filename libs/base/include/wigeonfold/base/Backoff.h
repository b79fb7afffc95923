// Delay before the next attempt to reconnect.
#pragma once

#include "wigeonfold/base/Time.h"

#include <random>

namespace wigeonfold {

// Exponential backoff with full jitter: each delay is uniform in
// [0, min(max, base * 2^failures)], so that clients that lost the same
// server do not all reconnect at once. Not thread safe.
class Backoff
{
public:
  Backoff(Duration aBase, Duration aMax, uint64_t aSeed);

  // Delay for the next attempt; each call counts as one more failure.
  Duration Next();
  // Call after a successful attempt.
  void Reset();

private:
  Duration m_base;
  Duration m_max;
  int m_failures = 0;
  std::mt19937_64 m_random;
};

} // namespace wigeonfold
