// Which software versions of a service may get an attempt while it has a
// rollout.
#pragma once

#include "wigeonfold/routing/Tracker.h"
#include "wigeonfold/routing/View.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::routing {

// Age of the configuration from which on a node treats a running rollout as
// reverted: it may have been rolled back, and the node can't know.
inline constexpr Duration kMaxRolloutAge = std::chrono::seconds(2);

// Narrows a service's endpoints by their software version. A version in trial
// that is bad must not get more than its share of the requests, and none once
// it is rolled back, also at a node that is cut off from the control VMs.
// Deterministic; not thread safe.
class VersionFilter
{
public:
  // The seed sets the position at which the rotations start, so that many nodes
  // with few requests each do not all send their first ones to the version in
  // trial.
  explicit VersionFilter(uint64_t aSeed);

  // The configuration in use is known to have been current at that time.
  void SetCurrentAsOf(TimePoint aTime) { m_currentAsOf = aTime; }

  // The endpoints that a first attempt at a request of that route may use;
  // nothing: all. Call once for each request, since it advances the rotation of
  // the service and the route. An empty list means that there is none.
  std::optional<std::vector<const Endpoint*>> ForFirstAttempt(
    const ServiceRoute& aService,
    const std::string& aRoute,
    const Tracker& aTracker,
    TimePoint aNow);
  // The same for retries, for attempts beside another one, and for requests
  // that are to reach one target only. They never go to a version in trial.
  std::optional<std::vector<const Endpoint*>> ForFurtherAttempt(
    const ServiceRoute& aService,
    const Tracker& aTracker,
    TimePoint aNow) const;

private:
  rollout::Phase PhaseOf(const ServiceRoute& aService, TimePoint aNow) const;
  bool IsCanaryTurn(const ServiceRoute& aService, const std::string& aRoute);
  void NoteOthers(const ServiceRoute& aService);
  std::optional<std::vector<const Endpoint*>> OutsideTrial(
    const ServiceRoute& aService) const;

  std::mt19937_64 m_random;
  std::optional<TimePoint> m_currentAsOf;
  // Position of each rotation, from 0 to 99, by service and route.
  std::unordered_map<std::string, int> m_positions;
  // Order for which an endpoint of another version was listed, by service.
  std::unordered_map<std::string, std::string> m_othersSeen;
};

// The endpoints of the version in trial that take its share of the requests:
// the first ones by rendezvous hashing, the same at all nodes with the same
// endpoints. Their number makes each of them carry about the load of an
// endpoint of another version, so that a version that is bad only under load is
// recognized. Precondition: the service has a rollout. Thread safe.
std::vector<const Endpoint*> CanariesOf(const ServiceRoute& aService);

} // namespace wigeonfold::routing
