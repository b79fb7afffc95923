// Answers of the software versions of services with a running rollout.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/rollout/LatencyBuckets.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace wigeonfold::forwarding {

// An attempt that ended.
struct VersionAnswer
{
  std::string m_service;
  std::string m_version; // of the software; empty: the target names none
  std::string m_route;   // that the request matched
  Outcome m_outcome = Outcome::Answered;
  // Time from the write to the target to its answer, as its node measured it,
  // so that a slow link or queue is not blamed on a version.
  std::optional<Duration> m_targetTime;
};

// Counts answers, failures and latencies by service, version and route, since
// the node's start: the leader of the control VMs compares the versions and
// forms differences. Attempts that no target answered and that were not lost on
// the way count as nothing, such as refusals by a target's node or a target
// that says it did not run the request. Deterministic; not thread safe.
class VersionStats
{
public:
  void Count(const VersionAnswer& aAnswer);
  // The counts of these services.
  std::vector<wire::VersionRouteStats> Of(
    const std::vector<std::string>& aServices) const;

  // Further combinations of service, version and route are not counted. A
  // fleet has a few dozen; the names come from the operators.
  static constexpr size_t kMaxEntries = 4096;

private:
  struct Entry
  {
    int64_t m_answers = 0;
    int64_t m_failures = 0; // included in m_answers
    rollout::LatencyBuckets m_latencies;
  };
  // Service, version and route.
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, Entry> m_entries;
};

} // namespace wigeonfold::forwarding
