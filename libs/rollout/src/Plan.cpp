#include "wigeonfold/rollout/Plan.h"

#include <algorithm>
#include <cmath>

namespace wigeonfold::rollout {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMaxHold = 2s;
// From the proposal of the full stage until it is in force everywhere; longer
// than an election.
constexpr Duration kFullReserve = 2s;
// The version must have answered for this part of the duration before the full
// stage, but not longer than kMaxTrial.
constexpr double kTrialPart = 0.2;
constexpr Duration kMaxTrial = 3s;

Duration Part(Duration aDuration, double aPart)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(aDuration) * aPart);
}

std::string Percent(double aPart)
{
  return std::to_string(std::lround(aPart * 100)) + " %";
}

// Why the full stage can't begin yet; nothing when it can.
std::optional<std::string> FullObstacle(const Order& aOrder,
                                        const PlanFacts& aFacts)
{
  const Duration duration = aOrder.m_duration;
  const Duration trial = std::min(kMaxTrial, Part(duration, kTrialPart));
  const Duration hold = HoldTime(aFacts.m_longestTimeout);
  if (!aFacts.m_trialTime) {
    return "the version has not answered any request";
  }
  if (aFacts.m_judgement.m_verdict != Verdict::Accepted) {
    return "the tests have not accepted the version";
  }
  if (*aFacts.m_trialTime < trial) {
    return "the version has not answered for long enough";
  }
  if (!aFacts.m_hasTargets) {
    return "the version has too few targets";
  }
  if (aFacts.m_elapsed + hold >= Part(duration, kEndPart)) {
    return "too little time is left for the full stage";
  }
  return std::nullopt;
}

std::optional<PlannedStep> PlanCanary(const Order& aOrder,
                                      const PlanFacts& aFacts)
{
  const Duration duration = aOrder.m_duration;
  const auto obstacle = FullObstacle(aOrder, aFacts);
  if (obstacle && aFacts.m_elapsed >= Part(duration, kLatestFullPart)) {
    return PlannedStep{ StepKind::RollBack,
                        *obstacle + " at " + Percent(kLatestFullPart) +
                          " of the duration" };
  }
  const Duration least = CanaryTime(duration, aFacts.m_longestTimeout);
  if (obstacle || aFacts.m_elapsed < least) {
    return std::nullopt;
  }
  return PlannedStep{ StepKind::Full, aFacts.m_judgement.m_reason };
}

std::optional<PlannedStep> PlanFull(const PlanFacts& aFacts)
{
  const bool held =
    aFacts.m_fullEverywhere &&
    *aFacts.m_fullEverywhere >= HoldTime(aFacts.m_longestTimeout);
  if (!held || !aFacts.m_othersIdle ||
      aFacts.m_judgement.m_verdict != Verdict::Accepted) {
    return std::nullopt;
  }
  return PlannedStep{ StepKind::Complete, aFacts.m_judgement.m_reason };
}

} // namespace

Duration HoldTime(Duration aLongestTimeout)
{
  return std::min(aLongestTimeout, kMaxHold);
}

Duration CanaryTime(Duration aDuration, Duration aLongestTimeout)
{
  return std::clamp(Part(aDuration, kEndPart) - HoldTime(aLongestTimeout) -
                      kFullReserve,
                    Part(aDuration, kCanaryPart),
                    Part(aDuration, kMaxCanaryPart));
}

std::optional<PlannedStep> PlanStep(const Order& aOrder,
                                    const PlanFacts& aFacts)
{
  if (aFacts.m_judgement.m_verdict == Verdict::Rejected) {
    return PlannedStep{ StepKind::RollBack, aFacts.m_judgement.m_reason };
  }
  if (aFacts.m_elapsed >= Part(aOrder.m_duration, kEndPart)) {
    return PlannedStep{ StepKind::RollBack,
                        "not completed at " + Percent(kEndPart) +
                          " of the duration" };
  }
  return aOrder.m_stage == Stage::Canary ? PlanCanary(aOrder, aFacts)
                                         : PlanFull(aFacts);
}

} // namespace wigeonfold::rollout
