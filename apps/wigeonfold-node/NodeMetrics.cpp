#include "NodeMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace wigeonfold::node {

namespace {

constexpr const char* kAttempts = "wigeonfold_node_attempts_total";
constexpr const char* kAttemptsHelp = "Attempts at endpoints";
constexpr const char* kVersions = "wigeonfold_node_rollout_attempts_total";
constexpr const char* kVersionsHelp =
  "Attempts at endpoints of services that have a rollout";
constexpr const char* kControlBytes = "wigeonfold_node_control_bytes";
constexpr const char* kControlBytesHelp =
  "Frame bytes exchanged with control VMs since the start";

} // namespace

const char* ToString(AnswerSource aSource)
{
  return aSource == AnswerSource::Target ? "target" : "node";
}

NodeMetrics::NodeMetrics(observe::Metrics& aMetrics)
  : m_firstAttempts(
      aMetrics.Counter(kAttempts, kAttemptsHelp, { { "kind", "first" } }))
  , m_retries(
      aMetrics.Counter(kAttempts, kAttemptsHelp, { { "kind", "retry" } }))
  , m_rolloutAttempts(
      aMetrics.Counter(kVersions, kVersionsHelp, { { "version", "rollout" } }))
  , m_otherAttempts(
      aMetrics.Counter(kVersions, kVersionsHelp, { { "version", "other" } }))
  , m_latency(aMetrics.Histogram("wigeonfold_node_request_seconds",
                                 "Time from a caller's request to its end",
                                 observe::LatencyBounds()))
  , m_running(aMetrics.Gauge("wigeonfold_node_target_running",
                             "Requests that occupy a slot of the own target"))
  , m_queued(aMetrics.Gauge("wigeonfold_node_target_queued",
                            "Requests that wait for a slot of the own target"))
  , m_slots(
      aMetrics.Gauge("wigeonfold_node_target_slots", "Slots of the own target"))
  , m_requestLimit(aMetrics.Gauge(
      "wigeonfold_node_target_request_limit",
      "Requests per second that the own target takes, 0 without a limit"))
  , m_crashes(aMetrics.Gauge(
      "wigeonfold_node_target_crashes",
      "Ends of the own target while it ran requests, since the node's start"))
  , m_limitedAccounts(
      aMetrics.Gauge("wigeonfold_node_quota_limited_accounts",
                     "Client accounts that the control VMs limit here"))
  , m_quotaStatic(aMetrics.Gauge(
      "wigeonfold_node_quota_static",
      "1 while the node has quotas and only its static share of them"))
  , m_controlReceived(aMetrics.Gauge(kControlBytes,
                                     kControlBytesHelp,
                                     { { "direction", "received" } }))
  , m_controlSent(aMetrics.Gauge(kControlBytes,
                                 kControlBytesHelp,
                                 { { "direction", "sent" } }))
{
  for (const char* result : { "won", "lost", "refused", "withheld" }) {
    m_hedges.push_back(
      &aMetrics.Counter("wigeonfold_node_hedges_total",
                        "Slow requests by what became of their second attempt",
                        { { "result", result } }));
  }
  for (const forwarding::OutcomeInfo& info : forwarding::OutcomeTable()) {
    m_outcomes.push_back(&aMetrics.Counter(
      "wigeonfold_node_requests_total",
      "Requests of callers by outcome",
      { { "outcome", info.m_reason },
        { "run", forwarding::RunStateText(info.m_runState) } }));
  }
  for (const AnswerSource source :
       { AnswerSource::Target, AnswerSource::Node }) {
    auto& counters = m_brokenAnswers.emplace_back();
    for (const net::AnswerFault fault : net::kAnswerFaults) {
      counters.push_back(&aMetrics.Counter(
        "wigeonfold_node_broken_answers_total",
        "Answers that were refused, since they were broken",
        { { "source", ToString(source) }, { "fault", net::ToString(fault) } }));
    }
  }
  for (const identity::Reason reason : identity::kReasons) {
    m_authentications.push_back(
      &aMetrics.Counter("wigeonfold_node_authentications_total",
                        "Requests by how their client account was decided on",
                        { { "reason", identity::ToString(reason) } }));
  }
}

void NodeMetrics::CountOutcome(forwarding::Outcome aOutcome)
{
  m_outcomes[static_cast<size_t>(aOutcome)]->Increment();
}

void NodeMetrics::CountAuthentication(identity::Reason aReason)
{
  m_authentications[static_cast<size_t>(aReason)]->Increment();
}

void NodeMetrics::CountAttempt(bool aIsRetry)
{
  (aIsRetry ? m_retries : m_firstAttempts).Increment();
}

void NodeMetrics::CountRolloutAttempt(bool aIsOfRollout)
{
  (aIsOfRollout ? m_rolloutAttempts : m_otherAttempts).Increment();
}

void NodeMetrics::CountHedge(Hedge aResult)
{
  m_hedges[static_cast<size_t>(aResult)]->Increment();
}

void NodeMetrics::CountBrokenAnswer(AnswerSource aSource,
                                    net::AnswerFault aFault)
{
  const auto& counters = m_brokenAnswers[static_cast<size_t>(aSource)];
  counters[static_cast<size_t>(aFault)]->Increment();
}

void NodeMetrics::ObserveLatency(Duration aLatency)
{
  m_latency.Observe(std::chrono::duration<double>(aLatency).count());
}

void NodeMetrics::SetTargetLoad(int aRunning, int aQueued, int aSlots)
{
  m_running.Set(aRunning);
  m_queued.Set(aQueued);
  m_slots.Set(aSlots);
}

void NodeMetrics::SetTargetRequestLimit(double aPerSecond)
{
  m_requestLimit.Set(aPerSecond);
}

void NodeMetrics::SetTargetCrashes(size_t aCrashes)
{
  m_crashes.Set(static_cast<double>(aCrashes));
}

void NodeMetrics::SetQuotas(size_t aLimited, bool aIsStatic)
{
  m_limitedAccounts.Set(static_cast<double>(aLimited));
  m_quotaStatic.Set(aIsStatic ? 1 : 0);
}

void NodeMetrics::SetControlBytes(uint64_t aReceived, uint64_t aSent)
{
  m_controlReceived.Set(static_cast<double>(aReceived));
  m_controlSent.Set(static_cast<double>(aSent));
}

} // namespace wigeonfold::node
