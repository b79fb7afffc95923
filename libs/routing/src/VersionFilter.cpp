#include "wigeonfold/routing/VersionFilter.h"

#include "wigeonfold/base/Hash.h"

#include <algorithm>

namespace wigeonfold::routing {

namespace {

using rollout::Phase;
using EndpointList = std::vector<const Endpoint*>;

constexpr int kPercent = 100;
// The planned share is 0.8 of the share that the number of canaries is computed
// from; see section 3 of docs/design/plan.md.
constexpr size_t kPlannedPercent = 80;
// The rotations are dropped at this number, together with those of routes and
// services that no longer exist.
constexpr size_t kMaxRotations = 10'000;

// The endpoints that run the version of the rollout, or all others.
EndpointList WithVersion(const ServiceRoute& aService, bool aIsOfRollout)
{
  EndpointList endpoints;
  for (const Endpoint& endpoint : aService.m_endpoints) {
    const bool isOfRollout =
      endpoint.m_softwareVersion == aService.m_rollout->m_version;
    if (isOfRollout == aIsOfRollout) {
      endpoints.push_back(&endpoint);
    }
  }
  return endpoints;
}

// The endpoints if any of them is available, else nothing, which stands for
// all. Those that were tried count as available: a request that failed at the
// last target of a good version must not be repeated at a bad one.
std::optional<EndpointList> IfAvailable(EndpointList aEndpoints,
                                        const Tracker& aTracker,
                                        TimePoint aNow)
{
  const bool available = std::any_of(
    aEndpoints.begin(), aEndpoints.end(), [&](const Endpoint* aEndpoint) {
      return !aTracker.IsUnavailable(*aEndpoint, aNow);
    });
  return available ? std::optional(std::move(aEndpoints)) : std::nullopt;
}

} // namespace

std::vector<const Endpoint*> CanariesOf(const ServiceRoute& aService)
{
  const rollout::ServiceRollout& order = *aService.m_rollout;
  EndpointList canaries = WithVersion(aService, true);
  const size_t others = aService.m_endpoints.size() - canaries.size();
  const size_t wanted = std::max<size_t>(
    1, static_cast<size_t>(order.m_exposurePercent) * others / kPlannedPercent);
  if (canaries.size() <= wanted) {
    return canaries;
  }
  const auto weight = [&order](const Endpoint* aEndpoint) {
    return Hash64(aEndpoint->m_nodeName + '/' + order.m_orderId);
  };
  std::partial_sort(canaries.begin(),
                    canaries.begin() + static_cast<std::ptrdiff_t>(wanted),
                    canaries.end(),
                    [&](const Endpoint* aLeft, const Endpoint* aRight) {
                      return weight(aLeft) > weight(aRight);
                    });
  canaries.resize(wanted);
  return canaries;
}

VersionFilter::VersionFilter(uint64_t aSeed)
  : m_random(aSeed)
{
}

Phase VersionFilter::PhaseOf(const ServiceRoute& aService, TimePoint aNow) const
{
  const bool current = m_currentAsOf && aNow - *m_currentAsOf <= kMaxRolloutAge;
  return aService.m_rollout->IsRunning() && !current
           ? Phase::Reverted
           : aService.m_rollout->m_phase;
}

// Smooth weighted round robin between two parts: of any 100 consecutive turns,
// the share in percent is true, evenly spaced.
bool VersionFilter::IsCanaryTurn(const ServiceRoute& aService,
                                 const std::string& aRoute)
{
  const std::string key = aService.m_name + '\n' + aRoute;
  auto found = m_positions.find(key);
  if (found == m_positions.end()) {
    if (m_positions.size() >= kMaxRotations) {
      m_positions.clear();
    }
    std::uniform_int_distribution<int> anyPosition(0, kPercent - 1);
    found = m_positions.emplace(key, anyPosition(m_random)).first;
  }
  int& position = found->second;
  position += aService.m_rollout->m_exposurePercent;
  const bool isTurn = position >= kPercent;
  position -= isTurn ? kPercent : 0;
  return isTurn;
}

void VersionFilter::NoteOthers(const ServiceRoute& aService)
{
  const rollout::ServiceRollout& order = *aService.m_rollout;
  if (std::any_of(aService.m_endpoints.begin(),
                  aService.m_endpoints.end(),
                  [&order](const Endpoint& aEndpoint) {
                    return aEndpoint.m_softwareVersion != order.m_version;
                  })) {
    m_othersSeen[aService.m_name] = order.m_orderId;
  }
}

// If all targets have run the version ever since the order, there is nothing to
// compare it with, and without it the service would not answer at all.
std::optional<EndpointList> VersionFilter::OutsideTrial(
  const ServiceRoute& aService) const
{
  EndpointList others = WithVersion(aService, false);
  const auto seen = m_othersSeen.find(aService.m_name);
  const bool wereSeen =
    seen != m_othersSeen.end() && seen->second == aService.m_rollout->m_orderId;
  return others.empty() && !wereSeen ? std::nullopt
                                     : std::optional(std::move(others));
}

std::optional<EndpointList> VersionFilter::ForFirstAttempt(
  const ServiceRoute& aService,
  const std::string& aRoute,
  const Tracker& aTracker,
  TimePoint aNow)
{
  const bool inTrial =
    aService.m_rollout && PhaseOf(aService, aNow) == Phase::Canary;
  if (inTrial) {
    NoteOthers(aService);
  }
  if (inTrial && IsCanaryTurn(aService, aRoute)) {
    EndpointList canaries = CanariesOf(aService);
    std::erase_if(canaries, [&](const Endpoint* aEndpoint) {
      return aTracker.IsAvoided(*aEndpoint, aNow);
    });
    if (!canaries.empty()) {
      return canaries;
    }
  }
  return ForFurtherAttempt(aService, aTracker, aNow);
}

std::optional<EndpointList> VersionFilter::ForFurtherAttempt(
  const ServiceRoute& aService,
  const Tracker& aTracker,
  TimePoint aNow) const
{
  if (!aService.m_rollout) {
    return std::nullopt;
  }
  const Phase phase = PhaseOf(aService, aNow);
  if (phase == Phase::Canary) {
    return OutsideTrial(aService);
  }
  const bool wantsVersion = phase != Phase::Reverted;
  return IfAvailable(WithVersion(aService, wantsVersion), aTracker, aNow);
}

} // namespace wigeonfold::routing
