// Histogram of durations with a bounded relative error.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <memory>

namespace wigeonfold {

// Counts durations from 1 us to 1000 s in logarithmic bins that are 1 % wide;
// values outside count in the first or the last bin. Not thread safe.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(Duration aValue);
  void Merge(const LatencyHistogram& aOther);

  uint64_t Count() const { return m_count; }
  Duration Max() const { return m_max; }
  // Upper edge of the bin that holds the value at aPercent (0 to 100) of the
  // sorted values, at most the maximum; zero when there are no values.
  Duration Percentile(double aPercent) const;

private:
  struct Bins;

  std::unique_ptr<Bins> m_bins;
  uint64_t m_count = 0;
  Duration m_max = Duration::zero();
};

} // namespace wigeonfold
