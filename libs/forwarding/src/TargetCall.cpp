#include "wigeonfold/forwarding/TargetCall.h"

namespace wigeonfold::forwarding {

TargetCall::TargetCall(TimePoint aDeadline)
  : m_deadline(aDeadline)
{
}

TargetStep TargetCall::OnAdmitted(TimePoint aNow)
{
  if (m_state != State::Waiting) {
    return {};
  }
  m_state = State::Connecting;
  if (aNow >= m_deadline) {
    return End(Outcome::ExpiredBeforeWrite);
  }
  TargetStep step;
  step.m_connect = true;
  return step;
}

TargetStep TargetCall::OnRejected(admission::RejectReason aReason)
{
  return m_state == State::Waiting ? End(OutcomeOf(aReason)) : TargetStep{};
}

TargetStep TargetCall::OnQuarantined()
{
  return m_state == State::Waiting ? End(Outcome::Quarantined) : TargetStep{};
}

TargetStep TargetCall::OnConnected(TimePoint aNow)
{
  if (m_state != State::Connecting) {
    return {};
  }
  if (aNow >= m_deadline) {
    TargetStep step = End(Outcome::ExpiredBeforeWrite);
    step.m_returnToPool = true;
    return step;
  }
  m_state = State::Written;
  TargetStep step;
  step.m_write = true;
  return step;
}

TargetStep TargetCall::OnConnectFailed()
{
  return m_state == State::Connecting ? End(Outcome::TargetRefused)
                                      : TargetStep{};
}

TargetStep TargetCall::OnAnswer(AnswerKind aKind, bool aReusable)
{
  if (m_state != State::Written) {
    return {};
  }
  TargetStep step =
    End(aKind == AnswerKind::Shed      ? Outcome::Shed
        : aKind == AnswerKind::Failure ? Outcome::AnsweredFailure
                                       : Outcome::Answered);
  step.m_returnToPool = aReusable;
  step.m_close = !aReusable;
  return step;
}

TargetStep TargetCall::OnUnusableAnswer()
{
  if (m_state != State::Written) {
    return {};
  }
  TargetStep step = End(Outcome::AnswerUnusable);
  step.m_close = true;
  return step;
}

TargetStep TargetCall::OnConnectionLost(bool aAnyByteWritten)
{
  if (m_state != State::Written) {
    return {};
  }
  TargetStep step =
    End(aAnyByteWritten ? Outcome::TargetLost : Outcome::TargetRefused);
  step.m_close = true;
  return step;
}

TargetStep TargetCall::OnDeadline()
{
  return Stop(Outcome::ExpiredBeforeWrite, Outcome::ExpiredAfterWrite);
}

TargetStep TargetCall::OnCancel()
{
  return Stop(Outcome::CancelledBeforeWrite, Outcome::CancelledAfterWrite);
}

// Ends the call and releases its slot; a waiting call holds none yet.
TargetStep TargetCall::End(Outcome aOutcome)
{
  TargetStep step;
  step.m_releaseSlot = m_state != State::Waiting;
  step.m_end = aOutcome;
  m_state = State::Over;
  return step;
}

// Ends the call with aAfterWrite if the request was written, otherwise with
// aBeforeWrite.
TargetStep TargetCall::Stop(Outcome aBeforeWrite, Outcome aAfterWrite)
{
  if (m_state == State::Over) {
    return {};
  }
  const State state = m_state;
  TargetStep step = End(state == State::Written ? aAfterWrite : aBeforeWrite);
  step.m_dequeue = state == State::Waiting;
  step.m_close = state != State::Waiting;
  return step;
}

} // namespace wigeonfold::forwarding
