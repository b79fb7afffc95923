// What a node knows of other nodes' targets from its own calls.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/routing/View.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <string>
#include <unordered_map>

namespace wigeonfold::routing {

// How an attempt at an endpoint ended, as far as choosing targets goes.
enum class AttemptResult
{
  Answered, // the target answered, whatever the status
  Refused,  // proven not run: queue full, office over its share, shed
  Draining, // proven not run: the target is leaving
  Failed,   // connection failed or lost, or no answer in time
};

// Keeps in-flight calls, the load carried on answers, and ejections. All of it
// is first-hand: health and load reports from elsewhere lag and mislead. Not
// thread safe.
class Tracker
{
public:
  void OnSent(const Endpoint& aEndpoint);
  // aLoad is null when the attempt brought none. Ejects the endpoint after
  // the service's number of consecutive failures.
  void OnEnded(const ServiceRoute& aRoute,
               const Endpoint& aEndpoint,
               AttemptResult aResult,
               const wire::TargetLoad* aLoad,
               TimePoint aNow);

  // Estimated calls at the target per slot: own calls in flight plus what
  // others had there at the last answer, while that answer is recent.
  double LoadOf(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Ejected after failures, or known to drain.
  bool IsAvoided(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Avoided because it said itself that it takes no calls.
  bool IsDraining(const Endpoint& aEndpoint, TimePoint aNow) const;
  int InFlight(const Endpoint& aEndpoint) const;

  // Drops what is known of nodes that are not in the view.
  void Retain(const View& aView);

private:
  struct State
  {
    int64_t m_nodeEpoch = 0;
    int m_inFlight = 0;
    int m_othersAtTarget = 0; // running and queued there for other nodes
    TimePoint m_reported{};
    int m_failures = 0;
    int m_ejections = 0; // in a row; each lasts longer
    TimePoint m_avoidUntil{};
    TimePoint m_drainingUntil{};
  };

  const State* FindState(const Endpoint& aEndpoint) const;
  State& StateOf(const Endpoint& aEndpoint);

  std::unordered_map<std::string, State> m_states;
};

} // namespace wigeonfold::routing
