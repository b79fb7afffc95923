#include "wigeonfold/distribution/Floors.h"

#include <algorithm>

namespace wigeonfold::distribution {

Floors::Floors(size_t aMax)
  : m_max(aMax)
{
}

void Floors::Raise(const std::string& aNodeName, const Version& aVersion)
{
  const auto found = m_byName.find(aNodeName);
  if (found != m_byName.end()) {
    found->second->m_version = std::max(found->second->m_version, aVersion);
    m_byAge.splice(m_byAge.begin(), m_byAge, found->second);
    return;
  }
  m_byAge.push_front({ aNodeName, aVersion });
  m_byName.emplace(aNodeName, m_byAge.begin());
  if (m_byName.size() > m_max) {
    m_byName.erase(m_byAge.back().m_nodeName);
    m_byAge.pop_back();
  }
}

std::optional<Version> Floors::Find(const std::string& aNodeName) const
{
  const auto found = m_byName.find(aNodeName);
  return found == m_byName.end()
           ? std::nullopt
           : std::optional<Version>(found->second->m_version);
}

} // namespace wigeonfold::distribution
