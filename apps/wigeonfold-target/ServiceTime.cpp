#include "ServiceTime.h"

namespace wigeonfold::target {

namespace {

constexpr int kPerMille = 1000;
constexpr int kPercent = 100;

} // namespace

ServiceTime::ServiceTime(const ServiceTimeSettings& aSettings, TimePoint aStart)
  : m_settings(aSettings)
  , m_start(aStart)
  , m_random(aSettings.m_seed)
{
}

Duration ServiceTime::Draw(std::optional<Duration> aWork, TimePoint aNow)
{
  std::uniform_int_distribution<int> perMille(0, kPerMille - 1);
  const bool isLong = perMille(m_random) < m_settings.m_longPerMille;
  Duration time =
    aWork.value_or(isLong ? m_settings.m_long : m_settings.m_short);
  if (aNow - m_start < m_settings.m_coldLength) {
    time = time * m_settings.m_coldFactorPercent / kPercent;
  }
  if (IsSlow(aNow)) {
    time = time * m_settings.m_slowFactorPercent / kPercent;
  }
  return time;
}

bool ServiceTime::IsSlow(TimePoint aNow) const
{
  if (m_settings.m_slowPercent == 0) {
    return false;
  }
  const auto period = (aNow - m_start) / m_settings.m_slowPeriod;
  const Duration offset = (aNow - m_start) % m_settings.m_slowPeriod;
  // Each period has its own random engine, so that the spells don't depend on
  // how often this is called.
  std::seed_seq seed{ m_settings.m_seed, static_cast<uint64_t>(period) };
  std::mt19937 random(seed);
  std::uniform_int_distribution<int> percent(0, kPercent - 1);
  return percent(random) < m_settings.m_slowPercent &&
         offset < m_settings.m_slowLength;
}

} // namespace wigeonfold::target
