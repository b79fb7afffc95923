// Rollouts on the core thread: reports of nodes, orders and steps.
#include "Core.h"

#include "wigeonfold/wire/Codec.h"

namespace wigeonfold::control {

namespace {

// A call whose order is not applied in this time is answered with an unknown
// outcome. Orders are acknowledged within 4 s while the control VMs are stable.
constexpr std::chrono::seconds kOrderTimeout{ 4 };

rollout::WallTime WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

wire::AcceptResult MakeResult(wire::AcceptOutcome::type aOutcome,
                              const std::string& aProblem = "")
{
  wire::AcceptResult result;
  result.outcome = aOutcome;
  if (!aProblem.empty()) {
    result.problems.push_back(aProblem);
  }
  return result;
}

} // namespace

// ---- Reports ---------------------------------------------------------------

// A report is forwarded once, as two members may take each other for the leader
// for a moment.
void Core::Execute(RolloutReportsReceived& aReceived, TimePoint aNow)
{
  if (m_raft.GetRole() == consensus::Role::Leader) {
    m_rollouts.OnReports(aReceived.m_reports, aNow);
    AdvanceRollouts(aNow);
  } else if (!aReceived.m_forwarded && m_raft.LeaderId() != 0) {
    m_channels.m_coreToNet.TryPush(
      ForwardRollouts{ m_raft.LeaderId(), std::move(aReceived.m_reports) });
  }
}

// ---- Steps -----------------------------------------------------------------

bool Core::LeadsWithLease(TimePoint aNow) const
{
  const auto readable = m_raft.ReadIndex(aNow);
  return readable && m_raft.AppliedIndex() >= readable.value();
}

void Core::AdvanceRollouts(TimePoint aNow)
{
  if (!m_registry.IsBootstrapped() || !LeadsWithLease(aNow)) {
    return;
  }
  const auto proposal =
    m_rollouts.Next({ m_raft.Term(), m_raft.AppliedIndex() },
                    m_registry.NewestTree(),
                    aNow,
                    WallNow());
  if (!proposal) {
    return;
  }
  // A rollback protects callers and doesn't wait for more voters.
  const bool back = proposal->m_step.m_kind == rollout::StepKind::RollBack;
  if (!back && !m_changeGate.MayAccept(
                 m_raft.CurrentMembership(), m_raft.Self(), m_peers, aNow)) {
    return;
  }
  wire::RegistryCommand command;
  command.__set_change(proposal->m_change);
  const auto position = m_raft.Propose(aNow, wire::Encode(command));
  if (position) {
    m_rollouts.OnProposed(*proposal, position.value().m_index);
  }
}

// ---- Orders ----------------------------------------------------------------

void Core::Execute(RolloutCall& aCall, TimePoint aNow)
{
  ExecuteOrder({ std::move(aCall), aNow + kOrderTimeout }, aNow);
}

void Core::ExecuteOrder(PendingOrder aOrder, TimePoint aNow)
{
  const RolloutCall& call = aOrder.m_call;
  const registry::OperatorFormat& format = *call.m_format;
  if (Redirect(call.m_callId, call.m_target, format, aNow)) {
    return;
  }
  if (!m_registry.IsBootstrapped()) {
    AnswerUnknown(call.m_callId, format, "the cluster is being created");
    return;
  }
  const rollout::OrderDecision decision =
    call.m_stops ? DecideStop(call) : DecideOrder(call);
  switch (decision.m_verdict) {
    case rollout::OrderVerdict::Store:
      ProposeOrder(std::move(aOrder), decision.m_change, aNow);
      return;
    case rollout::OrderVerdict::Known:
      AnswerOrder(
        call, m_raft.AppliedIndex(), MakeResult(wire::AcceptOutcome::Accepted));
      return;
    case rollout::OrderVerdict::Differs:
      RefuseOrder(
        call, MakeResult(wire::AcceptOutcome::Conflict, decision.m_problem));
      return;
    case rollout::OrderVerdict::Invalid:
      RefuseOrder(call,
                  MakeResult(wire::AcceptOutcome::Invalid, decision.m_problem));
      return;
  }
}

rollout::OrderDecision Core::DecideOrder(const RolloutCall& aCall) const
{
  const settings::Tree& tree = *m_registry.NewestTree();
  return rollout::DecideOrder(
    tree,
    aCall.m_request,
    m_rollouts.AcknowledgedAt(tree, aCall.m_request.m_service),
    rollout::PlannedExposurePercent(m_settings.m_rollouts.m_exposureShare),
    WallNow());
}

rollout::OrderDecision Core::DecideStop(const RolloutCall& aCall) const
{
  const settings::Tree& tree = *m_registry.NewestTree();
  const std::string& service = aCall.m_request.m_service;
  const auto order = rollout::FindOrder(tree, service);
  rollout::OrderDecision decision;
  if (!order) {
    decision.m_problem = "there is no rollout of '" + service + "'";
    return decision;
  }
  if (order->m_state != rollout::State::Running) {
    const bool stopped = order->m_state == rollout::State::Stopped;
    decision.m_verdict =
      stopped ? rollout::OrderVerdict::Known : rollout::OrderVerdict::Differs;
    decision.m_problem = "the rollout of " + service + " is " +
                         rollout::ToString(order->m_state) + " already";
    return decision;
  }
  decision.m_verdict = rollout::OrderVerdict::Store;
  decision.m_change = *rollout::MakeStepChange(tree,
                                               { rollout::StepKind::Stop,
                                                 service,
                                                 order->m_orderId,
                                                 "stopped by an operator" },
                                               WallNow());
  return decision;
}

void Core::ProposeOrder(PendingOrder aOrder,
                        const wire::Change& aChange,
                        TimePoint aNow)
{
  const CallId callId = aOrder.m_call.m_callId;
  const registry::OperatorFormat& format = *aOrder.m_call.m_format;
  // The end of a rollout doesn't wait for more voters.
  if (!aOrder.m_call.m_stops &&
      !m_changeGate.MayAccept(
        m_raft.CurrentMembership(), m_raft.Self(), m_peers, aNow)) {
    AnswerUnknown(
      callId, format, "the cluster has too few voters to accept a change");
    return;
  }
  wire::RegistryCommand command;
  command.__set_change(aChange);
  const auto position = m_raft.Propose(aNow, wire::Encode(command));
  if (!position) {
    AnswerUnknown(callId, format, position.error().ToString());
    return;
  }
  PendingCall& pending = m_pending[position.value().m_index];
  pending = PendingCall{
    position.value().m_term, callId, aOrder.m_deadline, std::nullopt, &format
  };
  pending.m_order = std::move(aOrder);
}

void Core::OnOrderApplied(const PendingOrder& aOrder,
                          int64_t aIndex,
                          const wire::AcceptResult& aResult)
{
  if (aResult.outcome == wire::AcceptOutcome::Conflict) {
    // Another change came first; decided again on the newest version.
    m_conflictedOrders.push_back(aOrder);
  } else if (aResult.outcome == wire::AcceptOutcome::Accepted) {
    AnswerOrder(aOrder.m_call, aIndex, aResult);
  } else {
    RefuseOrder(aOrder.m_call, aResult);
  }
}

bool Core::RetryOrders(TimePoint aNow)
{
  std::vector<PendingOrder> orders;
  orders.swap(m_conflictedOrders);
  for (PendingOrder& order : orders) {
    ExecuteOrder(std::move(order), aNow);
  }
  return !orders.empty();
}

void Core::AnswerOrder(const RolloutCall& aCall,
                       int64_t aIndex,
                       const wire::AcceptResult& aResult)
{
  AnswerOnceSurviving(aCall.m_callId,
                      *aCall.m_format,
                      aIndex,
                      aResult,
                      aCall.m_stops ? "" : aCall.m_request.m_service);
}

void Core::RefuseOrder(const RolloutCall& aCall,
                       const wire::AcceptResult& aResult)
{
  m_log.Record(
    EventId::RolloutRefused,
    { { "service", aCall.m_request.m_service },
      { "version", aCall.m_request.m_version },
      { "reason", aResult.problems.empty() ? "" : aResult.problems.front() } });
  Answer(aCall.m_callId, registry::FormatOrProblem(m_log, [&] {
           return aCall.m_format->FormatAcceptResult(aResult);
         }));
}

void Core::OnCallAnswered(const std::string& aOrderedService)
{
  if (!aOrderedService.empty()) {
    m_rollouts.OnAcknowledged(
      *m_registry.NewestTree(), aOrderedService, WallNow());
  }
}

// ---- Reads -----------------------------------------------------------------

void Core::AnswerHeldReads(TimePoint aNow)
{
  const int64_t surviving = m_raft.SurvivingIndex();
  std::erase_if(m_heldReads, [&](const HeldRead& aRead) {
    if (aRead.m_index <= surviving ||
        m_raft.GetRole() != consensus::Role::Leader) {
      AnswerRead(aRead.m_call, aNow);
      return true;
    }
    if (aNow - aRead.m_since < kOrderTimeout) {
      return false;
    }
    AnswerUnknown(aRead.m_call.m_callId,
                  *aRead.m_call.m_format,
                  "too few voters answer to keep it after a lost disk");
    return true;
  });
}

} // namespace wigeonfold::control
