#include "wigeonfold/base/Histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace wigeonfold {

namespace histogram = boost::histogram;

namespace {

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr double kLowestUs = 1.0;
constexpr double kHighestUs = 1e9;
// ln(1e9) / ln(1.01): each bin is 1 % wider than the one before it.
constexpr int kBinCount = 2083;

} // namespace

struct LatencyHistogram::Bins
{
  decltype(histogram::make_histogram(
    Axis(kBinCount, kLowestUs, kHighestUs))) m_counts =
    histogram::make_histogram(Axis(kBinCount, kLowestUs, kHighestUs));
};

LatencyHistogram::LatencyHistogram()
  : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
  default;

void LatencyHistogram::Add(Duration aValue)
{
  const double us = std::chrono::duration<double, std::micro>(aValue).count();
  // 0.999 keeps the value below the upper edge of the axis, which is exclusive.
  m_bins->m_counts(std::clamp(us, kLowestUs, kHighestUs * 0.999));
  ++m_count;
  m_max = std::max(m_max, aValue);
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  m_bins->m_counts += aOther.m_bins->m_counts;
  m_count += aOther.m_count;
  m_max = std::max(m_max, aOther.m_max);
}

Duration LatencyHistogram::Percentile(double aPercent) const
{
  const auto rank = static_cast<uint64_t>(
    std::ceil(aPercent / 100.0 * static_cast<double>(m_count)));
  uint64_t seen = 0;
  const auto& axis = m_bins->m_counts.axis();
  for (int bin = 0; bin < axis.size(); ++bin) {
    seen += static_cast<uint64_t>(m_bins->m_counts.at(bin));
    if (seen >= rank && seen > 0) {
      const std::chrono::duration<double, std::micro> upper(
        axis.value(bin + 1));
      return std::min(m_max, std::chrono::duration_cast<Duration>(upper));
    }
  }
  return m_max;
}

} // namespace wigeonfold
