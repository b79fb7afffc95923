#include "wigeonfold/distribution/RolloutReports.h"

#include "wigeonfold/rollout/ServiceRollout.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>

namespace wigeonfold::distribution {

void RolloutReports::OnApplied(const settings::Tree& aTree)
{
  m_running = rollout::RunningRollouts(aTree);
}

void RolloutReports::SetStats(std::vector<wire::VersionRouteStats> aStats)
{
  for (const wire::VersionRouteStats& stats : aStats) {
    m_stats.erase(stats.serviceName);
  }
  for (wire::VersionRouteStats& stats : aStats) {
    m_stats[stats.serviceName].push_back(std::move(stats));
  }
}

void RolloutReports::AddTo(wire::NodeStatus& aStatus, TimePoint aNow)
{
  m_lastStatus = aNow;
  if (!IsRunning()) {
    return;
  }
  aStatus.__set_confirm(ToMicroseconds(aNow.time_since_epoch()));
  for (const std::string& service : m_running) {
    const auto known = m_stats.find(service);
    if (known != m_stats.end()) {
      aStatus.versionStats.insert(
        aStatus.versionStats.end(), known->second.begin(), known->second.end());
      aStatus.__isset.versionStats = true;
    }
  }
}

// The proof counts from the status that asked for it, however late the
// heartbeat arrives. A control VM without proof may have been cut off itself.
void RolloutReports::OnHeartbeat(const wire::Heartbeat& aBeat,
                                 const std::optional<Version>& aHeld)
{
  if (!IsRunning() || !aBeat.__isset.confirm || !aBeat.__isset.currentAgeMs ||
      !aHeld || *aHeld < wire::FromWire(aBeat.newest)) {
    return;
  }
  const TimePoint statusSentAt{ std::chrono::microseconds(aBeat.confirm) };
  const TimePoint currentAt =
    statusSentAt - std::chrono::milliseconds(aBeat.currentAgeMs);
  m_currentAsOf = std::max(m_currentAsOf.value_or(currentAt), currentAt);
}

bool RolloutReports::IsDue(TimePoint aNow) const
{
  return IsRunning() && aNow - m_lastStatus >= kPeriod;
}

} // namespace wigeonfold::distribution
