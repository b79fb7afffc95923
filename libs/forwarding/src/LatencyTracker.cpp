#include "wigeonfold/forwarding/LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace wigeonfold::forwarding {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Upper bound of the first bucket, and the ratio of the bounds of two adjacent
// ones. Hedges are timed in steps of 10 ms, so a finer histogram gains nothing.
constexpr double kFirstBoundMs = 1;
constexpr double kRatio = 1.2;
// After two half-lives most of the weight lies on answers since then.
constexpr Duration kHalfLife = std::chrono::seconds(3);
constexpr Duration kDecayInterval = std::chrono::milliseconds(250);

} // namespace

void LatencyTracker::Note(Duration aLatency, TimePoint aNow)
{
  Decay(aNow);
  const double ratio = Milliseconds(aLatency).count() / kFirstBoundMs;
  const double bucket =
    ratio <= 1 ? 0 : std::ceil(std::log(ratio) / std::log(kRatio));
  ++m_counts[std::min(static_cast<size_t>(bucket), kBuckets - 1)];
  ++m_total;
  m_seen = std::min(m_seen + 1, kMinAnswers);
}

std::optional<Duration> LatencyTracker::Quantile(double aPart) const
{
  if (m_seen < kMinAnswers) {
    return std::nullopt;
  }
  const double wanted = aPart * m_total;
  double counted = 0;
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && counted + m_counts[bucket] < wanted) {
    counted += m_counts[bucket++];
  }
  const Milliseconds bound(kFirstBoundMs *
                           std::pow(kRatio, static_cast<double>(bucket)));
  return std::chrono::duration_cast<Duration>(bound);
}

void LatencyTracker::Decay(TimePoint aNow)
{
  const Duration elapsed = aNow - m_decayedAt;
  if (elapsed < kDecayInterval) {
    return;
  }
  m_decayedAt = aNow;
  if (m_total <= kMinAnswers) {
    return;
  }
  const double halfLives = std::chrono::duration<double>(elapsed) / kHalfLife;
  const auto factor = static_cast<float>(
    std::max(std::exp2(-halfLives), double{ kMinAnswers } / m_total));
  for (float& count : m_counts) {
    count *= factor;
  }
  m_total *= factor;
}

} // namespace wigeonfold::forwarding
