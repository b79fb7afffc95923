// What a node reports, and learns, while a rollout runs.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::distribution {

// Part of Subscriber. While a rollout runs, each status has the node's counts
// and asks for a confirmation, whose answer says when the node's configuration
// was current: a node that doesn't know this must not send requests to a
// version in trial, which may have been rolled back. Without a running rollout
// nothing is added to a status. Deterministic; not thread safe.
class RolloutReports
{
public:
  // The node has put this tree in force.
  void OnApplied(const settings::Tree& aTree);
  // Counts since the node's start; they replace those of the same services. The
  // counts of a service are kept after its order ends and are in the first
  // status after the next order, since the leader takes what a node reports
  // first as its baseline.
  void SetStats(std::vector<wire::VersionRouteStats> aStats);
  // The status is about to be sent.
  void AddTo(wire::NodeStatus& aStatus, TimePoint aNow);
  // aHeld: version that the node has in force.
  void OnHeartbeat(const wire::Heartbeat& aBeat,
                   const std::optional<Version>& aHeld);

  bool IsRunning() const { return !m_running.empty(); }
  // No status was sent for kPeriod, and a rollout runs.
  bool IsDue(TimePoint aNow) const;
  // Latest time at which the configuration in force is known to have been the
  // newest one. Nothing before the first running rollout.
  const std::optional<TimePoint>& CurrentAsOf() const { return m_currentAsOf; }

  // Checked every 100 ms, so that a status follows the one before within
  // 300 ms.
  static constexpr Duration kPeriod = std::chrono::milliseconds(200);

private:
  std::vector<std::string> m_running; // services with a running rollout
  TimePoint m_lastStatus{};
  std::map<std::string, std::vector<wire::VersionRouteStats>> m_stats;
  std::optional<TimePoint> m_currentAsOf;
};

} // namespace wigeonfold::distribution
