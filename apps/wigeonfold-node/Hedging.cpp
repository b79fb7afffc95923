#include "Hedging.h"

#include <utility>

namespace wigeonfold::node {

using forwarding::HedgeVerdict;
using forwarding::Outcome;

Hedging::Hedging(NodeMetrics& aMetrics, observe::DecisionLog& aLog)
  : m_metrics(aMetrics)
  , m_log(aLog)
{
}

void Hedging::OnStarted(uint64_t aCall,
                        const wire::CallRequest& aRequest,
                        int aPercent,
                        TimePoint aDeadline,
                        TimePoint aNow)
{
  if (!aRequest.idempotent) {
    return;
  }
  Entry entry;
  // Requests without a route are those of their service.
  entry.m_candidate = { aRequest.route.empty() ? aRequest.serviceName
                                               : aRequest.route,
                        aRequest.serviceName,
                        aDeadline };
  entry.m_requestId = aRequest.requestId;
  entry.m_started = aNow;
  if (aRequest.__isset.objectiveLeadUs) {
    entry.m_objective =
      aDeadline - std::chrono::microseconds(aRequest.objectiveLeadUs);
  }
  if (const auto delay =
        m_policy.OnFirstAttempt(entry.m_candidate.m_route, aPercent)) {
    entry.m_due = aNow + *delay;
    m_due.Add(entry.m_due, aCall);
  }
  m_entries.emplace(aCall, std::move(entry));
}

std::vector<uint64_t> Hedging::TakeDue(TimePoint aNow)
{
  return m_due.TakeDue(aNow);
}

bool Hedging::Admits(uint64_t aCall, TimePoint aNow)
{
  const Entry& entry = m_entries.at(aCall);
  const HedgeVerdict verdict = m_policy.Judge(entry.m_candidate, aNow);
  if (verdict == HedgeVerdict::Send) {
    return true;
  }
  m_metrics.CountHedge(NodeMetrics::Hedge::Withheld);
  Log(EventId::HedgeWithheld, entry, ToString(verdict), aNow);
  return false;
}

void Hedging::OnDecided(uint64_t aCall,
                        const std::optional<forwarding::StartAttempt>& aStart,
                        TimePoint aNow)
{
  Entry& entry = m_entries.at(aCall);
  if (!aStart) {
    m_metrics.CountHedge(NodeMetrics::Hedge::Withheld);
    Log(EventId::HedgeWithheld, entry, "no-target-or-retry-budget", aNow);
    return;
  }
  entry.m_hedge = aStart->m_attempt;
  entry.m_hedgeTarget = aStart->m_endpoint->m_nodeName;
  m_policy.OnHedgeSent(entry.m_candidate);
  Log(EventId::HedgeSent, entry, "slow", aNow);
}

bool Hedging::OnAttemptEnded(const forwarding::AttemptKey& aKey,
                             Outcome aOutcome,
                             const wire::CallResponse& aResponse,
                             TimePoint aNow)
{
  const auto found = m_entries.find(aKey.m_call);
  if (found == m_entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (entry.m_hedge != aKey.m_attempt) {
    m_policy.OnAttemptEnded(entry.m_candidate.m_service,
                            IsOverloaded(entry, aOutcome, aResponse),
                            aNow);
    entry.m_answered |= aOutcome == Outcome::Answered && !entry.m_failed;
    entry.m_failed |= aOutcome != Outcome::Answered;
    return false;
  }
  if (!MayHaveReachedTarget(aOutcome)) {
    EndHedge(entry, NodeMetrics::Hedge::Refused, aNow);
    Log(EventId::HedgeRefused, entry, InfoOf(aOutcome).m_reason, aNow);
    return true;
  }
  const bool won = aOutcome == Outcome::Answered;
  EndHedge(
    entry, won ? NodeMetrics::Hedge::Won : NodeMetrics::Hedge::Lost, aNow);
  if (won) {
    Log(EventId::HedgeWon, entry, InfoOf(aOutcome).m_reason, aNow);
  }
  return false;
}

void Hedging::OnFinished(uint64_t aCall, TimePoint aNow)
{
  auto node = m_entries.extract(aCall);
  if (node.empty()) {
    return;
  }
  Entry& entry = node.mapped();
  m_due.Remove(entry.m_due, aCall);
  if (entry.m_hedge) {
    EndHedge(entry, NodeMetrics::Hedge::Lost, aNow);
  }
  // A first attempt that is cancelled when it is slow would have taken longer
  // still. Without it, hedges that win would make the usual latency seem
  // smaller. One that is cancelled earlier tells nothing.
  const bool isSlow = entry.m_due != TimePoint{} && aNow >= entry.m_due;
  if (entry.m_answered || (isSlow && !entry.m_failed)) {
    m_policy.OnAnswer(entry.m_candidate.m_route, aNow - entry.m_started, aNow);
  }
}

// The target's node refused the attempt, or held it until its objective passed.
bool Hedging::IsOverloaded(const Entry& aEntry,
                           Outcome aOutcome,
                           const wire::CallResponse& aResponse) const
{
  if (InfoOf(aOutcome).m_result == routing::AttemptResult::Refused) {
    return true;
  }
  return aEntry.m_objective != TimePoint{} && aResponse.__isset.queuedUs &&
         std::chrono::microseconds(aResponse.queuedUs) >
           aEntry.m_objective - aEntry.m_started;
}

void Hedging::EndHedge(Entry& aEntry,
                       NodeMetrics::Hedge aResult,
                       TimePoint aNow)
{
  aEntry.m_hedge.reset();
  m_metrics.CountHedge(aResult);
  m_policy.OnHedgeEnded(
    aEntry.m_candidate, aResult == NodeMetrics::Hedge::Refused, aNow);
}

std::shared_ptr<wire::CallRequest> Hedging::RequestFor(
  const forwarding::StartAttempt& aStart,
  const std::shared_ptr<wire::CallRequest>& aRequest)
{
  if (!aStart.m_speculative) {
    return aRequest;
  }
  auto hedge = std::make_shared<wire::CallRequest>(*aRequest);
  hedge->repeat = true;
  hedge->speculative = true;
  return hedge;
}

void Hedging::Log(EventId aEvent,
                  const Entry& aEntry,
                  const char* aReason,
                  TimePoint aNow)
{
  if (!m_log.Admits(aEvent, aNow)) {
    return;
  }
  m_log.Record(
    aEvent,
    { { "request", aEntry.m_requestId },
      { "route", aEntry.m_candidate.m_route },
      { "service", aEntry.m_candidate.m_service },
      { "reason", aReason },
      { "target", aEntry.m_hedgeTarget },
      { "elapsed-ms", std::to_string(ToMilliseconds(aNow - aEntry.m_started)) },
      { "due-ms",
        std::to_string(ToMilliseconds(aEntry.m_due - aEntry.m_started)) } });
}

} // namespace wigeonfold::node
