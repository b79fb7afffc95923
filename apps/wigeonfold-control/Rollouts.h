// Rollouts on the leader: which step to propose when, and which orders were
// acknowledged.
#pragma once

#include "Messages.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/rollout/Coordinator.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::control {

// Where the leader is in the log.
struct LeaderPosition
{
  int64_t m_term = 0;
  int64_t m_applied = 0; // log index
};

// Binds rollout::Coordinator to the replicated log: one step is under way at a
// time, since each is a compare-and-set on the whole tree, and one that lost
// against another change is proposed again on the newest version. Not thread
// safe.
class Rollouts
{
public:
  struct Proposal
  {
    rollout::Step m_step;
    wire::Change m_change;
  };

  // aLog must outlive the object.
  Rollouts(Duration aRollbackBound, EventLog& aLog);

  void OnReports(const std::vector<wire::RolloutReport>& aReports,
                 TimePoint aNow);
  void OnFleet(rollout::Fleet aFleet, TimePoint aNow);

  // The step to propose now. Call OnProposed if it was appended to the log.
  // Precondition: this VM leads with a lease and has applied all that was
  // committed in earlier terms.
  std::optional<Proposal> Next(
    const LeaderPosition& aPosition,
    const std::shared_ptr<const settings::Tree>& aTree,
    TimePoint aNow,
    rollout::WallTime aWallNow);
  void OnProposed(const Proposal& aProposal, int64_t aIndex);

  // The service's present order was acknowledged; the first time counts.
  void OnAcknowledged(const settings::Tree& aTree,
                      const std::string& aService,
                      rollout::WallTime aNow);
  // Nothing when it is not known, as after a change of the leader.
  std::optional<rollout::WallTime> AcknowledgedAt(
    const settings::Tree& aTree,
    const std::string& aService) const;

  // Adds the figures of rollouts.
  void Summarize(CoreSummary& aSummary) const;

private:
  struct Acknowledged
  {
    std::string m_orderId;
    rollout::WallTime m_at;
  };

  void TakeOver(int64_t aTerm);

  EventLog& m_log;
  rollout::Coordinator m_coordinator;
  int64_t m_term = 0;          // in which the coordinator's counts began
  int64_t m_proposedIndex = 0; // of the last step
  std::shared_ptr<const settings::Tree> m_tree;
  std::map<std::string, Acknowledged> m_acknowledged; // by service
  uint64_t m_fullSteps = 0;
  uint64_t m_completedSteps = 0;
  uint64_t m_rolledBackSteps = 0;
};

} // namespace wigeonfold::control
