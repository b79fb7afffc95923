#include "wigeonfold/registry/LeavingProposals.h"

#include "wigeonfold/wire/Codec.h"

#include <iterator>

namespace wigeonfold::registry {

void LeavingProposals::Add(const std::string& aNodeName,
                           const TargetStart& aStart)
{
  const bool known = m_waiting.count(aNodeName) > 0;
  if (!known && m_waiting.size() >= kMaxWaiting) {
    return;
  }
  std::vector<TargetStart>& starts = m_waiting[aNodeName];
  if (!Covers(starts, aStart) &&
      starts.size() < LeavingLimits().m_startsPerNode) {
    starts.push_back(aStart);
  }
}

std::optional<std::vector<wire::NodeLeaving>> LeavingProposals::Next(
  const LeavingStarts& aStored,
  TimePoint aNow)
{
  if (m_proposedAt && aNow - *m_proposedAt < kTimeout) {
    return std::nullopt;
  }
  for (auto node = m_waiting.begin(); node != m_waiting.end();) {
    auto& [name, starts] = *node;
    const std::vector<TargetStart>& stored = aStored.Find(name);
    std::erase_if(starts, [&stored](const TargetStart& aStart) {
      return Covers(stored, aStart);
    });
    node = starts.empty() ? m_waiting.erase(node) : std::next(node);
  }
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  std::vector<wire::NodeLeaving> nodes;
  for (const auto& [name, starts] : m_waiting) {
    wire::NodeLeaving& node = nodes.emplace_back();
    node.nodeName = name;
    node.starts = wire::ToWire(starts);
  }
  return nodes;
}

void LeavingProposals::OnProposed(TimePoint aNow)
{
  m_waiting.clear();
  m_proposedAt = aNow;
}

} // namespace wigeonfold::registry
