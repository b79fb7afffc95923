#include "wigeonfold/admission/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace wigeonfold::admission {

bool RateLimit::OnAnswer(std::optional<double> aPerSecond,
                         TimePoint aWritten,
                         TimePoint aNow)
{
  m_answered = true;
  if (!aPerSecond && aWritten < m_namedAt) {
    return false;
  }
  if (aPerSecond) {
    m_namedAt = aNow;
  }
  return Set(aPerSecond, aNow);
}

bool RateLimit::OnHint(double aPerSecond, TimePoint aNow)
{
  const bool isLimit = std::isfinite(aPerSecond) && aPerSecond >= 0;
  return isLimit && !m_answered && Set(aPerSecond, aNow);
}

bool RateLimit::Set(std::optional<double> aPerSecond, TimePoint aNow)
{
  if (aPerSecond == m_perSecond) {
    return false;
  }
  if (!m_perSecond) {
    // The requests that were sent before count for those that could have been
    // saved up.
    m_nextRegular = aNow + kBurst;
  }
  m_perSecond = aPerSecond;
  return true;
}

Duration RateLimit::Interval() const
{
  const std::chrono::duration<double> interval(
    1 / std::max(*m_perSecond, kMinPerSecond));
  return std::chrono::duration_cast<Duration>(interval);
}

Duration RateLimit::WaitFor(size_t aRequests, TimePoint aNow) const
{
  if (!m_perSecond) {
    return Duration::zero();
  }
  const TimePoint regular =
    std::max(m_nextRegular, aNow) +
    Interval() * static_cast<Duration::rep>(aRequests - 1);
  return std::max(regular - kBurst - aNow, Duration::zero());
}

void RateLimit::OnSent(TimePoint aNow)
{
  if (m_perSecond) {
    m_nextRegular = std::max(m_nextRegular, aNow) + Interval();
  }
}

} // namespace wigeonfold::admission
