// The stages of a rollout and when it passes from one to the next.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/rollout/Judge.h"
#include "wigeonfold/rollout/Order.h"

#include <optional>
#include <string>

namespace wigeonfold::rollout {

// What is known of a running order.
struct PlanFacts
{
  Duration m_elapsed{}; // since the order
  Judgement m_judgement;
  // Time since the first answer of the version; nothing without one.
  std::optional<Duration> m_trialTime;
  // The version has targets for the service's load.
  bool m_hasTargets = false;
  // Time for which all nodes in contact have had the full stage in force.
  std::optional<Duration> m_fullEverywhere;
  // No other version has answered recently, as far as nodes reported.
  bool m_othersIdle = false;
  Duration m_longestTimeout{}; // of the requests to the service
};

struct PlannedStep
{
  StepKind m_kind = StepKind::RollBack;
  std::string m_reason;
};

// Parts of an order's duration.
inline constexpr double kCanaryPart = 0.55;    // the least for the canary stage
inline constexpr double kMaxCanaryPart = 0.7;  // for which it is extended
inline constexpr double kLatestFullPart = 0.9; // without full: rolled back
inline constexpr double kEndPart = 0.97;       // without a result: rolled back

// Time for which the full stage must have been in force everywhere before the
// order is completed, as the old targets are stopped then. Thread safe.
Duration HoldTime(Duration aLongestTimeout);
// Time from the order until which a good version stays in the canary stage. A
// version that turns bad after some seconds is found there at a small
// exposure, so the stage lasts as long as the stages after it permit. Thread
// safe.
Duration CanaryTime(Duration aDuration, Duration aLongestTimeout);

// The step to take now, if any. Precondition: aOrder is running. Thread safe.
std::optional<PlannedStep> PlanStep(const Order& aOrder,
                                    const PlanFacts& aFacts);

} // namespace wigeonfold::rollout
