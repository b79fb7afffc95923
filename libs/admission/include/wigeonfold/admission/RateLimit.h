// Limit on the requests per second that a target gets.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstddef>
#include <optional>

namespace wigeonfold::admission {

// Token bucket for the requests that are sent to one target, with the limit
// that the target itself names in its answers. Without a limit nothing waits.
// Deterministic; not thread safe.
class RateLimit
{
public:
  // An answer of the target named this limit in requests per second, or none.
  // aWritten is the time at which its request was written: answers arrive out
  // of order, so only one to a later request than the last answer with a limit
  // ends the limit. Returns whether PerSecond() has changed.
  bool OnAnswer(std::optional<double> aPerSecond,
                TimePoint aWritten,
                TimePoint aNow);
  // Another node knows this limit. Counts only until the target answers; what
  // is no finite number >= 0 is ignored.
  bool OnHint(double aPerSecond, TimePoint aNow);
  // Another start of the target: nothing is known of its limit.
  void Reset() { *this = RateLimit(); }

  // The limit as the target named it; nothing without a limit.
  std::optional<double> PerSecond() const { return m_perSecond; }
  // Time until aRequests more requests may have been sent; zero: now.
  // Precondition: aRequests > 0.
  Duration WaitFor(size_t aRequests, TimePoint aNow) const;
  void OnSent(TimePoint aNow);

  // A limit below this counts as this: a target that got no request could not
  // say that its limit has ended.
  static constexpr double kMinPerSecond = 0.5;
  // Requests saved up for this time may be sent at once.
  static constexpr Duration kBurst = std::chrono::milliseconds(500);

private:
  Duration Interval() const;
  bool Set(std::optional<double> aPerSecond, TimePoint aNow);

  std::optional<double> m_perSecond;
  bool m_answered = false;   // the target has answered
  TimePoint m_namedAt{};     // when an answer named a limit last
  TimePoint m_nextRegular{}; // of the next request without any burst
};

} // namespace wigeonfold::admission
