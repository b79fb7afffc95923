// How a request or one attempt at it can end.
#pragma once

#include "wigeonfold/admission/Admission.h"
#include "wigeonfold/routing/Tracker.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonfold::forwarding {

// One value per way to end; docs/design.md 6.3 has the table.
enum class Outcome
{
  // The target gave an answer.
  Answered,
  AnsweredFailure, // an answer with a 5xx status: the target ran it in vain
  Shed,            // the target says that it did not run the request
                   // Rejected at the caller's node.
  NoConfiguration,
  Overloaded, // too many bytes of requests in memory
  NoRoute,
  Malformed,
  BodyTooLarge,
  DepthExceeded,
  NoEndpoint,
  // Rejected at the target's node.
  NoTarget, // none announced there, or one of another service
  QueueFull,
  ClientAccountShare,
  QueueTimeout,
  Displaced,
  TooLate, // an answer would come after the latency objective
  Draining,
  // Failed on the way.
  ExpiredBeforeWrite,
  ExpiredAfterWrite,
  PeerNotWritten, // peer connection failed before the frame was written
  PeerLost,       // peer connection lost after the frame was written
  TargetRefused,  // no byte reached the target
  TargetLost,     // target connection lost after a byte was written
  AnswerUnusable, // too large, or not delimited, so that it may be cut short
                  // The caller went away; nobody sees these.
  CancelledBeforeWrite,
  CancelledAfterWrite,
};

struct OutcomeInfo
{
  Outcome m_outcome;
  // Stable name, sent as the reason between nodes and to callers.
  const char* m_reason;
  wire::RunState::type m_run;
  int m_status;      // 0: the target's own
  bool m_retryAfter; // the answer carries Retry-After
  bool m_elsewhere;  // another endpoint may do better
  routing::AttemptResult m_result;
};

// All rows in the order of the enumeration. Thread safe.
const std::vector<OutcomeInfo>& OutcomeTable();
const OutcomeInfo& InfoOf(Outcome aOutcome);

// Outcome that a peer reported. A reason that this version does not know, or
// one that contradicts the run state, becomes a generic outcome of that state.
Outcome OutcomeFromPeer(wire::RunState::type aRun, std::string_view aReason);

// Whether an attempt that ended so may have reached its target.
bool MayHaveArrived(Outcome aOutcome);

Outcome OutcomeOf(admission::RejectReason aReason);

// Value of the Wigeonfold-Run header.
const char* RunText(wire::RunState::type aRun);

} // namespace wigeonfold::forwarding
