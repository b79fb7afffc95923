#include "wigeonfold/forwarding/LeavingTargets.h"

namespace wigeonfold::forwarding {

void LeavingTargets::Note(const std::string& aNodeName,
                          const wire::TargetStart& aStart)
{
  const bool isNew = m_startByNode.insert_or_assign(aNodeName, aStart).second;
  if (!isNew) {
    return;
  }
  m_order.push_back(aNodeName);
  if (m_order.size() > kMaxNodes) {
    m_startByNode.erase(m_order.front());
    m_order.pop_front();
  }
}

const wire::TargetStart* LeavingTargets::Find(
  const std::string& aNodeName) const
{
  const auto found = m_startByNode.find(aNodeName);
  return found == m_startByNode.end() ? nullptr : &found->second;
}

} // namespace wigeonfold::forwarding
