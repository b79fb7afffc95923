#include "wigeonfold/routing/Chooser.h"

#include "wigeonfold/base/Hash.h"

#include <algorithm>
#include <map>

namespace wigeonfold::routing {

namespace {

using CandidateList = std::vector<const Endpoint*>;

// Requests of one route differ, and few take more than twice the expected time.
constexpr int kOwnTargetSafetyFactor = 2;
// A hedge leaves the zone only for a target that is this many times faster.
constexpr int kHedgeZoneFactor = 2;
constexpr Duration kNoTimeBound = std::chrono::hours(1);

// ---- Strategies ------------------------------------------------------------

class PowerOfTwo : public PickStrategy
{
public:
  explicit PowerOfTwo(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  const Endpoint* Pick(const std::string&,
                       const CandidateList& aCandidates,
                       const Tracker& aTracker,
                       Duration,
                       TimePoint aNow) override
  {
    if (aCandidates.size() == 1) {
      return aCandidates.front();
    }
    std::uniform_int_distribution<size_t> any(0, aCandidates.size() - 1);
    std::uniform_int_distribution<size_t> other(1, aCandidates.size() - 1);
    const size_t first = any(m_random);
    const size_t second = (first + other(m_random)) % aCandidates.size();
    const bool firstIsBetter = aTracker.LoadOf(*aCandidates[first], aNow) <=
                               aTracker.LoadOf(*aCandidates[second], aNow);
    return aCandidates[firstIsBetter ? first : second];
  }

private:
  std::mt19937_64 m_random;
};

class LeastExpectedTime : public PickStrategy
{
public:
  LeastExpectedTime(std::string aZone, uint64_t aSeed)
    : m_zone(std::move(aZone))
    , m_random(aSeed)
  {
  }

  bool WeighsZones() const override { return true; }

  const Endpoint* Pick(const std::string&,
                       const CandidateList& aCandidates,
                       const Tracker& aTracker,
                       Duration aTimeLeft,
                       TimePoint aNow) override
  {
    const Duration typical = TypicalLatency(aCandidates, aTracker);
    const auto cost = [&](const Endpoint& aEndpoint) {
      return aTracker.CostOf(aEndpoint, typical, aNow);
    };
    CandidateList local;
    CandidateList remote;
    for (const Endpoint* endpoint : aCandidates) {
      const bool isLocal = endpoint->m_availabilityZone == m_zone;
      (isLocal ? local : remote).push_back(endpoint);
    }
    const auto latency = [&](const Endpoint& aEndpoint) {
      const Duration reported = aTracker.ReportedLatency(aEndpoint);
      return std::max(reported > Duration::zero() ? reported : typical,
                      kMinLatency);
    };
    const auto rate = [&](const Endpoint& aEndpoint) {
      const std::chrono::duration<double> seconds = latency(aEndpoint);
      const double bySlots = aEndpoint.m_slots / seconds.count();
      return std::min(bySlots,
                      aTracker.RequestLimit(aEndpoint).value_or(bySlots));
    };
    const Choice localBest = BestOf(local, cost, rate);
    if (localBest.m_endpoint != nullptr &&
        localBest.m_cost * kSafetyFactor <= aTimeLeft) {
      return localBest.m_endpoint;
    }
    const Choice remoteBest = BestOf(remote, cost, rate);
    const bool useRemote =
      remoteBest.m_endpoint != nullptr &&
      (localBest.m_endpoint == nullptr ||
       remoteBest.m_cost + remoteBest.m_cost / kZoneMarginDivisor <
         localBest.m_cost);
    return useRemote ? remoteBest.m_endpoint : localBest.m_endpoint;
  }

private:
  struct Choice
  {
    const Endpoint* m_endpoint = nullptr;
    Duration m_cost{};
  };

  // The least cost among a few random candidates, drawn in proportion to the
  // calls that they can take per second.
  template<class Cost, class Rate>
  Choice BestOf(const CandidateList& aCandidates,
                const Cost& aCost,
                const Rate& aRate)
  {
    Choice best;
    std::vector<double> rates;
    for (const Endpoint* endpoint : aCandidates) {
      rates.push_back(std::max(aRate(*endpoint), kMinRate));
    }
    for (size_t draw = 0; draw < std::min(kSampleSize, rates.size()); ++draw) {
      std::discrete_distribution<size_t> any(rates.begin(), rates.end());
      const size_t drawn = any(m_random);
      rates[drawn] = 0;
      const Duration cost = aCost(*aCandidates[drawn]);
      if (best.m_endpoint == nullptr || cost < best.m_cost) {
        best = { aCandidates[drawn], cost };
      }
    }
    return best;
  }

  // Mean of the reported latencies, assumed for targets without a report.
  static Duration TypicalLatency(const CandidateList& aCandidates,
                                 const Tracker& aTracker)
  {
    Duration sum{};
    int count = 0;
    for (const Endpoint* endpoint : aCandidates) {
      const Duration latency = aTracker.ReportedLatency(*endpoint);
      sum += latency;
      count += latency > Duration::zero() ? 1 : 0;
    }
    return count == 0 ? kAssumedLatency : sum / count;
  }

  // A node's data on a target is outdated when the target's load changes faster
  // than the node calls it. With more candidates, all nodes with the same
  // outdated data send to the same target.
  static constexpr size_t kSampleSize = 2;
  // Calls per second; a distribution needs a weight above 0.
  static constexpr double kMinRate = 0.001;
  // Keeps the rates of targets without measurable latency finite.
  static constexpr Duration kMinLatency = std::chrono::microseconds(100);
  // The expected time may be up to half of the time left until the objective:
  // requests of one route differ, and few take more than twice the expected
  // time.
  static constexpr int kSafetyFactor = 2;
  // A candidate in another zone must be better by half of its cost: traffic
  // between zones costs money, but a slow answer costs more.
  static constexpr int kZoneMarginDivisor = 2;
  static constexpr Duration kAssumedLatency = std::chrono::milliseconds(50);

  const std::string m_zone;
  std::mt19937_64 m_random;
};

class RoundRobin : public PickStrategy
{
public:
  const Endpoint* Pick(const std::string& aService,
                       const CandidateList& aCandidates,
                       const Tracker&,
                       Duration,
                       TimePoint) override
  {
    return aCandidates[m_next[aService]++ % aCandidates.size()];
  }

private:
  std::map<std::string, size_t> m_next;
};

class RandomPick : public PickStrategy
{
public:
  explicit RandomPick(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  const Endpoint* Pick(const std::string&,
                       const CandidateList& aCandidates,
                       const Tracker&,
                       Duration,
                       TimePoint) override
  {
    std::uniform_int_distribution<size_t> any(0, aCandidates.size() - 1);
    return aCandidates[any(m_random)];
  }

private:
  std::mt19937_64 m_random;
};

// Load of the candidates in percent of their slots.
double LoadPercent(const CandidateList& aCandidates,
                   const Tracker& aTracker,
                   TimePoint aNow)
{
  double calls = 0;
  double slots = 0;
  for (const Endpoint* endpoint : aCandidates) {
    calls += aTracker.LoadOf(*endpoint, aNow) * endpoint->m_slots;
    slots += endpoint->m_slots;
  }
  return slots == 0 ? 0 : 100 * calls / slots;
}

} // namespace

std::unique_ptr<PickStrategy> MakePowerOfTwo(uint64_t aSeed)
{
  return std::make_unique<PowerOfTwo>(aSeed);
}

std::unique_ptr<PickStrategy> MakeRoundRobin()
{
  return std::make_unique<RoundRobin>();
}

std::unique_ptr<PickStrategy> MakeRandom(uint64_t aSeed)
{
  return std::make_unique<RandomPick>(aSeed);
}

std::unique_ptr<PickStrategy> MakeLeastExpectedTime(std::string aZone,
                                                    uint64_t aSeed)
{
  return std::make_unique<LeastExpectedTime>(std::move(aZone), aSeed);
}

std::unique_ptr<PickStrategy> MakePickStrategy(const std::string& aName,
                                               const std::string& aZone,
                                               uint64_t aSeed)
{
  if (aName == "least-expected-time") {
    return MakeLeastExpectedTime(aZone, aSeed);
  }
  if (aName == "power-of-two") {
    return MakePowerOfTwo(aSeed);
  }
  if (aName == "round-robin") {
    return MakeRoundRobin();
  }
  return aName == "random" ? MakeRandom(aSeed) : nullptr;
}

// ---- Chooser ---------------------------------------------------------------

Chooser::Chooser(std::string aZone,
                 std::unique_ptr<PickStrategy> aStrategy,
                 std::optional<OwnTarget> aOwnTarget,
                 VersionFilter aVersions)
  : m_zone(std::move(aZone))
  , m_strategy(std::move(aStrategy))
  , m_ownTarget(std::move(aOwnTarget))
  , m_versions(std::move(aVersions))
{
}

// The node's own target if it is a candidate, has a free slot and is expected
// to answer well within the time left, else null.
const Endpoint* Chooser::OwnIfFree(const CandidateList& aCandidates,
                                   const Tracker& aTracker,
                                   Duration aTimeLeft,
                                   TimePoint aNow) const
{
  const auto own = std::find_if(
    aCandidates.begin(), aCandidates.end(), [this](const Endpoint* aEndpoint) {
      return aEndpoint->m_nodeName == m_ownTarget->m_nodeName;
    });
  if (own == aCandidates.end() || !m_ownTarget->m_hasFreeSlot()) {
    return nullptr;
  }
  const Duration cost = aTracker.CostOf(**own, Duration::zero(), aNow);
  return cost * kOwnTargetSafetyFactor <= aTimeLeft ? *own : nullptr;
}

std::vector<const Endpoint*> Chooser::Candidates(
  const ServiceRoute& aRoute,
  const std::optional<CandidateList>& aOnly,
  const std::vector<std::string>& aTried,
  const Tracker& aTracker,
  TimePoint aNow) const
{
  CandidateList untried;
  CandidateList available; // untried, neither draining nor unreachable
  CandidateList preferred;
  size_t unavailable = 0;
  size_t ejected = 0;
  const size_t count = aOnly ? aOnly->size() : aRoute.m_endpoints.size();
  for (size_t i = 0; i < count; ++i) {
    const Endpoint& endpoint = aOnly ? *(*aOnly)[i] : aRoute.m_endpoints[i];
    const bool isUnavailable = aTracker.IsUnavailable(endpoint, aNow);
    const bool isAvoided = aTracker.IsAvoided(endpoint, aNow);
    unavailable += isUnavailable ? 1 : 0;
    ejected += isAvoided && !isUnavailable ? 1 : 0;
    if (std::find(aTried.begin(), aTried.end(), endpoint.m_nodeName) !=
        aTried.end()) {
      continue;
    }
    untried.push_back(&endpoint);
    if (!isUnavailable) {
      available.push_back(&endpoint);
    }
    if (!isAvoided) {
      preferred.push_back(&endpoint);
    }
  }
  const bool mostEjected = ejected * 2 > count - unavailable;
  if (!preferred.empty() && !mostEjected) {
    return preferred;
  }
  return available.empty() ? untried : available;
}

const Endpoint* Chooser::ChooseDesignated(
  const ServiceRoute& aRoute,
  const std::vector<std::string>& aTried,
  const Tracker& aTracker,
  uint64_t aFingerprint,
  TimePoint aNow) const
{
  const auto weight = [aFingerprint](const Endpoint* aEndpoint) {
    return Hash64(aEndpoint->m_nodeName + '/' + std::to_string(aFingerprint));
  };
  const auto allowed = m_versions.ForFurtherAttempt(aRoute, aTracker, aNow);
  const CandidateList all = Candidates(aRoute, allowed, aTried, aTracker, aNow);
  const auto greatest =
    std::max_element(all.begin(), all.end(), [&](auto* aOne, auto* aOther) {
      return weight(aOne) < weight(aOther);
    });
  return greatest == all.end() ? nullptr : *greatest;
}

const Endpoint* Chooser::ChooseHedge(const ServiceRoute& aRoute,
                                     const std::vector<std::string>& aTried,
                                     const Tracker& aTracker,
                                     TimePoint aNow)
{
  const auto allowed = m_versions.ForFurtherAttempt(aRoute, aTracker, aNow);
  CandidateList local;
  CandidateList remote;
  for (const Endpoint* endpoint :
       Candidates(aRoute, allowed, aTried, aTracker, aNow)) {
    if (aTracker.IsAvoided(*endpoint, aNow) ||
        aTracker.LoadOf(*endpoint, aNow) >= 1) {
      continue;
    }
    const bool isLocal = endpoint->m_availabilityZone == m_zone;
    (isLocal ? local : remote).push_back(endpoint);
  }
  // Without a bound on the time, the strategy takes the best of the list.
  const auto pick = [&](const CandidateList& aList) {
    return aList.empty()
             ? nullptr
             : m_strategy->Pick(
                 aRoute.m_name, aList, aTracker, kNoTimeBound, aNow);
  };
  const Endpoint* const near = pick(local);
  const Endpoint* const far = pick(remote);
  if (near == nullptr || far == nullptr) {
    return near != nullptr ? near : far;
  }
  const Duration nearCost = aTracker.CostOf(*near, Duration::zero(), aNow);
  // A target that is not known counts as no better than the near one.
  const Duration farCost = aTracker.CostOf(*far, nearCost, aNow);
  return farCost * kHedgeZoneFactor <= nearCost && nearCost > Duration::zero()
           ? far
           : near;
}

const Endpoint* Chooser::Choose(const ServiceRoute& aRoute,
                                const std::vector<std::string>& aTried,
                                const Tracker& aTracker,
                                Duration aTimeLeft,
                                TimePoint aNow,
                                const std::string& aRequestRoute)
{
  const auto allowed =
    aTried.empty()
      ? m_versions.ForFirstAttempt(aRoute, aRequestRoute, aTracker, aNow)
      : m_versions.ForFurtherAttempt(aRoute, aTracker, aNow);
  const CandidateList all = Candidates(aRoute, allowed, aTried, aTracker, aNow);
  if (all.empty()) {
    return nullptr;
  }
  if (m_strategy->WeighsZones()) {
    if (m_ownTarget) {
      if (const Endpoint* own = OwnIfFree(all, aTracker, aTimeLeft, aNow)) {
        return own;
      }
    }
    return m_strategy->Pick(aRoute.m_name, all, aTracker, aTimeLeft, aNow);
  }
  CandidateList local;
  std::copy_if(all.begin(),
               all.end(),
               std::back_inserter(local),
               [this](const Endpoint* aEndpoint) {
                 return aEndpoint->m_availabilityZone == m_zone;
               });
  const bool useLocal = !local.empty() && LoadPercent(local, aTracker, aNow) <=
                                            aRoute.m_spillPercent;
  return m_strategy->Pick(
    aRoute.m_name, useLocal ? local : all, aTracker, aTimeLeft, aNow);
}

} // namespace wigeonfold::routing
