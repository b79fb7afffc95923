#include "wigeonfold/rollout/LatencyBuckets.h"

namespace wigeonfold::rollout {

namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBound = 10ms;

constexpr std::array<Duration, LatencyBuckets::kCount> MakeBounds()
{
  std::array<Duration, LatencyBuckets::kCount> bounds{};
  Duration bound = kFirstBound;
  for (size_t i = 0; i + 1 < bounds.size(); ++i) {
    bounds[i] = bound;
    bound = bound * 3 / 2;
  }
  bounds.back() = Duration::max();
  return bounds;
}

constexpr auto kBounds = MakeBounds();

} // namespace

size_t LatencyBuckets::IndexOf(Duration aLatency)
{
  size_t index = 0;
  while (index + 1 < kCount && aLatency >= kBounds[index]) {
    ++index;
  }
  return index;
}

Duration LatencyBuckets::UpperBound(size_t aIndex)
{
  return kBounds.at(aIndex);
}

} // namespace wigeonfold::rollout
