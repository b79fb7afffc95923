#include "wigeonfold/forwarding/VersionStats.h"

namespace wigeonfold::forwarding {

namespace {

// Whether the answer was lost after the request may have reached its target. A
// caller that disconnects says nothing about the target.
bool IsLost(Outcome aOutcome)
{
  return InfoOf(aOutcome).m_runState == wire::RunState::Unknown &&
         aOutcome != Outcome::CancelledAfterWrite;
}

} // namespace

void VersionStats::Count(const VersionAnswer& aAnswer)
{
  const bool failed =
    aAnswer.m_outcome == Outcome::AnsweredFailure || IsLost(aAnswer.m_outcome);
  if (!failed && aAnswer.m_outcome != Outcome::Answered) {
    return;
  }
  const Key key(aAnswer.m_service, aAnswer.m_version, aAnswer.m_route);
  if (m_entries.size() >= kMaxEntries && m_entries.count(key) == 0) {
    return;
  }
  Entry& entry = m_entries[key];
  ++entry.m_answers;
  entry.m_failures += failed ? 1 : 0;
  if (aAnswer.m_targetTime) {
    entry.m_latencies.Add(*aAnswer.m_targetTime);
  }
}

std::vector<wire::VersionRouteStats> VersionStats::Of(
  const std::vector<std::string>& aServices) const
{
  std::vector<wire::VersionRouteStats> list;
  for (const std::string& service : aServices) {
    for (auto entry = m_entries.lower_bound(Key(service, "", ""));
         entry != m_entries.end() && std::get<0>(entry->first) == service;
         ++entry) {
      wire::VersionRouteStats stats;
      stats.serviceName = service;
      stats.softwareVersion = std::get<1>(entry->first);
      stats.route = std::get<2>(entry->first);
      stats.answers = entry->second.m_answers;
      stats.failures = entry->second.m_failures;
      const auto& counts = entry->second.m_latencies.Counts();
      stats.latencyBuckets.assign(counts.begin(), counts.end());
      list.push_back(std::move(stats));
    }
  }
  return list;
}

} // namespace wigeonfold::forwarding
