#include "wigeonfold/forwarding/TargetHealth.h"

#include <algorithm>

namespace wigeonfold::forwarding {

namespace {

// Weight of the newest sample in the smoothed failure rate.
constexpr double kFailureWeight = 0.05;
// The newest sample of a route's slot time has a weight of 1/16.
constexpr int kWorkDivisor = 16;
// Assumed ratio of a latency objective to the usual response time.
constexpr int kObjectiveDivisor = 4;
// Weight of the newest answer in the smoothed size.
constexpr double kSizeWeight = 1.0 / 16;
constexpr size_t kAssumedLargeBytes = size_t{ 64 } << 10;
// The tables are cleared at this size, which drops routes that no longer exist.
constexpr size_t kMaxRoutes = 10'000;

} // namespace

void TargetHealth::Note(Outcome aOutcome)
{
  const bool failed =
    aOutcome == Outcome::AnsweredFailure || aOutcome == Outcome::Shed ||
    aOutcome == Outcome::TargetRefused || aOutcome == Outcome::TargetLost ||
    aOutcome == Outcome::AnswerUnusable;
  if (failed || aOutcome == Outcome::Answered) {
    m_failureRate += kFailureWeight * ((failed ? 1 : 0) - m_failureRate);
  }
}

void WorkEstimates::Note(const std::string& aRoute, Duration aWork)
{
  if (m_work.size() >= kMaxRoutes) {
    m_work.clear();
  }
  const auto [known, added] = m_work.emplace(aRoute, aWork);
  if (!added) {
    known->second += (aWork - known->second) / kWorkDivisor;
  }
}

Duration WorkEstimates::Expected(const std::string& aRoute,
                                 Duration aUntilObjective) const
{
  const auto known = m_work.find(aRoute);
  if (known != m_work.end()) {
    return known->second;
  }
  return std::max(aUntilObjective / kObjectiveDivisor, Duration::zero());
}

void AnswerSizes::Note(const std::string& aRoute, size_t aBytes)
{
  if (m_sizes.size() >= kMaxRoutes) {
    m_sizes.clear();
  }
  const auto bytes = static_cast<double>(aBytes);
  const auto [known, added] = m_sizes.emplace(aRoute, bytes);
  if (!added) {
    known->second += kSizeWeight * (bytes - known->second);
  }
}

size_t AnswerSizes::Expected(const std::string& aRoute, bool aLarge) const
{
  const auto known = m_sizes.find(aRoute);
  if (known != m_sizes.end()) {
    return static_cast<size_t>(known->second);
  }
  return aLarge ? kAssumedLargeBytes : 0;
}

} // namespace wigeonfold::forwarding
