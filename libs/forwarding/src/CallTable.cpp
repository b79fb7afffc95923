#include "wigeonfold/forwarding/CallTable.h"

#include <algorithm>

namespace wigeonfold::forwarding {

int64_t CallTable::Open(const AttemptKey& aKey)
{
  m_calls.emplace(++m_lastId, Entry{ aKey, false });
  return m_lastId;
}

void CallTable::MarkWritten(int64_t aId)
{
  const auto entry = m_calls.find(aId);
  if (entry != m_calls.end()) {
    entry->second.m_written = true;
  }
}

std::optional<AttemptKey> CallTable::Answer(int64_t aId)
{
  const auto entry = m_calls.find(aId);
  if (entry == m_calls.end() || !entry->second.m_written) {
    return std::nullopt;
  }
  const AttemptKey key = entry->second.m_key;
  m_calls.erase(entry);
  return key;
}

bool CallTable::Cancel(int64_t aId)
{
  const auto entry = m_calls.find(aId);
  if (entry == m_calls.end()) {
    return false;
  }
  const bool written = entry->second.m_written;
  m_calls.erase(entry);
  return written;
}

std::vector<OutstandingAttempt> CallTable::Outstanding() const
{
  std::vector<std::pair<int64_t, Entry>> entries(m_calls.begin(),
                                                 m_calls.end());
  std::sort(
    entries.begin(), entries.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<OutstandingAttempt> calls;
  calls.reserve(entries.size());
  for (const auto& [id, entry] : entries) {
    calls.push_back(OutstandingAttempt{ entry.m_key, entry.m_written });
  }
  return calls;
}

std::vector<OutstandingAttempt> CallTable::TakeAll()
{
  std::vector<OutstandingAttempt> lost = Outstanding();
  m_calls.clear();
  return lost;
}

} // namespace wigeonfold::forwarding
