#include "wigeonfold/consensus/Log.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::consensus {

Log::Log(LogPosition aBase, std::vector<wire::LogEntry> aEntries)
  : m_base(aBase)
  , m_entries(std::make_move_iterator(aEntries.begin()),
              std::make_move_iterator(aEntries.end()))
{
  for (const wire::LogEntry& entry : m_entries) {
    m_bytes += entry.payload.size();
  }
}

LogPosition Log::Last() const
{
  if (m_entries.empty()) {
    return m_base;
  }
  return { m_entries.back().index, m_entries.back().term };
}

std::optional<int64_t> Log::TermAt(int64_t aIndex) const
{
  if (aIndex == m_base.m_index) {
    return m_base.m_term;
  }
  if (aIndex < m_base.m_index || aIndex > Last().m_index) {
    return std::nullopt;
  }
  return At(aIndex).term;
}

bool Log::Contains(LogPosition aPosition) const
{
  return TermAt(aPosition.m_index) == aPosition.m_term;
}

const wire::LogEntry& Log::At(int64_t aIndex) const
{
  return m_entries[static_cast<size_t>(aIndex - m_base.m_index - 1)];
}

size_t Log::BytesAfter(int64_t aIndex) const
{
  size_t bytes = 0;
  for (int64_t index = aIndex + 1; index <= Last().m_index; ++index) {
    bytes += At(index).payload.size();
  }
  return bytes;
}

int64_t Log::IndexBefore(int64_t aTo, size_t aMaxBytes) const
{
  int64_t index = aTo;
  for (size_t bytes = 0; index > m_base.m_index; --index) {
    bytes += At(index).payload.size();
    if (bytes > aMaxBytes) {
      break;
    }
  }
  return index;
}

std::vector<wire::LogEntry> Log::Slice(int64_t aFrom,
                                       int64_t aTo,
                                       size_t aMaxBytes) const
{
  std::vector<wire::LogEntry> entries;
  size_t bytes = 0;
  for (int64_t index = aFrom; index <= aTo; ++index) {
    const wire::LogEntry& entry = At(index);
    bytes += entry.payload.size();
    if (!entries.empty() && bytes > aMaxBytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

LogPosition Log::FindConflictByTerm(LogPosition aPosition) const
{
  int64_t index = std::min(aPosition.m_index, Last().m_index);
  while (index > m_base.m_index && At(index).term > aPosition.m_term) {
    --index;
  }
  if (index <= m_base.m_index) {
    return m_base;
  }
  return { index, At(index).term };
}

void Log::Append(wire::LogEntry aEntry)
{
  m_bytes += aEntry.payload.size();
  m_entries.push_back(std::move(aEntry));
}

void Log::TruncateFrom(int64_t aIndex)
{
  while (!m_entries.empty() && m_entries.back().index >= aIndex) {
    m_bytes -= m_entries.back().payload.size();
    m_entries.pop_back();
  }
}

void Log::CompactTo(int64_t aIndex)
{
  while (!m_entries.empty() && m_entries.front().index <= aIndex) {
    m_base = { m_entries.front().index, m_entries.front().term };
    m_bytes -= m_entries.front().payload.size();
    m_entries.pop_front();
  }
}

void Log::Reset(LogPosition aBase)
{
  m_entries.clear();
  m_bytes = 0;
  m_base = aBase;
}

} // namespace wigeonfold::consensus
