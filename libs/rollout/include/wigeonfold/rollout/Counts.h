// Counts of answers, and how they grow from one report of a node to the next.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/rollout/LatencyBuckets.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace wigeonfold::rollout {

struct Counts
{
  int64_t m_answers = 0;
  int64_t m_failures = 0; // included in m_answers
  std::array<int64_t, LatencyBuckets::kCount> m_buckets{};

  Counts& operator+=(const Counts& aOther);
  // Sum of the buckets. It may be lower than m_answers, as a lost answer has no
  // latency.
  int64_t Timed() const;
};

// Answers of one version of a service on one route since the report before.
struct Increment
{
  std::string m_service;
  std::string m_version; // empty when the targets named none
  std::string m_route;
  Counts m_counts;
};

// Nodes report cumulative counts, perhaps twice and, after a change of their
// control VM, in another order than they were sent. The first report of a node
// is its baseline, so that counts of before this object exists count for
// nothing. Deterministic; not thread safe.
class NodeReports
{
public:
  // What the report adds. Empty for the first one of a node and for one that is
  // older than the newest one.
  std::vector<Increment> Add(const wire::RolloutReport& aReport,
                             TimePoint aNow);
  // Drops nodes that have not reported for the time.
  void Forget(TimePoint aNow, Duration aAfter);
  void Clear() { m_nodes.clear(); }

  struct Node
  {
    int64_t m_epoch = 0;
    TimePoint m_reportedAt;
    std::optional<Version> m_inForce;
    // By service, version and route.
    std::map<std::tuple<std::string, std::string, std::string>, Counts>
      m_counts;
  };
  const std::map<std::string, Node>& Nodes() const { return m_nodes; }

private:
  std::map<std::string, Node> m_nodes; // by name
};

} // namespace wigeonfold::rollout
