// Rollouts at a node: logs what applies and reports the counts of the versions.
#pragma once

#include "Messages.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/forwarding/VersionStats.h"
#include "wigeonfold/routing/VersionFilter.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wigeonfold::node {

// Does nothing without a rollout in the view. All methods run on the data
// thread. The referenced objects must outlive it.
class RolloutSide
{
public:
  // aReport passes the counts to the control thread; it may be empty.
  RolloutSide(const forwarding::VersionStats& aStats,
              EventLog& aLog,
              std::function<void(VersionStatsList)> aReport);

  void SetView(const routing::View& aView, TimePoint aNow);
  // See routing::VersionFilter.
  void SetCurrentAsOf(TimePoint aTime) { m_currentAsOf = aTime; }
  // Call every 10 ms.
  void Tick(TimePoint aNow);

private:
  // Of a service's rollout, as logged last.
  struct Logged
  {
    std::string m_orderId;
    rollout::Phase m_phase = rollout::Phase::Reverted;
    bool operator==(const Logged&) const = default;
  };

  void LogSuspension(TimePoint aNow);
  void Report() const;

  const forwarding::VersionStats& m_stats;
  EventLog& m_log;
  const std::function<void(VersionStatsList)> m_report;
  std::vector<std::string> m_running;     // services with a running rollout
  std::map<std::string, Logged> m_logged; // by service
  std::optional<TimePoint> m_currentAsOf;
  TimePoint m_runningSince{};
  TimePoint m_nextReport{};
  bool m_suspended = false; // as logged last
};

} // namespace wigeonfold::node
