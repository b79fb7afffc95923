// Life of a request at the target's node.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"

#include <optional>

namespace wigeonfold::forwarding {

// What the owner does next. m_end comes with the last step.
struct TargetStep
{
  bool m_connect = false; // take a connection from the pool or open one
  bool m_write = false;   // write the request
  // What happens to the connection, or the attempt to open it.
  bool m_close = false;
  bool m_returnToPool =
    false;                    // unused or completely answered: back to the pool
  bool m_dequeue = false;     // withdraw from the admission queue
  bool m_releaseSlot = false; // give the slot back
  std::optional<Outcome> m_end;
};

// What the target's answer says of the request.
enum class AnswerKind
{
  Final,
  Failure, // the target ran it and failed; another target may do better
  Shed,    // the target did not run it
};

// Follows one request from admission to the target's answer. Reports "not run"
// only when no byte of it was written, or the target itself said so. After a
// step with m_end every further event is ignored. Deterministic; not thread
// safe.
class TargetCall
{
public:
  explicit TargetCall(TimePoint aDeadline);

  TargetStep OnAdmitted(TimePoint aNow);
  TargetStep OnRejected(admission::RejectReason aReason);
  TargetStep OnConnected(TimePoint aNow);
  TargetStep OnConnectFailed();
  // The target's whole answer. aReusable: the connection is left in a known
  // state.
  TargetStep OnAnswer(AnswerKind aKind, bool aReusable);
  // The answer is too large or may have been cut short.
  TargetStep OnUnusableAnswer();
  // aAnyByteWritten is false only when the system took no byte at all.
  TargetStep OnConnectionLost(bool aAnyByteWritten);
  TargetStep OnDeadline();
  TargetStep OnCancel();

  bool IsOver() const { return m_state == State::Over; }
  bool IsWritten() const { return m_state == State::Written; }

private:
  enum class State
  {
    Waiting,
    Connecting,
    Written,
    Over,
  };

  TargetStep End(Outcome aOutcome);
  TargetStep Withdraw(Outcome aBeforeWrite, Outcome aAfterWrite);

  TimePoint m_deadline;
  State m_state = State::Waiting;
};

} // namespace wigeonfold::forwarding
