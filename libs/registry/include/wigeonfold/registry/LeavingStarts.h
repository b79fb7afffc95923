// Starts of targets that left, as part of the replicated state.
#pragma once

#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::registry {

struct LeavingLimits
{
  // Nodes whose starts are kept. Of the 5,300 VMs that are restarted or
  // replaced on an ordinary day of the design size, these are three days.
  size_t m_nodes = 16'384;
  // A node's last starts. Reports are delayed by seconds and a target starts at
  // most every few seconds; a further one may be another writer's.
  size_t m_startsPerNode = 4;
};

// What nodes acknowledged: that a start of their target leaves. Kept here since
// a node has no disk, and all processes that heard of it may end at once.
// Deterministic; not thread safe.
class LeavingStarts
{
public:
  explicit LeavingStarts(const LeavingLimits& aLimits = {});

  // Drops the oldest starts of the node, and the node that changed longest ago,
  // beyond the limits. Returns whether the starts of the node have changed.
  bool Add(const std::string& aNodeName, const TargetStart& aStart);
  // Oldest first; empty for an unknown node. Valid until the next Add.
  const std::vector<TargetStart>& Find(const std::string& aNodeName) const;
  // All nodes, the one that changed last at the end. Add() in this order gives
  // the same state.
  std::vector<wire::NodeLeaving> Export() const;

  // Nodes that have changed since the last call.
  std::set<std::string> TakeChangedNodes();

private:
  struct Entry
  {
    std::vector<TargetStart> m_starts;
    uint64_t m_change = 0; // key in m_byChange
  };

  LeavingLimits m_limits;
  std::map<std::string, Entry> m_entries;
  std::map<uint64_t, std::string> m_byChange; // node names, oldest change first
  uint64_t m_changes = 0;
  std::set<std::string> m_changedNodes;
};

} // namespace wigeonfold::registry
