#include "wigeonfold/base/HybridClock.h"

#include <algorithm>

namespace wigeonfold {

namespace {

constexpr int kCounterBits = 16;

} // namespace

HybridTime HybridClock::Now(std::chrono::system_clock::time_point aWall)
{
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    aWall.time_since_epoch());
  const HybridTime wallStamp = static_cast<HybridTime>(wall.count())
                               << kCounterBits;
  HybridTime last = m_last.load();
  HybridTime next = 0;
  do {
    next = std::max(wallStamp, last + 1);
  } while (!m_last.compare_exchange_weak(last, next));
  return next;
}

void HybridClock::Observe(HybridTime aRemote)
{
  HybridTime last = m_last.load();
  while (last < aRemote && !m_last.compare_exchange_weak(last, aRemote)) {
  }
}

std::chrono::milliseconds WallPart(HybridTime aTime)
{
  return std::chrono::milliseconds(aTime >> kCounterBits);
}

HybridClock& ProcessClock()
{
  static HybridClock clock;
  return clock;
}

} // namespace wigeonfold
