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
  Answered,        // the target answered, whatever the status
  AnsweredFailure, // the target ran the request and answered a failure
  Shed,            // the target itself refused the request
  Refused,  // proven not run: queue full, office over its share, too late
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

  // The node takes no further calls.
  void OnDraining(const std::string& aNodeName, TimePoint aNow);
  // The node could not be connected to, or fell silent. Its target takes no
  // calls for a second, however many others are in the same state: calls to a
  // part of the fleet that is cut off wait for nothing.
  // True when the node was not in that state before.
  bool OnUnreachable(const std::string& aNodeName, TimePoint aNow);
  // The node answers again. True when it was unreachable before.
  bool OnReachable(const std::string& aNodeName);

  // Estimated calls at the target per slot: own calls in flight plus what
  // others had there at the last answer, while that answer is recent.
  double LoadOf(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Expected time until the target's answer to a further call: the time it
  // takes for one, the wait for a slot there, and the calls that fail there.
  // aDefaultLatency stands for the time of a target that has not reported yet.
  Duration CostOf(const Endpoint& aEndpoint,
                  Duration aDefaultLatency,
                  TimePoint aNow) const;
  // Time per call that the target reported; zero before its first report.
  Duration ReportedLatency(const Endpoint& aEndpoint) const;
  // Ejected after failures, or known to drain.
  bool IsAvoided(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Avoided because it said itself that it takes no calls, or because its node
  // can't be reached.
  bool IsUnavailable(const Endpoint& aEndpoint, TimePoint aNow) const;
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
    Duration m_latency{};        // per call, as reported
    Duration m_wait{};           // for a slot, as reported
    double m_failureRate = 0;    // of all nodes' calls there, as reported
    double m_ownFailureRate = 0; // of this node's calls
    int m_failures = 0;
    int m_ejections = 0; // in a row; each lasts longer
    TimePoint m_avoidUntil{};
    TimePoint m_drainingUntil{};
    TimePoint m_unreachableUntil{};
  };

  const State* FindState(const Endpoint& aEndpoint) const;
  State& StateOf(const Endpoint& aEndpoint);

  std::unordered_map<std::string, State> m_states;
};

} // namespace wigeonfold::routing
