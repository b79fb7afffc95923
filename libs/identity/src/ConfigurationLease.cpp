#include "wigeonfold/identity/ConfigurationLease.h"

#include <algorithm>

namespace wigeonfold::identity {

ConfigurationLease::ConfigurationLease(LeaseSettings aSettings)
  : m_settings(aSettings)
{
}

void ConfigurationLease::OnConfirmed(const Confirmation& aConfirmation)
{
  if (m_inForce && *m_inForce >= aConfirmation.m_version) {
    m_currentAsOf =
      std::max(m_currentAsOf, std::optional(aConfirmation.m_currentAsOf));
    return;
  }
  if (!m_pending || m_pending->m_version <= aConfirmation.m_version) {
    m_pending = aConfirmation;
  }
}

void ConfigurationLease::OnInForce(const Version& aVersion)
{
  m_inForce = aVersion;
  TakeOver();
}

void ConfigurationLease::TakeOver()
{
  if (m_pending && *m_inForce >= m_pending->m_version) {
    m_currentAsOf =
      std::max(m_currentAsOf, std::optional(m_pending->m_currentAsOf));
    m_pending.reset();
  }
}

bool ConfigurationLease::MayServe(TimePoint aNow) const
{
  return !m_settings.m_strict ||
         IsCurrentWithin(m_settings.m_bound - kMargin, aNow);
}

bool ConfigurationLease::KnowsAllKeys(TimePoint aNow) const
{
  return m_settings.m_strict ? MayServe(aNow) : IsCurrentWithin(kRecent, aNow);
}

bool ConfigurationLease::IsCurrentWithin(Duration aAge, TimePoint aNow) const
{
  return m_currentAsOf && aNow - *m_currentAsOf <= aAge;
}

} // namespace wigeonfold::identity
