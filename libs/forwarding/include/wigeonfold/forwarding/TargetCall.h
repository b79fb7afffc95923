// A request at the target's node, from admission to the target's answer.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"

#include <optional>

namespace wigeonfold::forwarding {

// Actions for the owner. The last step sets m_end.
struct TargetStep
{
  bool m_connect = false; // take a connection from the pool or open one
  bool m_write = false;   // write the request
  // For the connection, or the attempt to open it:
  bool m_close = false;
  // Unused, or reusable after a complete answer.
  bool m_returnToPool = false;
  bool m_dequeue = false;     // withdraw from the admission queue
  bool m_releaseSlot = false; // give the slot back
  std::optional<Outcome> m_end;
};

// Effect of the target's answer on the request.
enum class AnswerKind
{
  Final,   // passed on to the caller
  Failure, // the target ran it and failed; another target may succeed
  Shed,    // the target did not run it
};

// Tracks one request from admission to the target's answer. Reports "not run"
// only if no byte of the request was written, or if the target itself said so.
// Events after a step with m_end are ignored. Deterministic; not thread safe.
class TargetCall
{
public:
  explicit TargetCall(TimePoint aDeadline);

  TargetStep OnAdmitted(TimePoint aNow);
  TargetStep OnRejected(admission::RejectReason aReason);
  // Targets have ended because of such a request since it began to wait.
  TargetStep OnQuarantined();
  TargetStep OnConnected(TimePoint aNow);
  TargetStep OnConnectFailed();
  // The target's complete answer. aReusable: the connection can carry further
  // requests.
  TargetStep OnAnswer(AnswerKind aKind, bool aReusable);
  // The answer is broken, or may be another request's.
  TargetStep OnUnusableAnswer();
  // aAnyByteWritten is false only if the operating system accepted no byte of
  // the request.
  TargetStep OnConnectionLost(bool aAnyByteWritten);
  TargetStep OnDeadline();
  TargetStep OnCancel();

  bool IsOver() const { return m_state == State::Over; }
  bool IsWritten() const { return m_state == State::Written; }

private:
  enum class State
  {
    Waiting, // for a slot
    Connecting,
    Written,
    Over,
  };

  TargetStep End(Outcome aOutcome);
  TargetStep Stop(Outcome aBeforeWrite, Outcome aAfterWrite);

  TimePoint m_deadline;
  State m_state = State::Waiting;
};

} // namespace wigeonfold::forwarding
