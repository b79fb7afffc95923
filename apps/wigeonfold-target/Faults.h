// Faults of a bad software version of the stand-in target.
#pragma once

#include "TargetSettings.h"

#include <random>

namespace wigeonfold::target {

// Answers a share of the requests with failures and takes longer for all of
// them, from some time after the start on. Not thread safe.
class Faults
{
public:
  Faults(const FaultSettings& aSettings, TimePoint aStart);

  // Whether the request that ends now is answered with a failure. Draws nothing
  // while there are none.
  bool IsFailure(TimePoint aNow);
  // The service time of a request that starts now and would take aTime.
  Duration Prolong(Duration aTime, TimePoint aNow) const;

private:
  bool IsActive(TimePoint aNow) const;

  const FaultSettings m_settings;
  const TimePoint m_start;
  std::mt19937_64 m_random;
};

} // namespace wigeonfold::target
