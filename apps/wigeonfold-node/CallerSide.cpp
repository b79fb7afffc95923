#include "CallerSide.h"

#include "wigeonfold/forwarding/AnswerCheck.h"
#include "wigeonfold/forwarding/Fingerprint.h"

#include <algorithm>

namespace wigeonfold::node {

using discovery::CrashVerdict;
using forwarding::AttemptKey;
using forwarding::CallStep;
using forwarding::Outcome;
using namespace std::chrono_literals;

namespace {

// Time after a call's deadline to wait for the outcome. The target's node
// rejects expired requests, and only it knows whether a request was written to
// the target. Covers the 10 ms tick of that node and the transit time of its
// answer between availability zones.
constexpr Duration kOutcomeGrace = 20ms;

} // namespace

CallerSide::CallerSide(std::string aNodeName,
                       routing::Chooser aChooser,
                       TargetSide& aTarget,
                       PeerClient& aPeers,
                       forwarding::Dialect& aDialect,
                       NodeMetrics& aMetrics,
                       Authenticator& aAuthenticator,
                       admission::Link& aLink,
                       const discovery::CrashLedger& aCrashes,
                       forwarding::VersionStats& aVersionStats,
                       QuotaStep& aQuotas,
                       BrokenAnswers& aBrokenAnswers,
                       observe::DecisionLog& aLog)
  : m_nodeName(std::move(aNodeName))
  , m_chooser(std::move(aChooser))
  , m_target(aTarget)
  , m_peers(aPeers)
  , m_dialect(aDialect)
  , m_metrics(aMetrics)
  , m_authenticator(aAuthenticator)
  , m_link(aLink)
  , m_crashLedger(aCrashes)
  , m_versionStats(aVersionStats)
  , m_quotas(aQuotas)
  , m_brokenAnswers(aBrokenAnswers)
  , m_log(aLog)
  , m_hedging(aMetrics, aLog)
{
}

void CallerSide::SetView(std::shared_ptr<const routing::View> aView)
{
  m_view = std::move(aView);
  m_tracker.Retain(*m_view);
}

// ---- Requests --------------------------------------------------------------

void CallerSide::OnRequest(net::HttpRequest aRequest,
                           net::HttpRespond aRespond,
                           const net::HttpOnAbandon& aOnAbandon)
{
  // Version 0 is the tree before the first accepted change. It has no routes
  // yet, so a missing one must not be answered with 404.
  if (!m_view || !m_ready || m_view->Settings().TreeVersion().m_number == 0) {
    Reject(Outcome::NoConfiguration, aRespond);
    return;
  }
  if (m_bytes + aRequest.m_body.size() > kMaxRequestBytes) {
    Reject(Outcome::Overloaded, aRespond);
    return;
  }
  const TimePoint now = Clock::now();
  forwarding::ParsedCall parsed;
  const forwarding::CallerInfo caller{ m_target.ServiceName() };
  if (const auto outcome = m_dialect.ParseCall(
        std::move(aRequest), *m_view, caller, now, parsed)) {
    Reject(*outcome, aRespond);
    return;
  }
  if (const auto refusal = m_authenticator.Refuse(parsed, *m_view, now)) {
    Reject(refusal->m_outcome, aRespond, refusal->m_retryAfter);
    return;
  }
  const auto parent = m_target.FindRunning(parsed.m_parentId);
  if (parent) {
    parsed.m_request->depth = parent->depth + 1;
    parsed.m_request->repeat = parent->repeat;
  }
  bool charged = false;
  if (!Charge(*parsed.m_request, parent != nullptr, aRespond, now, charged)) {
    return;
  }
  const uint64_t fingerprint = forwarding::FingerprintOf(*parsed.m_request);
  const discovery::CrashJudgement judgement =
    m_crashLedger.Judge(fingerprint, now);
  if (const auto refusal = RefusalOf(judgement, *parsed.m_route)) {
    if (charged) {
      m_quotas.GiveBack(*parsed.m_request);
    }
    LogRefusal(*parsed.m_request, fingerprint, *refusal, now);
    Reject(refusal->m_outcome, aRespond, refusal->m_retryAfter);
    return;
  }
  const uint64_t id = ++m_lastId;
  forwarding::CallSpec spec;
  spec.m_idempotent = parsed.m_request->idempotent;
  spec.m_deadline = parsed.m_deadline;
  spec.m_maxAttempts = parsed.m_maxAttempts;
  spec.m_fingerprint = fingerprint;
  if (parsed.m_route->m_rollout) {
    spec.m_requestRoute = parsed.m_request->route;
  }
  spec.m_fromRetriedRequest = parsed.m_request->repeat;
  if (parsed.m_request->__isset.objectiveLeadUs) {
    spec.m_objective = parsed.m_deadline - std::chrono::microseconds(
                                             parsed.m_request->objectiveLeadUs);
  }
  const auto added = m_calls.emplace(
    id,
    ActiveCall{ m_view,
                std::move(parsed.m_request),
                forwarding::Call(spec,
                                 *parsed.m_route,
                                 m_retryBudgets[parsed.m_route->m_name],
                                 { m_chooser, m_tracker }),
                std::move(aRespond),
                now,
                parsed.m_deadline + kOutcomeGrace,
                fingerprint,
                charged,
                0,
                forwarding::kNoTarget,
                "" });
  ActiveCall& call = added.first->second;
  call.m_call.SetIsolated(judgement.m_verdict == CrashVerdict::Isolate);
  call.m_bytes = call.m_request->body.size();
  m_bytes += call.m_bytes;
  m_deadlines.Add(call.m_expiresAt, id);
  aOnAbandon([this, id] { OnCallerDisconnected(id); });
  const std::shared_ptr<const wire::CallRequest> request = call.m_request;
  Execute(id, call.m_call.Start(now));
  if (parsed.m_hedgePercent > 0 && m_calls.count(id) > 0) {
    m_hedging.OnStarted(
      id, *request, parsed.m_hedgePercent, parsed.m_deadline, now);
  }
}

bool CallerSide::Charge(const wire::CallRequest& aRequest,
                        bool aIsOwnCall,
                        const net::HttpRespond& aRespond,
                        TimePoint aNow,
                        bool& aCharged)
{
  if (aIsOwnCall) {
    return true;
  }
  const QuotaResult result = m_quotas.Charge(aRequest, aNow);
  aCharged = result.m_charged;
  if (result.m_retryAfter) {
    Reject(Outcome::OverQuota, aRespond, *result.m_retryAfter);
    return false;
  }
  return true;
}

void CallerSide::Reject(Outcome aOutcome,
                        const net::HttpRespond& aRespond,
                        Duration aRetryAfter)
{
  m_metrics.CountOutcome(aOutcome);
  aRespond(
    m_dialect.LocalAnswer({ aOutcome, forwarding::kNoTarget, aRetryAfter }));
}

std::optional<CallerSide::CrashRefusal> CallerSide::RefusalOf(
  const discovery::CrashJudgement& aJudgement,
  const routing::ServiceRoute& aRoute)
{
  if (aJudgement.m_verdict == CrashVerdict::Quarantine) {
    return CrashRefusal{ Outcome::Quarantined, aJudgement.m_left };
  }
  const Duration wait = aJudgement.WaitFor(aRoute.m_endpoints.size());
  return wait > Duration::zero()
           ? std::optional(CrashRefusal{ Outcome::IsolationBusy, wait })
           : std::nullopt;
}

void CallerSide::OnCallerDisconnected(uint64_t aId)
{
  const auto call = m_calls.find(aId);
  if (call != m_calls.end()) {
    call->second.m_respond = nullptr;
    Execute(aId, call->second.m_call.Cancel(Clock::now()));
  }
}

void CallerSide::Tick(TimePoint aNow)
{
  for (const uint64_t id : m_deadlines.TakeDue(aNow)) {
    const auto call = m_calls.find(id);
    if (call != m_calls.end()) {
      Execute(id, call->second.m_call.OnDeadline(aNow));
    }
  }
  for (const uint64_t id : m_hedging.TakeDue(aNow)) {
    HedgeSlow(id, aNow);
  }
}

void CallerSide::Execute(uint64_t aId, const CallStep& aStep)
{
  const auto found = m_calls.find(aId);
  if (found == m_calls.end()) {
    return;
  }
  for (const int number : aStep.m_cancel) {
    CancelAttempt(found->second, number);
  }
  if (aStep.m_start) {
    if (aStep.m_start->m_attempt > 0 && !aStep.m_start->m_speculative) {
      Log(EventId::AttemptRepeated,
          found->second,
          found->second.m_responseOutcome,
          Clock::now());
    }
    Start(aId, found->second, *aStep.m_start);
  } else if (aStep.m_end) {
    Finish(aId, *aStep.m_end);
  }
}

// ---- Attempts --------------------------------------------------------------

// The attempt, and with it the call, may end before this returns; aCall is then
// destroyed.
void CallerSide::Start(uint64_t aId,
                       ActiveCall& aCall,
                       const forwarding::StartAttempt& aStart)
{
  if (!aStart.m_speculative) {
    m_metrics.CountAttempt(aStart.m_attempt > 0);
    aCall.m_request->repeat |= aStart.m_repeat;
    aCall.m_lastTarget = aStart.m_endpoint->m_nodeName;
    aCall.m_lastSoftware = aStart.m_endpoint->m_softwareVersion;
  }
  if (const auto& rollout = aCall.m_call.Route().m_rollout) {
    m_metrics.CountRolloutAttempt(aStart.m_endpoint->m_softwareVersion ==
                                  rollout->m_version);
  }
  if (aStart.m_endpoint->m_nodeName == m_nodeName) {
    StartLocal(aId, aCall, aStart);
  } else {
    StartRemote(aId, aCall, aStart);
  }
}

void CallerSide::StartLocal(uint64_t aId,
                            ActiveCall& aCall,
                            const forwarding::StartAttempt& aStart)
{
  const int number = aStart.m_attempt;
  // TargetSide reports whether the request was written before the call expires
  // here, so the attempt counts as written from the start.
  aCall.m_call.OnWritten(number);
  const AttemptKey key{ aId, number };
  const uint64_t targetCallId = m_target.Serve(
    Hedging::RequestFor(aStart, aCall.m_request),
    aCall.m_call.Deadline(),
    Clock::now(),
    [this, key](TargetReply aReply) {
      OnAttemptEnded(key, aReply.m_outcome, std::move(aReply.m_response));
    });
  const auto call = m_calls.find(aId);
  if (call != m_calls.end() && !call->second.m_call.IsOver()) {
    call->second.m_attempts.push_back(
      { number, true, targetCallId, {}, m_nodeName });
  }
}

void CallerSide::StartRemote(uint64_t aId,
                             ActiveCall& aCall,
                             const forwarding::StartAttempt& aStart)
{
  const AttemptKey key{ aId, aStart.m_attempt };
  const auto ticket = m_peers.Send(*aStart.m_endpoint,
                                   Hedging::RequestFor(aStart, aCall.m_request),
                                   aCall.m_call.Deadline(),
                                   key);
  if (ticket) {
    aCall.m_attempts.push_back(
      { aStart.m_attempt, false, 0, *ticket, aStart.m_endpoint->m_nodeName });
  } else {
    OnAttemptEnded(key, Outcome::PeerNotWritten, {});
  }
}

void CallerSide::CancelAttempt(ActiveCall& aCall, int aNumber)
{
  for (const Attempt& attempt : aCall.m_attempts) {
    if (attempt.m_number != aNumber) {
      continue;
    }
    if (attempt.m_local) {
      m_target.Cancel(attempt.m_targetCallId, Clock::now());
    } else {
      m_peers.Cancel(attempt.m_ticket);
    }
  }
}

void CallerSide::OnWritten(const AttemptKey& aKey)
{
  const auto call = m_calls.find(aKey.m_call);
  if (call != m_calls.end()) {
    call->second.m_call.OnWritten(aKey.m_attempt);
  }
}

void CallerSide::OnAttemptEnded(const AttemptKey& aKey,
                                Outcome aOutcome,
                                wire::CallResponse aResponse)
{
  const auto found = m_calls.find(aKey.m_call);
  if (found == m_calls.end()) {
    return;
  }
  ActiveCall& call = found->second;
  const TimePoint now = Clock::now();
  if (m_hedging.OnAttemptEnded(aKey, aOutcome, aResponse, now)) {
    // The target got nothing, so the answer is that of the other attempt.
    const wire::TargetLoad* load =
      aResponse.__isset.load ? &aResponse.load : nullptr;
    Execute(aKey.m_call,
            call.m_call.OnAttemptEnded(aKey.m_attempt, aOutcome, load, now));
    return;
  }
  call.m_response = std::move(aResponse);
  call.m_responseOutcome = aOutcome;
  CountForRollout(call, aKey.m_attempt, aOutcome);
  for (const Attempt& attempt : call.m_attempts) {
    if (attempt.m_number == aKey.m_attempt) {
      call.m_lastTarget = attempt.m_target;
    }
  }
  if (aOutcome == Outcome::AnsweredFailure) {
    call.m_failureResponse = call.m_response;
  }
  // Targets may have ended since the attempt began.
  const auto judgement = m_crashLedger.Judge(call.m_fingerprint, now);
  call.m_call.SetIsolated(judgement.m_verdict != CrashVerdict::Run);
  const wire::TargetLoad* load =
    call.m_response.__isset.load ? &call.m_response.load : nullptr;
  Execute(aKey.m_call,
          call.m_call.OnAttemptEnded(aKey.m_attempt, aOutcome, load, now));
}

// A broken answer ends the attempt like one that this node's own target sent.
// Only the other node's load is kept of it.
void CallerSide::OnPeerAnswer(const AttemptKey& aKey,
                              Outcome aOutcome,
                              wire::CallResponse aResponse)
{
  const auto broken = forwarding::CheckAnswer(aOutcome, aResponse);
  if (!broken) {
    OnAttemptEnded(aKey, aOutcome, std::move(aResponse));
    return;
  }
  NoteBrokenAnswer(aKey, *broken);
  wire::CallResponse refused;
  if (aResponse.__isset.load) {
    refused.__set_load(aResponse.load);
  }
  OnAttemptEnded(aKey, Outcome::AnswerUnusable, std::move(refused));
}

bool CallerSide::IsRunningOrder(const std::string& aService,
                                const std::string& aOrderId) const
{
  const routing::ServiceRoute* service = m_view->Find(aService);
  return service != nullptr && service->m_rollout &&
         service->m_rollout->IsRunning() &&
         service->m_rollout->m_orderId == aOrderId;
}

void CallerSide::CountForRollout(const ActiveCall& aCall,
                                 int aNumber,
                                 Outcome aOutcome)
{
  const routing::ServiceRoute& service = aCall.m_call.Route();
  const routing::Endpoint* endpoint = aCall.m_call.EndpointOf(aNumber);
  if (endpoint == nullptr || !service.m_rollout ||
      !IsRunningOrder(service.m_name, service.m_rollout->m_orderId)) {
    return;
  }
  forwarding::VersionAnswer answer;
  answer.m_service = service.m_name;
  answer.m_version = endpoint->m_softwareVersion;
  answer.m_route = aCall.m_request->route;
  answer.m_outcome = aOutcome;
  if (aCall.m_response.__isset.targetUs) {
    answer.m_targetTime = std::chrono::microseconds(aCall.m_response.targetUs);
  }
  m_versionStats.Count(answer);
}

void CallerSide::OnGoaway(const std::string& aNodeName)
{
  m_tracker.OnDraining(aNodeName, Clock::now());
}

void CallerSide::OnUnreachable(const std::string& aNodeName)
{
  const TimePoint now = Clock::now();
  if (m_tracker.OnUnreachable(aNodeName, now) &&
      m_log.Admits(EventId::PeerUnreachable, now)) {
    m_log.Record(EventId::PeerUnreachable, { { "peer", aNodeName } });
  }
}

void CallerSide::OnReachable(const std::string& aNodeName)
{
  if (m_tracker.OnReachable(aNodeName) &&
      m_log.Admits(EventId::PeerReachable, Clock::now())) {
    m_log.Record(EventId::PeerReachable, { { "peer", aNodeName } });
  }
}

// Sends an idempotent request to a second endpoint as well; the first answer
// counts. If Hedge() allows no second attempt, this one ends as PeerLost, so
// that the caller can retry at once, except during a graceful shutdown. A
// caller must not retry a request that is not idempotent, so its answer is
// waited for.
void CallerSide::OnSilent(const AttemptKey& aKey)
{
  const auto found = m_calls.find(aKey.m_call);
  if (found == m_calls.end() || !found->second.m_request->idempotent) {
    return;
  }
  const CallStep step = found->second.m_call.Hedge(Clock::now());
  if (step.m_start) {
    Execute(aKey.m_call, step);
    return;
  }
  if (m_stopping) {
    return;
  }
  CancelAttempt(found->second, aKey.m_attempt);
  OnAttemptEnded(aKey, Outcome::PeerLost, {});
}

// Sends a request whose hedge is due to a second target as well.
void CallerSide::HedgeSlow(uint64_t aId, TimePoint aNow)
{
  const auto found = m_calls.find(aId);
  if (found == m_calls.end() || !m_hedging.Admits(aId, aNow)) {
    return;
  }
  ActiveCall& call = found->second;
  // Targets may have ended since the request arrived.
  const auto judgement = m_crashLedger.Judge(call.m_fingerprint, aNow);
  call.m_call.SetIsolated(judgement.m_verdict != CrashVerdict::Run);
  const CallStep step = call.m_call.HedgeSlow(aNow);
  m_hedging.OnDecided(aId, step.m_start, aNow);
  Execute(aId, step);
}

// ---- Answers ---------------------------------------------------------------

void CallerSide::Finish(uint64_t aId, Outcome aOutcome)
{
  auto entry = m_calls.extract(aId);
  ActiveCall& call = entry.mapped();
  m_deadlines.Remove(call.m_expiresAt, aId);
  m_bytes -= call.m_bytes;
  const TimePoint now = Clock::now();
  if (call.m_charged && InfoOf(aOutcome).m_runState == wire::RunState::NotRun) {
    m_quotas.GiveBack(*call.m_request);
  }
  m_hedging.OnFinished(aId, now);
  m_metrics.CountOutcome(aOutcome);
  m_metrics.ObserveLatency(now - call.m_arrived);
  Log(aOutcome == Outcome::Answered ? EventId::RequestServed
                                    : EventId::RequestFailed,
      call,
      aOutcome,
      now);
  if (!call.m_respond) {
    return;
  }
  m_link.OnSent(call.m_response.body.size(), now);
  if (aOutcome == Outcome::AnsweredFailure && call.m_failureResponse) {
    call.m_respond(m_dialect.TargetAnswer(
      aOutcome, std::move(*call.m_failureResponse), call.m_lastTarget));
    return;
  }
  const bool fromTarget =
    aOutcome == Outcome::Answered || aOutcome == Outcome::Shed;
  if (fromTarget && aOutcome == call.m_responseOutcome) {
    call.m_respond(m_dialect.TargetAnswer(
      aOutcome, std::move(call.m_response), call.m_lastTarget));
    return;
  }
  const Duration retryAfter =
    std::chrono::microseconds(call.m_response.retryAfterUs);
  call.m_respond(
    m_dialect.LocalAnswer({ aOutcome, call.m_lastTarget, retryAfter }));
}

} // namespace wigeonfold::node
