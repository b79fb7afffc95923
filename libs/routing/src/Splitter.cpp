#include "wigeonfold/routing/Splitter.h"

#include <algorithm>
#include <numeric>

namespace wigeonfold::routing {

namespace {

// Upper bound of the random number of steps that a new rotation skips.
constexpr int kMaxSkippedSteps = 100;
// The table is cleared at this size, which drops routes that no longer exist.
constexpr size_t kMaxRoutes = 10'000;

} // namespace

Splitter::Splitter(uint64_t aSeed)
  : m_random(aSeed)
{
}

const RoutePart& Splitter::Next(const RequestRoute& aRoute)
{
  if (aRoute.m_parts.size() == 1) {
    return aRoute.m_parts.front();
  }
  std::vector<int64_t> weights;
  weights.reserve(aRoute.m_parts.size());
  for (const RoutePart& part : aRoute.m_parts) {
    weights.push_back(part.m_weight);
  }
  if (m_states.size() >= kMaxRoutes && m_states.count(aRoute.m_name) == 0) {
    m_states.clear();
  }
  State& state = m_states[aRoute.m_name];
  if (state.m_weights != weights) {
    state.m_credits.assign(weights.size(), 0);
    state.m_weights = std::move(weights);
    std::uniform_int_distribution<int> skippedSteps(0, kMaxSkippedSteps);
    for (int left = skippedSteps(m_random); left > 0; --left) {
      Step(state);
    }
  }
  return aRoute.m_parts[Step(state)];
}

size_t Splitter::Step(State& aState)
{
  const int64_t total = std::accumulate(
    aState.m_weights.begin(), aState.m_weights.end(), int64_t{ 0 });
  for (size_t i = 0; i < aState.m_credits.size(); ++i) {
    aState.m_credits[i] += aState.m_weights[i];
  }
  const auto best =
    std::max_element(aState.m_credits.begin(), aState.m_credits.end());
  *best -= total;
  return static_cast<size_t>(best - aState.m_credits.begin());
}

} // namespace wigeonfold::routing
