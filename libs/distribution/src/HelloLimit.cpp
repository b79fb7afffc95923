#include "wigeonfold/distribution/HelloLimit.h"

#include <algorithm>

namespace wigeonfold::distribution {

namespace {

// Shortest retry delay: several reconnect round trips.
constexpr std::chrono::milliseconds kMinWait{ 200 };
// Longest retry delay. A longer one would exceed the backoff that a node uses
// by itself.
constexpr std::chrono::seconds kMaxWait{ 30 };

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

HelloLimit::HelloLimit(double aRate, double aBurst)
  : m_rate(aRate)
  , m_burst(aBurst)
  , m_tokens(aBurst)
{
}

std::optional<Duration> HelloLimit::Acquire(TimePoint aNow)
{
  if (aNow > m_refilledAt) {
    const double refill = Seconds(aNow - m_refilledAt) * m_rate;
    m_tokens = std::min(m_burst, m_tokens + refill);
    m_refilledAt = aNow;
  }
  if (m_tokens >= 1) {
    m_tokens -= 1;
    return std::nullopt;
  }
  return NextSlot(aNow);
}

Duration HelloLimit::NextSlot(TimePoint aNow)
{
  m_nextSlot = std::max(m_nextSlot, aNow + kMinWait) + FromSeconds(1 / m_rate);
  m_nextSlot = std::min<TimePoint>(m_nextSlot, aNow + kMaxWait);
  return m_nextSlot - aNow;
}

} // namespace wigeonfold::distribution
