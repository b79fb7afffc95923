#include "Rollouts.h"

namespace wigeonfold::control {

Rollouts::Rollouts(Duration aRollbackBound, EventLog& aLog)
  : m_log(aLog)
  , m_coordinator(aRollbackBound)
{
}

void Rollouts::OnReports(const std::vector<wire::RolloutReport>& aReports,
                         TimePoint aNow)
{
  for (const wire::RolloutReport& report : aReports) {
    m_coordinator.OnReport(report, aNow);
  }
}

void Rollouts::OnFleet(rollout::Fleet aFleet, TimePoint aNow)
{
  m_coordinator.SetFleet(std::move(aFleet), aNow);
}

// ---- Steps -----------------------------------------------------------------

void Rollouts::TakeOver(int64_t aTerm)
{
  m_term = aTerm;
  m_proposedIndex = 0;
  m_tree.reset();
  m_coordinator.Reset();
}

std::optional<Rollouts::Proposal> Rollouts::Next(
  const LeaderPosition& aPosition,
  const std::shared_ptr<const settings::Tree>& aTree,
  TimePoint aNow,
  rollout::WallTime aWallNow)
{
  const bool takesOver = aPosition.m_term != m_term;
  if (takesOver) {
    TakeOver(aPosition.m_term);
  }
  if (m_tree != aTree) {
    m_tree = aTree;
    m_coordinator.SetTree(*aTree, aNow);
  }
  if (takesOver && m_coordinator.RunningOrderCount() > 0) {
    m_log.Record(
      EventId::RolloutsTakenOver,
      { { "running", std::to_string(m_coordinator.RunningOrderCount()) },
        { "term", std::to_string(m_term) } });
  }
  // Evaluated also while a step is under way, so that no slot is missed.
  for (rollout::Step& step : m_coordinator.NextSteps(aNow, aWallNow)) {
    auto change = rollout::MakeStepChange(*aTree, step, aWallNow);
    if (change && aPosition.m_applied >= m_proposedIndex) {
      return Proposal{ std::move(step), std::move(*change) };
    }
  }
  return std::nullopt;
}

void Rollouts::OnProposed(const Proposal& aProposal, int64_t aIndex)
{
  using rollout::StepKind;
  m_proposedIndex = aIndex;
  const rollout::Step& step = aProposal.m_step;
  const bool back = step.m_kind == StepKind::RollBack;
  m_fullSteps += step.m_kind == StepKind::Full ? 1 : 0;
  m_completedSteps += step.m_kind == StepKind::Complete ? 1 : 0;
  m_rolledBackSteps += back ? 1 : 0;
  const wire::Operation& operation = aProposal.m_change.operations.front();
  m_log.Record(back ? EventId::RolloutRolledBack : EventId::RolloutStep,
               { { "service", step.m_service },
                 { "order", step.m_orderId },
                 { "step", operation.value },
                 { "reason", step.m_reason } });
}

// ---- Orders ----------------------------------------------------------------

void Rollouts::OnAcknowledged(const settings::Tree& aTree,
                              const std::string& aService,
                              rollout::WallTime aNow)
{
  const auto order = rollout::FindOrder(aTree, aService);
  if (!order) {
    return;
  }
  Acknowledged& known = m_acknowledged[aService];
  if (known.m_orderId == order->m_orderId) {
    return;
  }
  known = { order->m_orderId, aNow };
  m_log.Record(
    EventId::RolloutOrdered,
    { { "service", aService },
      { "order", order->m_orderId },
      { "version", order->m_version },
      { "duration_ms", std::to_string(order->m_duration.count()) } });
}

std::optional<rollout::WallTime> Rollouts::AcknowledgedAt(
  const settings::Tree& aTree,
  const std::string& aService) const
{
  const auto order = rollout::FindOrder(aTree, aService);
  const auto known = m_acknowledged.find(aService);
  if (!order || known == m_acknowledged.end() ||
      known->second.m_orderId != order->m_orderId) {
    return std::nullopt;
  }
  return known->second.m_at;
}

void Rollouts::Summarize(CoreSummary& aSummary) const
{
  aSummary.m_runningRollouts = m_coordinator.RunningOrderCount();
  aSummary.m_fullRollouts = m_fullSteps;
  aSummary.m_completedRollouts = m_completedSteps;
  aSummary.m_rolledBackRollouts = m_rolledBackSteps;
}

} // namespace wigeonfold::control
