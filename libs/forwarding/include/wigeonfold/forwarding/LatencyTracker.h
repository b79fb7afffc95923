// Quantiles of the latency of recent answers.
#pragma once

#include "wigeonfold/base/Time.h"

#include <array>
#include <optional>

namespace wigeonfold::forwarding {

// Histogram with buckets of equal ratio whose counts decay, so that it follows
// a change of the latency within seconds, also after a burst that left many
// answers behind. Few answers don't decay below kMinAnswers, so that a route
// with little traffic has a quantile too. Not thread safe.
class LatencyTracker
{
public:
  void Note(Duration aLatency, TimePoint aNow);
  // Latency that the given part of the answers, 0 to 1, does not exceed, at
  // most 20 % too large. Nothing before kMinAnswers answers.
  std::optional<Duration> Quantile(double aPart) const;

  static constexpr int kMinAnswers = 30;

private:
  void Decay(TimePoint aNow);

  static constexpr size_t kBuckets = 64; // up to 97 s
  std::array<float, kBuckets> m_counts{};
  float m_total = 0;
  int m_seen = 0; // answers, at most kMinAnswers
  TimePoint m_decayedAt{};
};

} // namespace wigeonfold::forwarding
