// Service times of the stand-in target.
#pragma once

#include "TargetSettings.h"

#include <random>

namespace wigeonfold::target {

// Draws service times from a seeded mix of short and long requests. They are
// multiplied during the cold start and in slow spells. Not thread safe.
class ServiceTime
{
public:
  ServiceTime(const ServiceTimeSettings& aSettings, TimePoint aStart);

  // aWork: service time that the request asks for, used instead of a drawn one.
  Duration Draw(std::optional<Duration> aWork, TimePoint aNow);

  // True in a slow spell. Depends only on the seed and the time since the
  // start.
  bool IsSlow(TimePoint aNow) const;

private:
  ServiceTimeSettings m_settings;
  TimePoint m_start;
  std::mt19937_64 m_random;
};

} // namespace wigeonfold::target
