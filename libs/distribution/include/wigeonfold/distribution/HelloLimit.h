// Bounds the rate at which sessions begin.
#pragma once

#include "wigeonfold/base/Time.h"

#include <optional>

namespace wigeonfold::distribution {

// Token bucket that gives each caller it turns away a time of its own to come
// back, spaced by the rate, so that a herd returns spread out and not at once.
// Not thread safe.
class HelloLimit
{
public:
  // aRate is in hellos a second.
  HelloLimit(double aRate, double aBurst);

  // Nothing when the hello is taken, otherwise the time to wait.
  std::optional<Duration> Acquire(TimePoint aNow);
  // A time to come back for a hello that is turned away for another reason.
  Duration NextSlot(TimePoint aNow);

private:
  const double m_rate;
  const double m_burst;
  double m_tokens;
  TimePoint m_refilledAt;
  TimePoint m_nextSlot;
};

} // namespace wigeonfold::distribution
