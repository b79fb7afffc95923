#include "wigeonfold/admission/Link.h"

#include <algorithm>

namespace wigeonfold::admission {

Duration Link::TimeFor(size_t aBytes) const
{
  if (m_rate == 0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> seconds(static_cast<double>(aBytes) /
                                              static_cast<double>(m_rate));
  return std::chrono::duration_cast<Duration>(seconds);
}

void Link::OnSent(size_t aBytes, TimePoint aNow)
{
  m_idleAt = std::max(m_idleAt, aNow) + TimeFor(aBytes);
}

Duration Link::Backlog(TimePoint aNow) const
{
  return std::max(m_idleAt - aNow, Duration::zero());
}

} // namespace wigeonfold::admission
