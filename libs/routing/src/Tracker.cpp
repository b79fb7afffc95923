#include "wigeonfold/routing/Tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wigeonfold::routing {

namespace {

using namespace std::chrono_literals;

// Load changes within seconds, so older reports say nothing about current load.
constexpr Duration kReportLifetime = 500ms;
// A draining target is avoided until its record leaves the view. The time limit
// makes a target available again that returns with the same epoch.
constexpr Duration kMaxDrainAvoidance = 3s;
constexpr int kMaxEjectionFactor = 10;
// After this time a call tests whether the node is reachable again.
constexpr Duration kUnreachableAvoidance = 1s;
// Weight of the newest outcome in the moving average of the failure rate.
constexpr double kFailureWeight = 0.1;
// Bounds the cost of a failing target, so that it still gets a few calls, which
// show when it has recovered.
constexpr double kMinSuccessRate = 0.2;
// Part by which a call is expected to take longer when all slots of the target
// are busy.
constexpr double kBusySlowdown = 0.5;

} // namespace

const Tracker::State* Tracker::FindState(const Endpoint& aEndpoint) const
{
  const auto found = m_states.find(aEndpoint.m_nodeName);
  if (found == m_states.end() ||
      found->second.m_nodeEpoch != aEndpoint.m_nodeEpoch) {
    return nullptr;
  }
  return &found->second;
}

Tracker::State& Tracker::StateOf(const Endpoint& aEndpoint)
{
  State& state = m_states[aEndpoint.m_nodeName];
  if (state.m_nodeEpoch < aEndpoint.m_nodeEpoch) {
    // A restarted node starts with new state.
    state = State{};
    state.m_nodeEpoch = aEndpoint.m_nodeEpoch;
  }
  return state;
}

void Tracker::OnSent(const Endpoint& aEndpoint)
{
  ++StateOf(aEndpoint).m_inFlight;
}

void Tracker::OnEnded(const ServiceRoute& aRoute,
                      const Endpoint& aEndpoint,
                      AttemptResult aResult,
                      const wire::TargetLoad* aLoad,
                      TimePoint aNow)
{
  State& state = StateOf(aEndpoint);
  if (state.m_nodeEpoch != aEndpoint.m_nodeEpoch) {
    return; // the attempt was made before the node restarted
  }
  if (aLoad != nullptr) {
    state.m_othersAtTarget =
      std::max(0, aLoad->running + aLoad->queued - state.m_inFlight);
    state.m_reported = aNow;
    state.m_latency = std::chrono::microseconds(aLoad->latencyUs);
    state.m_wait = std::chrono::microseconds(aLoad->waitUs);
    state.m_failureRate = aLoad->failurePercent / 100.0;
    state.m_requestLimit = aLoad->__isset.limit
                             ? std::optional(aLoad->limit.perSecond)
                             : std::nullopt;
  }
  state.m_inFlight = std::max(0, state.m_inFlight - 1);
  const bool failed = aResult == AttemptResult::Failed ||
                      aResult == AttemptResult::Shed ||
                      aResult == AttemptResult::AnsweredFailure;
  if (failed || aResult == AttemptResult::Answered) {
    state.m_ownFailureRate +=
      kFailureWeight * ((failed ? 1 : 0) - state.m_ownFailureRate);
  }
  switch (aResult) {
    case AttemptResult::Answered:
      state.m_failures = 0;
      state.m_ejections = 0;
      break;
    case AttemptResult::AnsweredFailure:
    case AttemptResult::Shed:
    case AttemptResult::Refused:
      break;
    case AttemptResult::Draining:
      state.m_drainingUntil = aNow + kMaxDrainAvoidance;
      break;
    case AttemptResult::Failed:
      if (++state.m_failures >= aRoute.m_ejectFailures) {
        state.m_failures = 0;
        state.m_ejections = std::min(state.m_ejections + 1, kMaxEjectionFactor);
        state.m_ejectedUntil =
          aNow + aRoute.m_ejectDuration * state.m_ejections;
      }
      break;
  }
}

void Tracker::OnDraining(const std::string& aNodeName, TimePoint aNow)
{
  const auto state = m_states.find(aNodeName);
  if (state != m_states.end()) {
    state->second.m_drainingUntil = aNow + kMaxDrainAvoidance;
  }
}

bool Tracker::OnUnreachable(const std::string& aNodeName, TimePoint aNow)
{
  const auto state = m_states.find(aNodeName);
  if (state == m_states.end()) {
    return false;
  }
  TimePoint& until = state->second.m_unreachableUntil;
  const bool isNew = until == TimePoint{};
  until = aNow + kUnreachableAvoidance;
  return isNew;
}

bool Tracker::OnReachable(const std::string& aNodeName)
{
  const auto state = m_states.find(aNodeName);
  if (state == m_states.end()) {
    return false;
  }
  const TimePoint until = std::exchange(state->second.m_unreachableUntil, {});
  return until != TimePoint{};
}

double Tracker::LoadOf(const Endpoint& aEndpoint, TimePoint aNow) const
{
  const State* state = FindState(aEndpoint);
  if (state == nullptr) {
    return 0;
  }
  const bool recent = aNow - state->m_reported < kReportLifetime;
  const int calls = state->m_inFlight + (recent ? state->m_othersAtTarget : 0);
  return static_cast<double>(calls) / aEndpoint.m_slots;
}

Duration Tracker::CostOf(const Endpoint& aEndpoint,
                         Duration aDefaultLatency,
                         TimePoint aNow) const
{
  const State* state = FindState(aEndpoint);
  if (state == nullptr) {
    return aDefaultLatency;
  }
  const bool recent = aNow - state->m_reported < kReportLifetime;
  const Duration latency =
    state->m_latency > Duration::zero() ? state->m_latency : aDefaultLatency;
  // Calls sent since the last report occupy slots that it counted as free.
  const double load = LoadOf(aEndpoint, aNow);
  const auto queued = std::chrono::duration_cast<Duration>(
    latency * std::max(0.0, load - 1 + 1.0 / aEndpoint.m_slots));
  // A target that names a limit may have free slots and yet let calls wait.
  const bool mayWait = load >= 1 || state->m_requestLimit;
  const Duration wait =
    recent && mayWait ? std::max(state->m_wait, queued) : queued;
  // Targets slow down as their slots fill, so the less loaded one of equal
  // targets is preferred.
  const double slowdown = 1 + kBusySlowdown * std::min(load, 1.0);
  const double success =
    std::max(kMinSuccessRate,
             1 - std::max(state->m_failureRate, state->m_ownFailureRate));
  return std::chrono::duration_cast<Duration>((latency * slowdown + wait) /
                                              (success * success));
}

Duration Tracker::ReportedLatency(const Endpoint& aEndpoint) const
{
  const State* state = FindState(aEndpoint);
  return state == nullptr ? Duration::zero() : state->m_latency;
}

std::optional<double> Tracker::RequestLimit(const Endpoint& aEndpoint) const
{
  const State* state = FindState(aEndpoint);
  return state == nullptr ? std::nullopt : state->m_requestLimit;
}

bool Tracker::IsAvoided(const Endpoint& aEndpoint, TimePoint aNow) const
{
  const State* state = FindState(aEndpoint);
  return state != nullptr &&
         (aNow < state->m_ejectedUntil || aNow < state->m_drainingUntil ||
          aNow < state->m_unreachableUntil);
}

bool Tracker::IsUnavailable(const Endpoint& aEndpoint, TimePoint aNow) const
{
  const State* state = FindState(aEndpoint);
  return state != nullptr &&
         (aNow < state->m_drainingUntil || aNow < state->m_unreachableUntil);
}

int Tracker::InFlight(const Endpoint& aEndpoint) const
{
  const State* state = FindState(aEndpoint);
  return state == nullptr ? 0 : state->m_inFlight;
}

void Tracker::Retain(const View& aView)
{
  std::set<std::string> known;
  for (const std::string& name : aView.Settings().Children("services")) {
    for (const Endpoint& endpoint : aView.Find(name)->m_endpoints) {
      known.insert(endpoint.m_nodeName);
    }
  }
  for (auto state = m_states.begin(); state != m_states.end();) {
    const bool idle = state->second.m_inFlight == 0;
    const bool drop = idle && known.count(state->first) == 0;
    state = drop ? m_states.erase(state) : std::next(state);
  }
}

} // namespace wigeonfold::routing
