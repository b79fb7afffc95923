// Buckets in which nodes count the time that targets take to answer.
#pragma once

#include "wigeonfold/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wigeonfold::rollout {

// Counts of answers by latency, as in VersionRouteStats.latencyBuckets. Bucket
// 0 holds answers faster than 10 ms; the upper bound of each further bucket is
// 1.5 times that of the one before it, and the last one has no upper bound. It
// begins at 2.9 s, beyond the timeouts of most routes. Not thread safe.
class LatencyBuckets
{
public:
  static constexpr size_t kCount = 16;

  // The bucket of an answer that took aLatency. Thread safe.
  static size_t IndexOf(Duration aLatency);
  // Latencies in the bucket are below it; Duration::max() for the last one.
  // Precondition: aIndex < kCount. Thread safe.
  static Duration UpperBound(size_t aIndex);

  void Add(Duration aLatency) { ++m_counts[IndexOf(aLatency)]; }
  const std::array<int64_t, kCount>& Counts() const { return m_counts; }

private:
  std::array<int64_t, kCount> m_counts{};
};

} // namespace wigeonfold::rollout
