// Limits the rate at which sessions are opened.
#pragma once

#include "wigeonfold/base/Time.h"

#include <optional>

namespace wigeonfold::distribution {

// Token bucket that assigns each rejected hello its own retry delay. The delays
// are spaced by the rate, up to a maximum, so that nodes that were rejected
// together don't all return at once. Not thread safe.
class HelloLimit
{
public:
  // aRate is in hellos per second; aBurst is the capacity of the bucket.
  HelloLimit(double aRate, double aBurst);

  // Takes a token. Returns nothing when there was one, otherwise the delay
  // until the node should try again.
  std::optional<Duration> Acquire(TimePoint aNow);
  // Retry delay for a hello that is rejected for another reason; takes no
  // token.
  Duration NextSlot(TimePoint aNow);

private:
  const double m_rate;
  const double m_burst;
  double m_tokens;
  TimePoint m_refilledAt;
  TimePoint m_nextSlot;
};

} // namespace wigeonfold::distribution
