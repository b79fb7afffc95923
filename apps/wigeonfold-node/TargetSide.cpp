// Requests for the target, from admission to answer. The target's reports and
// state are in TargetState.cpp, its ends under requests in TargetEnd.cpp.
#include "TargetSide.h"

#include "wigeonfold/forwarding/Fingerprint.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wigeonfold::node {

using admission::Decision;
using discovery::CrashVerdict;
using forwarding::AnswerKind;
using forwarding::Outcome;
using forwarding::TargetStep;

namespace {

constexpr int kFirstServerError = 500;
constexpr int64_t kMicrosecondsPerMillisecond = 1000;
// Client accounts whose shares are cached; the cache is cleared when full.
constexpr size_t kMaxCachedAccounts = 4096;
// Weight of the newest sample in the moving average of the latency: 1/8, as in
// TCP's round-trip time estimate.
constexpr int64_t kLatencyDivisor = 8;
// Time for which the target's calls on behalf of a request that was given up
// are known as such: targets stop work that nobody awaits within a few seconds.
constexpr std::chrono::seconds kGivenUpTime{ 5 };
constexpr size_t kMaxGivenUp = 1024;
// Sign that the target has ended, for logs.
constexpr const char* kIsSilent = "silent";

// Time until the request's latency objective, aLeft being that until its
// deadline; zero without an objective.
Duration UntilObjective(const wire::CallRequest& aRequest, Duration aLeft)
{
  return aRequest.__isset.objectiveLeadUs
           ? aLeft - std::chrono::microseconds(aRequest.objectiveLeadUs)
           : Duration::zero();
}

// Whether the target may end, or hang, because of a request that ended so.
bool MayHaveEndedTarget(Outcome aOutcome)
{
  return aOutcome == Outcome::TargetLost ||
         aOutcome == Outcome::AnswerUnusable ||
         aOutcome == Outcome::ExpiredAfterWrite ||
         aOutcome == Outcome::CancelledAfterWrite;
}

} // namespace

TargetSide::TargetSide(TargetSideOptions aOptions,
                       std::unique_ptr<admission::Queue> aQueue,
                       std::unique_ptr<TargetPool> aPool,
                       const forwarding::Dialect& aDialect,
                       const admission::Link& aLink,
                       const forwarding::AnswerSendQueue& aLargeAnswers,
                       discovery::CrashLedger& aCrashes,
                       BrokenAnswers& aBrokenAnswers,
                       observe::DecisionLog& aLog,
                       std::function<void()> aOnChange)
  : m_options(std::move(aOptions))
  , m_admission(std::move(aQueue))
  , m_pool(std::move(aPool))
  , m_dialect(aDialect)
  , m_link(aLink)
  , m_largeAnswers(aLargeAnswers)
  , m_crashLedger(aCrashes)
  , m_brokenAnswers(aBrokenAnswers)
  , m_log(aLog)
  , m_onChange(std::move(aOnChange))
  , m_startedAt(Clock::now())
{
}

TargetSide::~TargetSide()
{
  if (m_probe) {
    m_probe->Close();
  }
}

// ---- Requests --------------------------------------------------------------

uint64_t TargetSide::Serve(std::shared_ptr<const wire::CallRequest> aRequest,
                           TimePoint aDeadline,
                           TimePoint aNow,
                           OnTargetReply aReply)
{
  const uint64_t id = ++m_lastId;
  const uint64_t fingerprint = forwarding::FingerprintOf(*aRequest);
  const discovery::CrashJudgement judgement =
    m_crashLedger.Judge(fingerprint, aNow);
  auto refusal = CheckServable(*aRequest);
  if (judgement.m_verdict == CrashVerdict::Quarantine) {
    refusal = Outcome::Quarantined;
  }
  if (refusal) {
    TargetReply reply;
    reply.m_outcome = *refusal;
    Exchange none;
    FillResponse(reply, none, false);
    reply.m_response.retryAfterUs = ToMicroseconds(judgement.m_left);
    aReply(std::move(reply));
    return id;
  }
  admission::Request request;
  request.m_id = id;
  request.m_shares = SharesOf(aRequest->office);
  request.m_priority = admission::QueuePriority(
    aRequest->depth, aRequest->priority, aRequest->returned);
  request.m_deadline = aDeadline;
  request.m_arrived = aNow;
  request.m_work = m_work.Expected(aRequest->route,
                                   UntilObjective(*aRequest, aDeadline - aNow));
  // Rejecting a call made on behalf of a running request wastes the work done
  // for that request, so only the deadline limits how long such a call waits.
  if (aRequest->__isset.objectiveLeadUs && aRequest->depth == 0) {
    request.m_startBy = admission::LatestStart(
      aDeadline - std::chrono::microseconds(aRequest->objectiveLeadUs),
      request.m_work);
  }
  request.m_isolated = judgement.m_verdict == CrashVerdict::Isolate;
  request.m_speculative = aRequest->speculative;
  ServedCall call{ forwarding::TargetCall(aDeadline) };
  call.m_fingerprint = fingerprint;
  call.m_isolated = request.m_isolated;
  call.m_expectedBytes = ExpectedLargeAnswer(*aRequest);
  request.m_linkWait = LinkWait(call.m_expectedBytes, request.m_work, aNow);
  m_expectedBytes += call.m_expectedBytes;
  m_bytes += aRequest->body.size();
  call.m_request = std::move(aRequest);
  call.m_deadline = aDeadline;
  call.m_arrived = aNow;
  call.m_reply = std::move(aReply);
  m_calls.emplace(id, std::move(call));
  m_deadlines.Add(aDeadline, id);
  Apply(m_admission.Offer(request, aNow), aNow);
  return id;
}

std::optional<Outcome> TargetSide::CheckServable(
  const wire::CallRequest& aRequest) const
{
  if (!m_view) {
    return Outcome::NoConfiguration;
  }
  if (!m_target || m_target->m_service != aRequest.serviceName ||
      m_view->Find(aRequest.serviceName) == nullptr) {
    return Outcome::NoTarget;
  }
  if (m_rejectNew) {
    return Outcome::Draining;
  }
  if (m_bytes + aRequest.body.size() > kMaxRequestBytes) {
    return Outcome::QueueFull;
  }
  return std::nullopt;
}

// Size of the expected answer if it is a large one, else 0. Small answers don't
// wait for large ones, and all of them together take little of the link.
size_t TargetSide::ExpectedLargeAnswer(const wire::CallRequest& aRequest) const
{
  const size_t bytes = m_sizes.Expected(aRequest.route, aRequest.largeAnswer);
  return bytes > forwarding::kPartBytes ? bytes : 0;
}

// Time by which an answer of that size would leave later than aWork from now,
// since the large answers to earlier requests go first.
Duration TargetSide::LinkWait(size_t aBytes,
                              Duration aWork,
                              TimePoint aNow) const
{
  if (aBytes == 0) {
    return Duration::zero();
  }
  const Duration busy =
    m_link.Backlog(aNow) +
    m_link.TimeFor(m_largeAnswers.Bytes() + m_expectedBytes + aBytes);
  return std::max(busy - aWork, Duration::zero());
}

const std::vector<admission::Share>& TargetSide::SharesOf(
  const std::string& aAccount)
{
  const auto known = m_shares.find(aAccount);
  if (known != m_shares.end()) {
    return known->second;
  }
  if (m_shares.size() >= kMaxCachedAccounts) {
    m_shares.clear();
  }
  std::vector<admission::Share>& shares = m_shares[aAccount];
  for (const routing::ClientAccountLevel& level :
       m_view->ClientAccountChain(aAccount)) {
    shares.push_back(
      admission::Share{ level.m_path, level.m_weight, level.m_queuePercent });
  }
  return shares;
}

void TargetSide::Cancel(uint64_t aId, TimePoint aNow)
{
  const auto call = m_calls.find(aId);
  if (call != m_calls.end()) {
    call->second.m_reply = nullptr;
    Execute(aId, call->second.m_call.OnCancel(), aNow);
  }
}

void TargetSide::Tick(TimePoint aNow)
{
  if (m_heldSlot && aNow >= m_heldSlot->m_until) {
    ReleaseHeldSlot(aNow);
  }
  if (m_target && !m_leaseLost && aNow >= m_leaseEnd) {
    m_leaseLost = true;
    m_pool->CloseIdle();
    OnTargetEnded(m_target->m_instance, kIsSilent, aNow);
    UpdateDraining(aNow);
  }
  Apply(m_admission.Tick(aNow), aNow);
  for (const uint64_t id : m_deadlines.TakeDue(aNow)) {
    const auto call = m_calls.find(id);
    if (call != m_calls.end()) {
      Execute(id, call->second.m_call.OnDeadline(), aNow);
    }
  }
}

// Carries out decisions in order. One decision may cause others; they are
// appended to m_decisions rather than handled in a nested call.
void TargetSide::Apply(std::vector<Decision> aDecisions, TimePoint aNow)
{
  m_decisions.insert(m_decisions.end(), aDecisions.begin(), aDecisions.end());
  if (m_applying) {
    return;
  }
  m_applying = true;
  while (!m_decisions.empty()) {
    const Decision decision = m_decisions.front();
    m_decisions.pop_front();
    const auto call = m_calls.find(decision.m_id);
    if (call == m_calls.end()) {
      // Cancelled after the decision: its slot is free again.
      if (decision.m_start) {
        FreeSlot(decision.m_id, aNow);
      }
      continue;
    }
    CarryOut(decision, call->second, aNow);
  }
  m_applying = false;
}

// aCall may be destroyed when this returns.
void TargetSide::CarryOut(const Decision& aDecision,
                          ServedCall& aCall,
                          TimePoint aNow)
{
  forwarding::TargetCall& targetCall = aCall.m_call;
  aCall.m_retryAfter = aDecision.m_retryAfter;
  if (!aDecision.m_start) {
    LogRejection(aCall, aDecision, aNow);
    Execute(aDecision.m_id, targetCall.OnRejected(aDecision.m_reason), aNow);
    return;
  }
  if (aCall.m_isolated) {
    // Another such request may have been convicted while this one waited.
    const auto judgement = m_crashLedger.Judge(aCall.m_fingerprint, aNow);
    if (judgement.m_verdict == CrashVerdict::Quarantine) {
      aCall.m_retryAfter = judgement.m_left;
      Execute(aDecision.m_id, targetCall.OnQuarantined(), aNow);
      FreeSlot(aDecision.m_id, aNow);
      return;
    }
    m_log.Record(
      EventId::RequestIsolated,
      { { "request", aCall.m_request->requestId },
        { "content", forwarding::FormatFingerprint(aCall.m_fingerprint) },
        { "crashes",
          std::to_string(m_crashLedger.CrashesOf(aCall.m_fingerprint)) } });
  }
  Execute(aDecision.m_id, targetCall.OnAdmitted(aNow), aNow);
}

// Frees the slot of a request that is not in m_calls any more.
void TargetSide::FreeSlot(uint64_t aId, TimePoint aNow)
{
  Apply(m_admission.Finished(aId, aNow), aNow);
}

void TargetSide::LogRejection(const ServedCall& aCall,
                              const Decision& aDecision,
                              TimePoint aNow)
{
  if (!m_log.Admits(EventId::RequestNotAdmitted, aNow)) {
    return;
  }
  const wire::CallRequest& request = *aCall.m_request;
  m_log.Record(
    EventId::RequestNotAdmitted,
    { { "request", request.requestId },
      { "route", request.route },
      { "reason", admission::ToString(aDecision.m_reason) },
      { "rank", std::to_string(request.priority) },
      { "objective-ms",
        std::to_string(ToMilliseconds(aCall.m_deadline - aNow) -
                       request.objectiveLeadUs / kMicrosecondsPerMillisecond) },
      { "slots", std::to_string(m_admission.Slots()) },
      { "running", std::to_string(m_admission.Running()) },
      { "queued", std::to_string(m_admission.Queued()) },
      { "wait-ms", std::to_string(ToMilliseconds(aDecision.m_retryAfter)) },
      { "work-ms",
        std::to_string(ToMilliseconds(m_work.Expected(
          request.route, UntilObjective(request, aCall.m_deadline - aNow)))) },
      { "left-ms", std::to_string(ToMilliseconds(aCall.m_deadline - aNow)) } });
}

void TargetSide::Execute(uint64_t aId, TargetStep aStep, TimePoint aNow)
{
  const auto found = m_calls.find(aId);
  if (found == m_calls.end()) {
    return;
  }
  ServedCall& call = found->second;
  if (aStep.m_connect) {
    Connect(aId, call, aNow);
  } else if (aStep.m_write) {
    Write(aId, call, aNow);
  } else if (aStep.m_end) {
    End(aId, aStep, aNow);
  }
}

void TargetSide::Connect(uint64_t aId, ServedCall& aCall, TimePoint aNow)
{
  aCall.m_connection = m_pool->TakeIdle();
  if (aCall.m_connection) {
    Execute(aId, aCall.m_call.OnConnected(aNow), aNow);
    return;
  }
  aCall.m_connection =
    m_pool->Open([this, aId, start = m_target->Start()](bool aConnected) {
      const auto call = m_calls.find(aId);
      if (call != m_calls.end()) {
        const TimePoint now = Clock::now();
        forwarding::TargetCall& targetCall = call->second.m_call;
        Execute(aId,
                aConnected ? targetCall.OnConnected(now)
                           : targetCall.OnConnectFailed(),
                now);
        if (!aConnected) {
          OnConnectionRefused(start, now);
        }
      }
    });
}

void TargetSide::Write(uint64_t aId, ServedCall& aCall, TimePoint aNow)
{
  aCall.m_started = aNow;
  aCall.m_target = m_target->Start();
  if (!aCall.m_request->requestId.empty()) {
    m_running.emplace(aCall.m_request->requestId, aCall.m_request);
  }
  m_crashDetector.OnWritten(
    aId, { aCall.m_request->requestId, aCall.m_fingerprint, aNow });
  TargetRequest request;
  request.m_call = aCall.m_request;
  request.m_extra = m_dialect.TargetFields(
    *aCall.m_request, aCall.m_deadline - aNow, m_target->m_instance);
  request.m_originOf = [this, call = aCall.m_request](
                         const std::vector<wire::HeaderField>& aFields) {
    return m_dialect.OriginOf(*call, aFields);
  };
  aCall.m_connection->Run(std::move(request), [this, aId](Exchange aExchange) {
    OnExchange(aId, std::move(aExchange));
  });
}

AnswerKind TargetSide::Classify(const Exchange& aExchange) const
{
  if (m_dialect.IsShed(aExchange.m_status, aExchange.m_headers)) {
    return AnswerKind::Shed;
  }
  return aExchange.m_status >= kFirstServerError ? AnswerKind::Failure
                                                 : AnswerKind::Final;
}

// Handles what the target says of itself beside an answer.
void TargetSide::OnNotice(const ServedCall& aCall,
                          const Exchange& aExchange,
                          TimePoint aNow)
{
  const forwarding::TargetNotice notice =
    m_dialect.ReadNotice(aExchange.m_status, aExchange.m_headers);
  if (notice.m_leaving) {
    NoteLeaving(aCall.m_target, aNow);
  }
  if (notice.m_malformed) {
    if (m_log.Admits(EventId::TargetNoticeMalformed, aNow)) {
      m_log.Record(EventId::TargetNoticeMalformed,
                   { { "instance", aCall.m_target.m_instance },
                     { "request", aCall.m_request->requestId } });
    }
    return;
  }
  if (m_target && aCall.m_target == m_target->Start() &&
      m_admission.Rate().OnAnswer(
        notice.m_requestLimit, aCall.m_started, aNow)) {
    LogLimit();
  }
}

void TargetSide::LogLimit()
{
  const auto limit = m_admission.Rate().PerSecond();
  m_log.Record(EventId::TargetLimitChanged,
               { { "instance", m_target->m_instance },
                 { "per-second", limit ? std::to_string(*limit) : "none" } });
}

void TargetSide::OnExchange(uint64_t aId, Exchange aExchange)
{
  const auto found = m_calls.find(aId);
  if (found == m_calls.end()) {
    return;
  }
  const TimePoint now = Clock::now();
  ServedCall& call = found->second;
  if (aExchange.m_kind == Exchange::Kind::Answer) {
    OnNotice(call, aExchange, now);
  }
  if (aExchange.m_broken) {
    m_brokenAnswers.Note({ call.m_request->requestId,
                           AnswerSource::Target,
                           call.m_target.m_instance },
                         *aExchange.m_broken,
                         now);
  }
  TargetStep step;
  switch (aExchange.m_kind) {
    case Exchange::Kind::Answer: {
      const int64_t sample = ToMicroseconds(now - call.m_started);
      m_latencyUs += (sample - m_latencyUs) / kLatencyDivisor;
      const AnswerKind kind = Classify(aExchange);
      // A late copy of an earlier refusal says nothing about this request.
      step = kind == AnswerKind::Shed && aExchange.m_mayBeLate
               ? call.m_call.OnUnusableAnswer()
               : call.m_call.OnAnswer(kind, aExchange.m_reusable);
      break;
    }
    case Exchange::Kind::Unusable:
      step = call.m_call.OnUnusableAnswer();
      break;
    case Exchange::Kind::Lost:
      step = call.m_call.OnConnectionLost(aExchange.m_anyByteWritten);
      break;
  }
  call.m_exchange = std::move(aExchange);
  Execute(aId, step, now);
}

void TargetSide::End(uint64_t aId, const TargetStep& aStep, TimePoint aNow)
{
  auto entry = m_calls.extract(aId);
  ServedCall& call = entry.mapped();
  m_deadlines.Remove(call.m_deadline, aId);
  NoteNotRunning(call, *aStep.m_end, aNow);
  m_bytes -= call.m_request->body.size();
  m_expectedBytes -= call.m_expectedBytes;
  if (aStep.m_dequeue) {
    m_admission.Cancel(aId);
  }
  if (aStep.m_close && call.m_connection) {
    call.m_connection->Close();
  } else if (aStep.m_returnToPool) {
    m_pool->GiveBack(std::move(call.m_connection));
  }
  std::vector<Decision> next;
  if (aStep.m_releaseSlot && call.m_isolated &&
      MayHaveEndedTarget(*aStep.m_end)) {
    HoldSlot(aId, aNow);
  } else if (aStep.m_releaseSlot) {
    next = m_admission.Finished(aId, aNow);
  }
  // A failure this close to the deadline says that the request took long, not
  // that the target is faulty.
  if (aNow + forwarding::Call::kMinRetryTime < call.m_deadline) {
    m_health.Note(*aStep.m_end);
  }
  if (call.m_started != TimePoint{}) {
    NoteEnd(aId, call, *aStep.m_end, aNow);
  }
  if (*aStep.m_end == Outcome::Answered) {
    m_work.Note(call.m_request->route, aNow - call.m_started);
    m_sizes.Note(call.m_request->route, call.m_exchange.m_body.size());
  }
  if (call.m_reply) {
    TargetReply reply;
    reply.m_outcome = *aStep.m_end;
    FillResponse(reply, call.m_exchange, call.m_request->method == "HEAD");
    reply.m_response.retryAfterUs = ToMicroseconds(call.m_retryAfter);
    if (call.m_started != TimePoint{}) {
      reply.m_response.__set_queuedUs(
        ToMicroseconds(call.m_started - call.m_arrived));
      reply.m_response.__set_targetUs(ToMicroseconds(aNow - call.m_started));
    }
    call.m_reply(std::move(reply));
  }
  Apply(std::move(next), aNow);
}

// Another request with the same id may still be running.
void TargetSide::NoteNotRunning(const ServedCall& aCall,
                                Outcome aOutcome,
                                TimePoint aNow)
{
  const std::string& id = aCall.m_request->requestId;
  const auto [first, last] = m_running.equal_range(id);
  const auto running = std::find_if(first, last, [&aCall](const auto& aEntry) {
    return aEntry.second == aCall.m_request;
  });
  if (running == last) {
    return;
  }
  m_running.erase(running);
  if (MayHaveEndedTarget(aOutcome)) {
    if (m_givenUp.size() >= kMaxGivenUp) {
      m_givenUp.clear();
    }
    m_givenUp[id] = { aCall.m_request->office, aNow + kGivenUpTime };
  }
}

void TargetSide::FillResponse(TargetReply& aReply,
                              Exchange& aExchange,
                              bool aIsHead)
{
  const forwarding::OutcomeInfo& info = InfoOf(aReply.m_outcome);
  wire::CallResponse& response = aReply.m_response;
  response.run = info.m_runState;
  response.status = info.m_status;
  response.__set_load(Load());
  if (m_target && m_target->m_state != discovery::ReportedState::Ready) {
    response.__set_leaving(wire::ToWire(m_target->Start()));
  }
  const bool failed = aReply.m_outcome == Outcome::AnsweredFailure;
  const bool answered = aReply.m_outcome == Outcome::Answered || failed;
  if (answered || aReply.m_outcome == Outcome::Shed) {
    response.status = aExchange.m_status;
    response.headers = std::move(aExchange.m_headers);
    response.body = std::move(aExchange.m_body);
    forwarding::StripHopByHop(response.headers, aIsHead);
  }
  if (!answered || failed) {
    response.reason = info.m_reason;
  }
}

wire::TargetLoad TargetSide::Load() const
{
  wire::TargetLoad load;
  load.slots = m_admission.Slots();
  load.running = m_admission.Running();
  load.queued = m_admission.Queued();
  load.latencyUs = m_latencyUs;
  load.draining = State() == TargetState::Draining;
  load.failurePercent = m_health.FailurePercent();
  if (const auto limit = m_admission.Rate().PerSecond(); limit && m_target) {
    wire::TargetLimit named;
    named.start = wire::ToWire(m_target->Start());
    named.perSecond = *limit;
    load.__set_limit(named);
  }
  load.waitUs = ToMicroseconds(
    m_admission.ExpectedWait(std::numeric_limits<int>::min(), Clock::now()));
  return load;
}

} // namespace wigeonfold::node
