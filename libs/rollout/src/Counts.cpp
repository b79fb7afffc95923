#include "wigeonfold/rollout/Counts.h"

#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <numeric>

namespace wigeonfold::rollout {

namespace {

Counts ReadCounts(const wire::VersionRouteStats& aStats)
{
  Counts counts;
  counts.m_answers = aStats.answers;
  counts.m_failures = aStats.failures;
  const size_t buckets =
    std::min(aStats.latencyBuckets.size(), counts.m_buckets.size());
  std::copy_n(aStats.latencyBuckets.begin(), buckets, counts.m_buckets.begin());
  return counts;
}

// Nothing when a count has decreased: aNewer was sent before aOlder.
std::optional<Counts> Difference(const Counts& aNewer, const Counts& aOlder)
{
  Counts difference;
  difference.m_answers = aNewer.m_answers - aOlder.m_answers;
  difference.m_failures = aNewer.m_failures - aOlder.m_failures;
  bool decreased = difference.m_answers < 0 || difference.m_failures < 0;
  for (size_t i = 0; i < difference.m_buckets.size(); ++i) {
    difference.m_buckets[i] = aNewer.m_buckets[i] - aOlder.m_buckets[i];
    decreased = decreased || difference.m_buckets[i] < 0;
  }
  return decreased ? std::nullopt : std::optional(difference);
}

} // namespace

Counts& Counts::operator+=(const Counts& aOther)
{
  m_answers += aOther.m_answers;
  m_failures += aOther.m_failures;
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    m_buckets[i] += aOther.m_buckets[i];
  }
  return *this;
}

int64_t Counts::Timed() const
{
  return std::accumulate(m_buckets.begin(), m_buckets.end(), int64_t{ 0 });
}

std::vector<Increment> NodeReports::Add(const wire::RolloutReport& aReport,
                                        TimePoint aNow)
{
  const auto [found, isFirst] = m_nodes.try_emplace(aReport.nodeName);
  Node& node = found->second;
  if (!isFirst && aReport.nodeEpoch < node.m_epoch) {
    return {};
  }
  if (aReport.nodeEpoch != node.m_epoch) {
    // A restarted node counts from 0 and has nothing in force yet.
    node = Node();
    node.m_epoch = aReport.nodeEpoch;
  }
  node.m_reportedAt = aNow;
  if (aReport.__isset.inForce) {
    node.m_inForce =
      std::max(node.m_inForce, std::optional(wire::FromWire(aReport.inForce)));
  }
  std::vector<Increment> increments;
  for (const wire::VersionRouteStats& stats : aReport.stats) {
    const Counts newest = ReadCounts(stats);
    Counts& known =
      node.m_counts[{ stats.serviceName, stats.softwareVersion, stats.route }];
    const auto difference = Difference(newest, known);
    if (!difference) {
      continue;
    }
    known = newest;
    if (!isFirst && difference->m_answers > 0) {
      increments.push_back(
        { stats.serviceName, stats.softwareVersion, stats.route, *difference });
    }
  }
  return increments;
}

void NodeReports::Forget(TimePoint aNow, Duration aAfter)
{
  std::erase_if(m_nodes, [=](const auto& aNode) {
    return aNow - aNode.second.m_reportedAt > aAfter;
  });
}

} // namespace wigeonfold::rollout
