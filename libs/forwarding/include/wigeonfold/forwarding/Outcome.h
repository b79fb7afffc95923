// Ways in which a request, or one attempt at it, can end.
#pragma once

#include "wigeonfold/admission/Admission.h"
#include "wigeonfold/routing/Tracker.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonfold::forwarding {

// See docs/design.md 6.3 for the table of outcomes.
enum class Outcome
{
  // Answered by the target.
  Answered,
  AnsweredFailure, // the target ran the request and answered with a 5xx status
  Shed,            // the target says that it did not run the request

  // Rejected at the caller's node.
  NoConfiguration,
  Overloaded, // requests in memory exceed the limit in bytes
  NoRoute,
  Malformed,
  BodyTooLarge,
  DepthExceeded,
  OverQuota, // the client account has used up its quota
  NoEndpoint,
  Unauthenticated, // no valid key of a client account
  KeysNotCurrent,  // the node's keys may be outdated, so it uses none of them

  // Rejected at the target's node.
  NoTarget, // no target is announced there, or one of another service
  QueueFull,
  ClientAccountShare,
  QueueTimeout,
  Displaced,
  TooLate,     // an answer would miss the latency objective
  RateLimited, // the same, because of the limit that the target names
  Draining,
  IsolationBusy, // it has to run alone, and other requests did not end in time
  HedgeRefused,  // a hedge that would have waited for a slot

  // Rejected at either node.
  Quarantined, // targets ended each time that they ran such a request

  // Failed between the caller's node and the target.
  ExpiredBeforeWrite,
  ExpiredAfterWrite,
  PeerNotWritten, // peer connection failed before the frame was written
  PeerLost,       // peer connection lost after the frame was written
  TargetRefused,  // no byte reached the target
  TargetLost,     // target connection lost after a byte was written
  AnswerUnusable, // broken, and not merely cut short by the connection's end

  // The caller disconnected, so no answer is sent.
  CancelledBeforeWrite,
  CancelledAfterWrite,
};

struct OutcomeInfo
{
  Outcome m_outcome;
  // Stable name, sent as the reason between nodes and to callers.
  const char* m_reason;
  wire::RunState::type m_runState; // whether the target ran the request
  int m_status;         // of the answer to the caller; 0: the target's own
  bool m_hasRetryAfter; // the answer carries Retry-After
  bool m_retryable;     // another endpoint may succeed
  routing::AttemptResult m_result; // recorded for the endpoint
};

// All rows in the order of the enumeration. Thread safe.
const std::vector<OutcomeInfo>& OutcomeTable();
const OutcomeInfo& InfoOf(Outcome aOutcome);

// Outcome reported by a peer. A reason that is unknown to this version, or that
// contradicts the run state, maps to a generic outcome of that state.
Outcome OutcomeFromPeer(wire::RunState::type aRun, std::string_view aReason);

// Whether an attempt with this outcome may have reached its target.
bool MayHaveReachedTarget(Outcome aOutcome);

Outcome OutcomeOf(admission::RejectReason aReason);

// Value of the Wigeonfold-Run header.
const char* RunStateText(wire::RunState::type aRun);

} // namespace wigeonfold::forwarding
