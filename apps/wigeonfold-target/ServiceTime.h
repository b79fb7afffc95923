// Service times of the target stand-in.
#pragma once

#include "TargetSettings.h"

#include <random>

namespace wigeonfold::target {

// Draws service times from a seeded mix of short and long requests, made
// slower during the cold start and in slow spells. Not thread safe.
class ServiceTime
{
public:
  ServiceTime(const ServiceTimeSettings& aSettings, TimePoint aStart);

  // aWork replaces the drawn time when the caller asked for one.
  Duration Draw(std::optional<Duration> aWork, TimePoint aNow);

  // True in a slow spell; the same for the same seed and time since the start.
  bool IsSlow(TimePoint aNow) const;

private:
  ServiceTimeSettings m_settings;
  TimePoint m_start;
  std::mt19937_64 m_random;
};

} // namespace wigeonfold::target
