#include "wigeonfold/discovery/ChangeIndex.h"

#include <algorithm>

namespace wigeonfold::discovery {

void ChangeIndex::MarkChanged(const std::string& aName)
{
  int64_t& cursor = m_byName[aName];
  m_byCursor.erase(cursor);
  cursor = ++m_cursor;
  m_byCursor.emplace(cursor, aName);
}

void ChangeIndex::Forget(const std::string& aName)
{
  const auto found = m_byName.find(aName);
  if (found == m_byName.end()) {
    return;
  }
  m_horizon = std::max(m_horizon, found->second);
  m_byCursor.erase(found->second);
  m_byName.erase(found);
}

std::optional<std::vector<std::string>> ChangeIndex::Since(
  int64_t aCursor) const
{
  if (aCursor < m_horizon || aCursor > m_cursor) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (auto it = m_byCursor.upper_bound(aCursor); it != m_byCursor.end();
       ++it) {
    names.push_back(it->second);
  }
  return names;
}

} // namespace wigeonfold::discovery
