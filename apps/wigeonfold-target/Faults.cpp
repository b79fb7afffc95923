#include "Faults.h"

namespace wigeonfold::target {

namespace {

constexpr int kPerMille = 1000;
constexpr int kPercent = 100;

} // namespace

Faults::Faults(const FaultSettings& aSettings, TimePoint aStart)
  : m_settings(aSettings)
  , m_start(aStart)
  , m_random(aSettings.m_seed)
{
}

bool Faults::IsActive(TimePoint aNow) const
{
  return aNow - m_start >= m_settings.m_after;
}

bool Faults::IsFailure(TimePoint aNow)
{
  if (m_settings.m_failurePerMille == 0 || !IsActive(aNow)) {
    return false;
  }
  std::uniform_int_distribution<int> perMille(0, kPerMille - 1);
  return perMille(m_random) < m_settings.m_failurePerMille;
}

Duration Faults::Prolong(Duration aTime, TimePoint aNow) const
{
  return IsActive(aNow) ? aTime * m_settings.m_factorPercent / kPercent : aTime;
}

} // namespace wigeonfold::target
