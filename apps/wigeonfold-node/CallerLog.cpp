// What CallerSide tells of callers' requests in the log.
#include "CallerSide.h"

#include "wigeonfold/forwarding/Fingerprint.h"

namespace wigeonfold::node {

using forwarding::AttemptKey;
using forwarding::Outcome;

namespace {

constexpr int64_t kMicrosecondsPerMillisecond = 1000;

} // namespace

void CallerSide::LogRefusal(const wire::CallRequest& aRequest,
                            uint64_t aFingerprint,
                            const CrashRefusal& aRefusal,
                            TimePoint aNow)
{
  if (!m_log.Admits(EventId::RequestQuarantined, aNow)) {
    return;
  }
  m_log.Record(
    EventId::RequestQuarantined,
    { { "request", aRequest.requestId },
      { "content", forwarding::FormatFingerprint(aFingerprint) },
      { "route", aRequest.route },
      { "reason", InfoOf(aRefusal.m_outcome).m_reason },
      { "crashes", std::to_string(m_crashLedger.CrashesOf(aFingerprint)) },
      { "left-ms", std::to_string(ToMilliseconds(aRefusal.m_retryAfter)) } });
}

void CallerSide::NoteBrokenAnswer(const AttemptKey& aKey,
                                  const net::BrokenAnswer& aBroken)
{
  const auto found = m_calls.find(aKey.m_call);
  if (found == m_calls.end()) {
    return;
  }
  const ActiveCall& call = found->second;
  for (const Attempt& attempt : call.m_attempts) {
    if (attempt.m_number == aKey.m_attempt) {
      m_brokenAnswers.Note(
        { call.m_request->requestId, AnswerSource::Node, attempt.m_target },
        aBroken,
        Clock::now());
    }
  }
}

// Logs what the decision was based on: the outcome, the target and the load it
// reported last, and the version of the configuration in use.
void CallerSide::Log(EventId aEvent,
                     const ActiveCall& aCall,
                     Outcome aOutcome,
                     TimePoint aNow)
{
  if (!m_log.Admits(aEvent, aNow)) {
    return;
  }
  const wire::CallRequest& request = *aCall.m_request;
  std::vector<EventField> fields{
    { "request", request.requestId },
    { "content", forwarding::FormatFingerprint(aCall.m_fingerprint) },
    { "route", request.route },
    { "service", request.serviceName },
    { "outcome", InfoOf(aOutcome).m_reason },
    { "target", aCall.m_lastTarget },
    { "attempts", std::to_string(aCall.m_attempts.size()) },
    { "elapsed-ms", std::to_string(ToMilliseconds(aNow - aCall.m_arrived)) },
    { "left-ms",
      std::to_string(ToMilliseconds(aCall.m_call.Deadline() - aNow)) },
    { "version", ToString(aCall.m_view->Settings().TreeVersion()) },
  };
  if (const auto& rollout = aCall.m_call.Route().m_rollout) {
    fields.push_back({ "software", aCall.m_lastSoftware });
    fields.push_back({ "rollout", rollout->m_version });
    fields.push_back({ "phase", rollout::ToString(rollout->m_phase) });
  }
  if (!request.office.empty()) {
    fields.push_back({ "account", request.office });
  }
  if (aCall.m_response.__isset.targetUs) {
    // The rest of the elapsed time was spent between the nodes.
    const auto milliseconds = [](int64_t aUs) {
      return std::to_string(aUs / kMicrosecondsPerMillisecond);
    };
    fields.push_back({ "queued-ms", milliseconds(aCall.m_response.queuedUs) });
    fields.push_back({ "target-ms", milliseconds(aCall.m_response.targetUs) });
  }
  if (aCall.m_response.__isset.load) {
    const wire::TargetLoad& load = aCall.m_response.load;
    fields.push_back({ "slots", std::to_string(load.slots) });
    fields.push_back({ "running", std::to_string(load.running) });
    fields.push_back({ "queued", std::to_string(load.queued) });
    fields.push_back({ "wait-ms", std::to_string(load.waitUs / 1000) });
    fields.push_back({ "failures", std::to_string(load.failurePercent) });
  }
  m_log.Record(aEvent, std::move(fields));
}

} // namespace wigeonfold::node
