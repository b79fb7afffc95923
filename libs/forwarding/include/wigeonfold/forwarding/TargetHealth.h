// What a node learns of its own target from the requests it serves there.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Outcome.h"

#include <string>
#include <unordered_map>

namespace wigeonfold::forwarding {

// Rate of requests that the target failed or shed, over the latest ones. Health
// answers can be wrong either way; these outcomes are first-hand. Not thread
// safe.
class TargetHealth
{
public:
  // Outcomes that say nothing about the target are ignored.
  void Note(Outcome aOutcome);
  int FailurePercent() const { return static_cast<int>(100 * m_failureRate); }

private:
  double m_failureRate = 0;
};

// Expected slot time of a request by its route. Not thread safe.
class WorkEstimates
{
public:
  void Note(const std::string& aRoute, Duration aWork);
  // A route that has not run here yet is assumed to take a quarter of the time
  // until its latency objective, since objectives are a few times the usual
  // time of an answer. Without an assumption the whole queue would fill after a
  // restart, and all that waits there would be answered late.
  Duration Expected(const std::string& aRoute, Duration aUntilObjective) const;

private:
  std::unordered_map<std::string, Duration> m_work; // smoothed
};

} // namespace wigeonfold::forwarding
