// Load balancing: the choice of the target for an attempt.
#pragma once

#include "wigeonfold/routing/Tracker.h"
#include "wigeonfold/routing/VersionFilter.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wigeonfold::routing {

// Load-balancing strategy that picks one of several usable endpoints. Not
// thread safe.
class PickStrategy
{
public:
  virtual ~PickStrategy() = default;
  // Whether the strategy itself takes availability zones into account.
  // Otherwise it gets only the candidates of the node's own zone as long as
  // their load is within the spill limit.
  virtual bool WeighsZones() const { return false; }
  // aTimeLeft is the time until the request's latency objective; zero: none.
  // Precondition: aCandidates is not empty.
  virtual const Endpoint* Pick(const std::string& aService,
                               const std::vector<const Endpoint*>& aCandidates,
                               const Tracker& aTracker,
                               Duration aTimeLeft,
                               TimePoint aNow) = 0;
};

// Picks the less loaded of two different random candidates.
std::unique_ptr<PickStrategy> MakePowerOfTwo(uint64_t aSeed);
// Picks the least expected time until the answer among a few random candidates
// of aZone, as long as that is well within the latency objective. Otherwise
// also considers candidates of other zones, which have to be better by a
// margin.
std::unique_ptr<PickStrategy> MakeLeastExpectedTime(std::string aZone,
                                                    uint64_t aSeed);
// Baselines for comparisons.
std::unique_ptr<PickStrategy> MakeRoundRobin();
std::unique_ptr<PickStrategy> MakeRandom(uint64_t aSeed);
// "least-expected-time", "power-of-two", "round-robin" or "random"; nullptr for
// another name. aZone is the node's own availability zone.
std::unique_ptr<PickStrategy> MakePickStrategy(const std::string& aName,
                                               const std::string& aZone,
                                               uint64_t aSeed);

// The target of this node, whose load is known exactly.
struct OwnTarget
{
  std::string m_nodeName;
  std::function<bool()> m_hasFreeSlot; // a request would run at once
};

// Narrows a service's endpoints to candidates and lets the strategy pick. Not
// thread safe.
class Chooser
{
public:
  // aZone is the node's own availability zone. aOwnTarget is absent for a node
  // without a target. aVersions applies before everything else.
  Chooser(std::string aZone,
          std::unique_ptr<PickStrategy> aStrategy,
          std::optional<OwnTarget> aOwnTarget = std::nullopt,
          VersionFilter aVersions = VersionFilter(0));

  // See VersionFilter.
  void SetCurrentAsOf(TimePoint aTime) { m_versions.SetCurrentAsOf(aTime); }

  // Endpoint for the next attempt, or nullptr when every endpoint was tried. A
  // strategy that weighs zones is asked only if the own target has no free slot
  // or would not answer well within the objective: the way to another node
  // costs processor time and link capacity on both. Prefers endpoints that are
  // not avoided, then those of the node's own zone unless their load exceeds
  // the service's spill limit. When more than half of the available endpoints
  // (neither draining nor unreachable) are ejected, ejection is ignored:
  // ejecting most of a service moves its whole load onto the rest. aTried holds
  // node names, empty for the first attempt; aTimeLeft is the time until the
  // latency objective, zero for none. aRequestRoute names the request's route;
  // the share of a version in trial applies to each route.
  const Endpoint* Choose(const ServiceRoute& aRoute,
                         const std::vector<std::string>& aTried,
                         const Tracker& aTracker,
                         Duration aTimeLeft,
                         TimePoint aNow,
                         const std::string& aRequestRoute = {});

  // Endpoint for a second attempt beside one that is slow, or nullptr if none
  // is expected to run it at once. Never one that is avoided or fully loaded.
  // In the node's own zone, unless the best one elsewhere is expected to take
  // at most half of the time of the best one here.
  const Endpoint* ChooseHedge(const ServiceRoute& aRoute,
                              const std::vector<std::string>& aTried,
                              const Tracker& aTracker,
                              TimePoint aNow);

  // Endpoint for a request that is to reach one target only, or nullptr when
  // every endpoint was tried. Nodes with the same endpoints choose the same one
  // for the same fingerprint, the avoided ones last (rendezvous hashing). None
  // of them runs a version in trial.
  const Endpoint* ChooseDesignated(const ServiceRoute& aRoute,
                                   const std::vector<std::string>& aTried,
                                   const Tracker& aTracker,
                                   uint64_t aFingerprint,
                                   TimePoint aNow) const;

private:
  // aOnly: the endpoints to choose from; nothing: all of aRoute.
  std::vector<const Endpoint*> Candidates(
    const ServiceRoute& aRoute,
    const std::optional<std::vector<const Endpoint*>>& aOnly,
    const std::vector<std::string>& aTried,
    const Tracker& aTracker,
    TimePoint aNow) const;
  const Endpoint* OwnIfFree(const std::vector<const Endpoint*>& aCandidates,
                            const Tracker& aTracker,
                            Duration aTimeLeft,
                            TimePoint aNow) const;

  std::string m_zone;
  std::unique_ptr<PickStrategy> m_strategy;
  std::optional<OwnTarget> m_ownTarget;
  VersionFilter m_versions;
};

} // namespace wigeonfold::routing
