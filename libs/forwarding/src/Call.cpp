#include "wigeonfold/forwarding/Call.h"

#include <algorithm>

namespace wigeonfold::forwarding {

using wire::RunState;

Call::Call(const CallSpec& aSpec,
           const routing::ServiceRoute& aRoute,
           RetryBudget& aBudget,
           CallContext aContext)
  : m_spec(aSpec)
  , m_route(aRoute)
  , m_budget(aBudget)
  , m_context(aContext)
{
}

CallStep Call::Start(TimePoint aNow)
{
  if (aNow >= m_spec.m_deadline) {
    return End(Outcome::ExpiredBeforeWrite, aNow);
  }
  CallStep step;
  step.m_start = StartNext(aNow);
  if (!step.m_start) {
    return End(Outcome::NoEndpoint, aNow);
  }
  m_budget.OnFirstAttempt(m_route.m_retryBudgetPercent);
  if (m_spec.m_fromRetriedRequest) {
    m_budget.OnCallFromRetriedRequest();
  }
  return step;
}

void Call::OnWritten(int aAttempt)
{
  for (Attempt& attempt : m_outstanding) {
    if (attempt.m_number == aAttempt) {
      attempt.m_written = true;
    }
  }
}

const routing::Endpoint* Call::EndpointOf(int aAttempt) const
{
  for (const Attempt& attempt : m_outstanding) {
    if (attempt.m_number == aAttempt) {
      return attempt.m_endpoint;
    }
  }
  return nullptr;
}

CallStep Call::OnAttemptEnded(int aAttempt,
                              Outcome aOutcome,
                              const wire::TargetLoad* aLoad,
                              TimePoint aNow)
{
  const auto attempt = std::find_if(
    m_outstanding.begin(),
    m_outstanding.end(),
    [aAttempt](const Attempt& aOne) { return aOne.m_number == aAttempt; });
  if (attempt == m_outstanding.end()) {
    return {};
  }
  const OutcomeInfo& info = InfoOf(aOutcome);
  m_context.m_tracker.OnEnded(
    m_route, *attempt->m_endpoint, ResultOf(aOutcome, aNow), aLoad, aNow);
  const Attempt ended = *attempt;
  m_outstanding.erase(attempt);
  if (aOutcome == Outcome::Answered) {
    return End(aOutcome, aNow);
  }
  if (info.m_runState == RunState::Unknown && !m_unknownOutcome) {
    m_unknownOutcome = aOutcome;
  }
  m_failureAnswered |= aOutcome == Outcome::AnsweredFailure;
  if (ended.m_speculative && !MayHaveReachedTarget(aOutcome)) {
    OnHedgeRefused(ended);
  } else {
    ++(MayHaveReachedTarget(aOutcome) ? m_deliveries : m_refusals);
  }
  if (!m_outstanding.empty()) {
    return {};
  }
  if (MayRetry(aOutcome, aNow)) {
    CallStep step;
    step.m_start = StartNext(aNow);
    if (step.m_start) {
      return step;
    }
  }
  return End(aOutcome, aNow);
}

CallStep Call::OnDeadline(TimePoint aNow)
{
  return Stop(Outcome::ExpiredBeforeWrite, Outcome::ExpiredAfterWrite, aNow);
}

CallStep Call::Cancel(TimePoint aNow)
{
  return Stop(
    Outcome::CancelledBeforeWrite, Outcome::CancelledAfterWrite, aNow);
}

CallStep Call::Hedge(TimePoint aNow)
{
  CallStep step;
  if (MayHedge(aNow)) {
    step.m_start = StartNext(aNow);
  }
  return step;
}

CallStep Call::HedgeSlow(TimePoint aNow)
{
  CallStep step;
  const size_t deliveries = m_deliveries + m_outstanding.size();
  if (m_hedged || !MayHedge(aNow) ||
      deliveries >= static_cast<size_t>(m_spec.m_maxAttempts)) {
    return step;
  }
  const routing::Endpoint* endpoint = m_context.m_chooser.ChooseHedge(
    m_route, m_tried, m_context.m_tracker, aNow);
  if (endpoint == nullptr || !m_budget.TryRetry(m_route.m_retryBudgetPercent)) {
    return step;
  }
  m_hedged = true;
  step.m_start = Add(*endpoint, true, true);
  return step;
}

bool Call::MayHedge(TimePoint aNow) const
{
  return !m_over && m_spec.m_idempotent && !m_isolated &&
         m_outstanding.size() == 1 && aNow < m_spec.m_deadline;
}

// The target received nothing, and may be tried again.
void Call::OnHedgeRefused(const Attempt& aAttempt)
{
  m_budget.Return();
  std::erase(m_tried, aAttempt.m_endpoint->m_nodeName);
}

bool Call::MayRetry(Outcome aOutcome, TimePoint aNow) const
{
  const bool mayHaveRun = m_unknownOutcome.has_value() || m_failureAnswered;
  // Whether the target has ended under it is not known yet.
  if (m_isolated && InfoOf(aOutcome).m_runState == RunState::Unknown) {
    return false;
  }
  return InfoOf(aOutcome).m_retryable && HasTimeToRetry(aNow) &&
         (!mayHaveRun || m_spec.m_idempotent);
}

bool Call::HasTimeToRetry(TimePoint aNow) const
{
  return aNow + kMinRetryTime < m_spec.m_deadline;
}

// A failure answered at the deadline is due to the duration of the request, not
// to the target's health, so it does not count against the endpoint.
routing::AttemptResult Call::ResultOf(Outcome aOutcome, TimePoint aNow) const
{
  return aOutcome == Outcome::AnsweredFailure && !HasTimeToRetry(aNow)
           ? routing::AttemptResult::Answered
           : InfoOf(aOutcome).m_result;
}

Duration Call::UntilObjective(TimePoint aNow) const
{
  return std::max(m_spec.m_objective - aNow, Duration::zero());
}

const routing::Endpoint* Call::ChooseEndpoint(TimePoint aNow)
{
  if (m_isolated) {
    return m_context.m_chooser.ChooseDesignated(
      m_route, m_tried, m_context.m_tracker, m_spec.m_fingerprint, aNow);
  }
  return m_context.m_chooser.Choose(m_route,
                                    m_tried,
                                    m_context.m_tracker,
                                    UntilObjective(aNow),
                                    aNow,
                                    m_spec.m_requestRoute);
}

// Starts an attempt at an endpoint that was not tried yet. Nothing if there is
// none, or if the attempts, refusals or retry budget are used up.
std::optional<StartAttempt> Call::StartNext(TimePoint aNow)
{
  const size_t deliveries = m_deliveries + m_outstanding.size();
  if (deliveries >= static_cast<size_t>(m_spec.m_maxAttempts) ||
      m_refusals > kMaxRefusals) {
    return std::nullopt;
  }
  const routing::Endpoint* endpoint = ChooseEndpoint(aNow);
  if (endpoint == nullptr ||
      (deliveries > 0 && !m_budget.TryRetry(m_route.m_retryBudgetPercent))) {
    return std::nullopt;
  }
  return Add(*endpoint, deliveries > 0, false);
}

StartAttempt Call::Add(const routing::Endpoint& aEndpoint,
                       bool aRepeat,
                       bool aSpeculative)
{
  const int number = m_started++;
  m_tried.push_back(aEndpoint.m_nodeName);
  m_outstanding.push_back(Attempt{ number, &aEndpoint, false, aSpeculative });
  m_context.m_tracker.OnSent(aEndpoint);
  return StartAttempt{ number, &aEndpoint, aRepeat, aSpeculative };
}

// Ends the call. Attempts still under way are cancelled and recorded with the
// result aCancelled at their endpoints.
CallStep Call::End(Outcome aOutcome,
                   TimePoint aNow,
                   routing::AttemptResult aCancelled)
{
  CallStep step;
  for (const Attempt& attempt : m_outstanding) {
    step.m_cancel.push_back(attempt.m_number);
    m_context.m_tracker.OnEnded(
      m_route, *attempt.m_endpoint, aCancelled, nullptr, aNow);
  }
  m_outstanding.clear();
  m_over = true;
  const bool claimsNotRun = InfoOf(aOutcome).m_runState == RunState::NotRun;
  step.m_end = claimsNotRun && m_unknownOutcome ? *m_unknownOutcome : aOutcome;
  if (m_failureAnswered && aOutcome != Outcome::Answered) {
    step.m_end = Outcome::AnsweredFailure;
  }
  return step;
}

// Ends the call with aAfterWrite if an attempt under way was written, otherwise
// with aBeforeWrite.
CallStep Call::Stop(Outcome aBeforeWrite, Outcome aAfterWrite, TimePoint aNow)
{
  if (m_over) {
    return {};
  }
  const bool written =
    std::any_of(m_outstanding.begin(),
                m_outstanding.end(),
                [](const Attempt& aAttempt) { return aAttempt.m_written; });
  const Outcome outcome = written ? aAfterWrite : aBeforeWrite;
  return End(outcome, aNow, InfoOf(outcome).m_result);
}

} // namespace wigeonfold::forwarding
