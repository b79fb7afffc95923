// Guards against percentiles whose relative error exceeds the documented 1 %.
#include "wigeonfold/base/Histogram.h"

#include <gtest/gtest.h>

namespace wigeonfold {
namespace {

using namespace std::chrono_literals;

TEST(HistogramTest, PercentilesAreWithinOnePercent)
{
  LatencyHistogram histogram;
  constexpr int kValues = 10'000;
  for (int i = 1; i <= kValues; ++i) {
    histogram.Add(i * 10us);
  }
  for (const double percent : { 1.0, 50.0, 90.0, 99.0, 99.9 }) {
    const double exact = percent / 100 * kValues * 10;
    const auto found =
      static_cast<double>(ToMicroseconds(histogram.Percentile(percent)));
    EXPECT_NEAR(found, exact, exact * 0.011 + 1) << percent;
  }
  EXPECT_EQ(histogram.Percentile(100), histogram.Max());
  EXPECT_EQ(histogram.Max(), Duration(100ms));
}

TEST(HistogramTest, MergeAddsCountsAndKeepsTheMaximum)
{
  LatencyHistogram low;
  LatencyHistogram high;
  low.Add(1ms);
  high.Add(1h);
  low.Merge(high);
  EXPECT_EQ(low.Count(), 2U);
  EXPECT_EQ(low.Max(), Duration(1h));
  EXPECT_LT(low.Percentile(50), Duration(1100us));
}

TEST(HistogramTest, EmptyHistogramReportsZero)
{
  EXPECT_EQ(LatencyHistogram().Percentile(99), Duration::zero());
}

} // namespace
} // namespace wigeonfold
