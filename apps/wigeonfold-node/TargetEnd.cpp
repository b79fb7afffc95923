// Ends of the target, and the requests that may have caused them.
#include "TargetSide.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/forwarding/Fingerprint.h"

#include <utility>

namespace wigeonfold::node {

using forwarding::Outcome;

namespace {

// Sign that the target has ended, for logs.
constexpr const char* kRefusesConnections = "refuses-connections";

} // namespace

// Notes how a request ended that was written to the target.
void TargetSide::NoteEnd(uint64_t aId,
                         const ServedCall& aCall,
                         Outcome aOutcome,
                         TimePoint aNow)
{
  switch (aOutcome) {
    case Outcome::Answered:
      NoteCompleted(aCall, aNow);
      m_crashDetector.OnAnswered(aId, aNow);
      break;
    // A target also answers with a failure if it stopped work at the deadline,
    // so this doesn't show that it ran the request to its end.
    case Outcome::AnsweredFailure:
    case Outcome::Shed:
      m_crashDetector.OnAnswered(aId, aNow);
      break;
    // A broken answer does not show that the target works.
    case Outcome::TargetLost:
    case Outcome::AnswerUnusable:
      m_crashDetector.OnLost(aId, aNow);
      CheckTargetEnded();
      break;
    case Outcome::TargetRefused:
      m_crashDetector.OnNotSent(aId);
      break;
    default:
      m_crashDetector.OnAbandoned(aId, aNow);
      break;
  }
}

void TargetSide::NoteCompleted(const ServedCall& aCall, TimePoint aNow)
{
  const size_t crashes = m_crashLedger.CrashesOf(aCall.m_fingerprint);
  m_crashLedger.NoteCompleted(aCall.m_fingerprint, aNow);
  if (crashes > 0 && m_log.Admits(EventId::RequestExonerated, aNow)) {
    m_log.Record(
      EventId::RequestExonerated,
      { { "request", aCall.m_request->requestId },
        { "content", forwarding::FormatFingerprint(aCall.m_fingerprint) },
        { "crashes", std::to_string(crashes) } });
  }
}

void TargetSide::HoldSlot(uint64_t aId, TimePoint aNow)
{
  m_heldSlot = HeldSlot{ aId, aNow + m_options.m_announceLease };
}

void TargetSide::ReleaseHeldSlot(TimePoint aNow)
{
  if (const auto held = std::exchange(m_heldSlot, std::nullopt)) {
    FreeSlot(held->m_id, aNow);
  }
}

// Opens a connection to a target that may have ended, to see whether it accepts
// it. The connection is kept for the next request.
void TargetSide::CheckTargetEnded()
{
  if (m_probe || !m_crashDetector.MayHaveEnded()) {
    return;
  }
  m_probe = m_pool->Open([this, start = m_target->Start()](bool aConnected) {
    const TargetConnectionPtr probe = std::exchange(m_probe, nullptr);
    if (aConnected) {
      m_pool->GiveBack(probe);
      ReleaseHeldSlot(Clock::now());
    } else {
      OnConnectionRefused(start, Clock::now());
    }
  });
}

// A start of the target without a request under way that refuses connections
// has ended. Its callers are told to choose another target until it reports
// again.
void TargetSide::OnConnectionRefused(const TargetStart& aStart, TimePoint aNow)
{
  if (m_crashDetector.HasRunning() || m_target->Start() != aStart) {
    return;
  }
  OnTargetEnded(aStart.m_instance, kRefusesConnections, aNow);
  m_refusesConnections = true;
  UpdateDraining(aNow);
}

void TargetSide::OnTargetEnded(const std::string& aInstance,
                               const char* aSign,
                               TimePoint aNow)
{
  const forwarding::TargetCrash crash = m_crashDetector.OnEnded(aNow);
  if (crash.m_requests.empty()) {
    return;
  }
  ++m_crashes;
  const auto eventId = static_cast<int64_t>(
    Hash64(m_options.m_nodeName + '/' + aInstance + '/' +
           std::to_string(ToMicroseconds(aNow.time_since_epoch()))));
  for (const forwarding::WrittenRequest& request : crash.m_requests) {
    m_crashLedger.AddCrash(
      request.m_fingerprint, eventId, crash.IsAlone(), aNow);
  }
  LogCrash(crash, aInstance, aSign, aNow);
  ReleaseHeldSlot(aNow);
}

void TargetSide::LogCrash(const forwarding::TargetCrash& aCrash,
                          const std::string& aInstance,
                          const char* aSign,
                          TimePoint aNow)
{
  m_log.Record(EventId::TargetEnded,
               { { "instance", aInstance },
                 { "sign", aSign },
                 { "requests", std::to_string(aCrash.m_requests.size()) } });
  for (const forwarding::WrittenRequest& request : aCrash.m_requests) {
    if (m_log.Admits(EventId::RequestAtCrash, aNow)) {
      m_log.Record(
        EventId::RequestAtCrash,
        { { "request", request.m_requestId },
          { "content", forwarding::FormatFingerprint(request.m_fingerprint) },
          { "instance", aInstance },
          { "ran-ms",
            std::to_string(ToMilliseconds(aNow - request.m_written)) },
          { "alone", aCrash.IsAlone() ? "yes" : "no" },
          { "crashes",
            std::to_string(m_crashLedger.CrashesOf(request.m_fingerprint)) } });
    }
  }
}

} // namespace wigeonfold::node
