#include "wigeonfold/registry/LeavingStarts.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

namespace wigeonfold::registry {

LeavingStarts::LeavingStarts(const LeavingLimits& aLimits)
  : m_limits(aLimits)
{
}

bool LeavingStarts::Add(const std::string& aNodeName, const TargetStart& aStart)
{
  if (Covers(Find(aNodeName), aStart)) {
    return false;
  }
  Entry& entry = m_entries[aNodeName];
  std::erase_if(entry.m_starts, [&](const TargetStart& aOne) {
    return aOne.m_instance == aStart.m_instance;
  });
  entry.m_starts.push_back(aStart);
  if (entry.m_starts.size() > m_limits.m_startsPerNode) {
    entry.m_starts.erase(entry.m_starts.begin());
  }
  m_byChange.erase(entry.m_change);
  entry.m_change = ++m_changes;
  m_byChange[entry.m_change] = aNodeName;
  m_changedNodes.insert(aNodeName);
  if (m_entries.size() > m_limits.m_nodes) {
    m_changedNodes.insert(m_byChange.begin()->second);
    m_entries.erase(m_byChange.begin()->second);
    m_byChange.erase(m_byChange.begin());
  }
  return true;
}

const std::vector<TargetStart>& LeavingStarts::Find(
  const std::string& aNodeName) const
{
  static const std::vector<TargetStart> kNone;
  const auto found = m_entries.find(aNodeName);
  return found == m_entries.end() ? kNone : found->second.m_starts;
}

std::vector<wire::NodeLeaving> LeavingStarts::Export() const
{
  std::vector<wire::NodeLeaving> nodes;
  for (const auto& [change, name] : m_byChange) {
    wire::NodeLeaving& node = nodes.emplace_back();
    node.nodeName = name;
    node.starts = wire::ToWire(m_entries.at(name).m_starts);
  }
  return nodes;
}

std::set<std::string> LeavingStarts::TakeChangedNodes()
{
  return std::exchange(m_changedNodes, {});
}

} // namespace wigeonfold::registry
