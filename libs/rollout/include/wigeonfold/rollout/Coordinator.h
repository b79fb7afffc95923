// The leader's part of rollouts: gathers what nodes report and decides on the
// next steps of the running orders.
#pragma once

#include "wigeonfold/rollout/Counts.h"
#include "wigeonfold/rollout/Judge.h"
#include "wigeonfold/rollout/Plan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::rollout {

// Ready targets of one version of a service.
struct VersionTargets
{
  int64_t m_slots = 0;
  std::set<std::string> m_nodes; // names of their nodes

  bool operator==(const VersionTargets&) const = default;
};

// Targets and nodes as the endpoint table of the control VM has them.
struct Fleet
{
  // By service and version; the version of targets that named none is empty.
  std::map<std::string, std::map<std::string, VersionTargets>> m_targets;
  // Nodes that have a session with a control VM.
  std::set<std::string> m_nodes;
};

// From the records of the endpoint table. Thread safe.
Fleet MakeFleet(const std::vector<wire::EndpointRecord>& aRecords);

// Keeps nothing that has to survive: orders and stages are in the settings
// tree, and the counts of a new leader begin with its election. Deterministic;
// not thread safe.
class Coordinator
{
public:
  // A node that has not reported for this time routes by the versions without
  // the one in trial, so nothing waits for it.
  static constexpr Duration kContactTimeout = std::chrono::seconds(2);
  // The version must have this share of the others' slots for the full stage.
  static constexpr double kSlotShare = 0.8;
  // Without an answer of another version for this time none has a request in
  // flight, as far as reported.
  static constexpr Duration kIdleTime = std::chrono::milliseconds(500);

  // aRollbackBound: see Judge.
  explicit Coordinator(Duration aRollbackBound = Judge::kUsualBound);

  // Forgets all counts. Call when this VM begins to lead.
  void Reset();
  // The newest committed tree. Orders that are no longer running are forgotten.
  void SetTree(const settings::Tree& aTree, TimePoint aNow);
  void SetFleet(Fleet aFleet, TimePoint aNow);
  void OnReport(const wire::RolloutReport& aReport, TimePoint aNow);
  // Steps to take now, at most one for an order, rollbacks first. A step is
  // returned again until SetTree shows that it was taken.
  std::vector<Step> NextSteps(TimePoint aNow, WallTime aWallNow);

  size_t RunningOrderCount() const { return m_trials.size(); }

private:
  // A running order with what was observed of it.
  struct Trial
  {
    Order m_order;
    Duration m_longestTimeout{};
    Judge m_judge;
    std::set<std::string> m_targets;      // nodes of the version's targets
    std::optional<TimePoint> m_fullSince; // in force at all nodes in contact
  };

  Trial MakeTrial(const Order& aOrder) const;
  // Nodes of the ready targets of the order's version.
  std::set<std::string> ReadyTargets(const Order& aOrder) const;
  PlanFacts Observe(Trial& aTrial, TimePoint aNow, WallTime aWallNow);
  void NoteTargets(Trial& aTrial, TimePoint aNow);
  bool HasTargets(const Order& aOrder) const;
  // Whether each node in contact has the version in force or a newer one.
  bool IsInForce(const Version& aVersion, TimePoint aNow) const;

  Duration m_rollbackBound;
  std::map<std::string, Trial> m_trials; // by order id
  // Orders that the next tree shows were given to an earlier leader.
  bool m_takesOver = true;
  NodeReports m_reports;
  Fleet m_fleet;
};

} // namespace wigeonfold::rollout
