#include "RolloutSide.h"

#include "wigeonfold/settings/Schema.h"

namespace wigeonfold::node {

using namespace std::chrono_literals;

namespace {

// The control VMs must hear of a bad version soon, and of each running rollout
// at least every 300 ms.
constexpr Duration kReportPeriod = 250ms;

} // namespace

RolloutSide::RolloutSide(const forwarding::VersionStats& aStats,
                         EventLog& aLog,
                         std::function<void(VersionStatsList)> aReport)
  : m_stats(aStats)
  , m_log(aLog)
  , m_report(std::move(aReport))
{
}

void RolloutSide::SetView(const routing::View& aView, TimePoint aNow)
{
  std::map<std::string, Logged> phases;
  std::vector<std::string> running;
  for (const std::string& name :
       aView.Settings().Children(settings::kRollouts)) {
    const routing::ServiceRoute* service = aView.Find(name);
    if (service == nullptr || !service->m_rollout) {
      continue;
    }
    const rollout::ServiceRollout& order = *service->m_rollout;
    const Logged phase{ order.m_orderId, order.m_phase };
    phases[name] = phase;
    if (order.IsRunning()) {
      running.push_back(name);
    }
    const auto logged = m_logged.find(name);
    if (logged == m_logged.end() || logged->second != phase) {
      m_log.Record(EventId::RolloutPhaseApplied,
                   { { "service", name },
                     { "software", order.m_version },
                     { "phase", rollout::ToString(order.m_phase) },
                     { "percent", std::to_string(order.m_exposurePercent) },
                     { "order", order.m_orderId },
                     { "version", ToString(aView.Settings().TreeVersion()) } });
    }
  }
  if (m_running.empty() && !running.empty()) {
    m_runningSince = aNow;
  }
  if (m_running != running) {
    Report(); // the last counts of an order that has ended
  }
  m_running = std::move(running);
  m_logged = std::move(phases);
}

void RolloutSide::Tick(TimePoint aNow)
{
  if (m_running.empty()) {
    m_suspended = false;
    return;
  }
  LogSuspension(aNow);
  if (aNow >= m_nextReport) {
    m_nextReport = aNow + kReportPeriod;
    Report();
  }
}

void RolloutSide::Report() const
{
  if (m_report && !m_running.empty()) {
    m_report(m_stats.Of(m_running));
  }
}

// The first confirmation follows the order by a round trip, which is no
// suspension.
void RolloutSide::LogSuspension(TimePoint aNow)
{
  const TimePoint since =
    std::max(m_currentAsOf.value_or(m_runningSince), m_runningSince);
  const Duration age = aNow - since;
  const bool suspended = age > routing::kMaxRolloutAge;
  if (suspended == m_suspended) {
    return;
  }
  m_suspended = suspended;
  m_log.Record(suspended ? EventId::RolloutsSuspended
                         : EventId::RolloutsResumed,
               { { "age-ms", std::to_string(ToMilliseconds(age)) },
                 { "rollouts", std::to_string(m_running.size()) } });
}

} // namespace wigeonfold::node
