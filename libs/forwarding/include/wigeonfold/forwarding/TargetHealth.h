// Measurements of a node's own target, from the requests that it serves.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Outcome.h"

#include <string>
#include <unordered_map>

namespace wigeonfold::forwarding {

// Rate of requests that the target failed or shed, smoothed over the most
// recent ones. Health checks can be wrong either way, so the rate is taken from
// the outcomes of requests. Not thread safe.
class TargetHealth
{
public:
  // Outcomes that say nothing about the target are ignored.
  void Note(Outcome aOutcome);
  int FailurePercent() const { return static_cast<int>(100 * m_failureRate); }

private:
  double m_failureRate = 0;
};

// Estimates the time that a request holds a slot, by route. Not thread safe.
class WorkEstimates
{
public:
  void Note(const std::string& aRoute, Duration aWork);
  // A route that has not run here yet is assumed to take a quarter of the time
  // until its latency objective, since objectives are a few times the usual
  // response time. Without an estimate the whole queue would fill after a
  // restart, and every request in it would be answered late.
  Duration Expected(const std::string& aRoute, Duration aUntilObjective) const;

private:
  std::unordered_map<std::string, Duration> m_work; // by route, smoothed
};

// Estimates the size of answers, by route. Not thread safe.
class AnswerSizes
{
public:
  void Note(const std::string& aRoute, size_t aBytes);
  // aLarge: the route is configured to have large answers, which are assumed to
  // have 64 KiB until one was seen.
  size_t Expected(const std::string& aRoute, bool aLarge) const;

private:
  std::unordered_map<std::string, double> m_sizes; // by route, smoothed
};

} // namespace wigeonfold::forwarding
