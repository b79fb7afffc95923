// State of other nodes' targets as observed by this node's own calls.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/routing/View.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonfold::routing {

// Result of an attempt at an endpoint, as far as load balancing needs it.
enum class AttemptResult
{
  Answered,        // the target answered, whatever the status
  AnsweredFailure, // the target ran the request and answered with a failure
  Shed,            // the target itself rejected the request
  Refused,  // proven not run: queue or client account's share full, too late
  Draining, // proven not run: the target is draining
  Failed,   // connection failed or lost, or no answer in time
};

// Keeps the in-flight calls, the load reported with answers, and the ejections
// of each endpoint. All of it comes from this node's own calls, because health
// and load reports from elsewhere are late and misleading. Not thread safe.
class Tracker
{
public:
  void OnSent(const Endpoint& aEndpoint);
  // aLoad is null when the attempt returned no load report. Ejects the endpoint
  // after the number of consecutive failures that aRoute sets.
  void OnEnded(const ServiceRoute& aRoute,
               const Endpoint& aEndpoint,
               AttemptResult aResult,
               const wire::TargetLoad* aLoad,
               TimePoint aNow);

  // The node announced that it takes no further calls.
  void OnDraining(const std::string& aNodeName, TimePoint aNow);
  // The connection to the node failed or went silent. Its target gets no calls
  // for one second, however many other nodes are unreachable too: calls to
  // nodes behind a network partition would only run into their timeouts. True
  // when the node was not unreachable before.
  bool OnUnreachable(const std::string& aNodeName, TimePoint aNow);
  // The node answers again. True when it was unreachable before.
  bool OnReachable(const std::string& aNodeName);

  // Estimated calls at the target per slot: this node's calls in flight plus,
  // if recent, the calls of other nodes that the last report counted.
  double LoadOf(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Expected time until the target answers a further call, from its time per
  // call, the wait for a slot and its failure rate. aDefaultLatency is the time
  // per call assumed for a target that has not reported any.
  Duration CostOf(const Endpoint& aEndpoint,
                  Duration aDefaultLatency,
                  TimePoint aNow) const;
  // Time per call that the target reported last; zero before its first report.
  Duration ReportedLatency(const Endpoint& aEndpoint) const;
  // Requests per second that the target takes, as it named them last; nothing:
  // no limit.
  std::optional<double> RequestLimit(const Endpoint& aEndpoint) const;
  // Ejected, draining or unreachable.
  bool IsAvoided(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Draining, as the node itself announced, or unreachable.
  bool IsUnavailable(const Endpoint& aEndpoint, TimePoint aNow) const;
  int InFlight(const Endpoint& aEndpoint) const;

  // Drops the state of nodes that are not in the view and have no calls in
  // flight.
  void Retain(const View& aView);

private:
  struct State
  {
    int64_t m_nodeEpoch = 0;
    int m_inFlight = 0;
    int m_othersAtTarget = 0; // other nodes' calls, running and queued
    TimePoint m_reported{};
    Duration m_latency{}; // per call, as reported
    Duration m_wait{};    // for a slot or the rate limit, as reported
    std::optional<double> m_requestLimit; // requests per second, as reported
    double m_failureRate = 0;             // of all nodes' calls, as reported
    double m_ownFailureRate = 0;          // of this node's calls
    int m_failures = 0;                   // since the last answer or ejection
    int m_ejections = 0; // since the last answer; each lasts longer
    TimePoint m_ejectedUntil{};
    TimePoint m_drainingUntil{};
    TimePoint m_unreachableUntil{};
  };

  const State* FindState(const Endpoint& aEndpoint) const;
  State& StateOf(const Endpoint& aEndpoint);

  std::unordered_map<std::string, State> m_states;
};

} // namespace wigeonfold::routing
