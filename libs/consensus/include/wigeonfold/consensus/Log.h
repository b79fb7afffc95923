// In-memory copy of the replicated log.
#pragma once

#include "wigeonfold/wire/gen/raft_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wigeonfold::consensus {

// Index and term of a log entry. Index 0 is the position before the first
// entry.
struct LogPosition
{
  int64_t m_index = 0;
  int64_t m_term = 0;

  bool operator==(const LogPosition&) const = default;
};

// The entries after the base position, up to which the log has been compacted.
// Indexes are consecutive. Enforces no rule of the protocol. Not thread safe.
class Log
{
public:
  Log() = default;
  Log(LogPosition aBase, std::vector<wire::LogEntry> aEntries);

  LogPosition Base() const { return m_base; }
  LogPosition Last() const;

  // Term of the entry at the index, or of the base position; nothing when the
  // entry is compacted or does not exist.
  std::optional<int64_t> TermAt(int64_t aIndex) const;
  bool Contains(LogPosition aPosition) const;
  // Precondition: Base().m_index < aIndex <= Last().m_index.
  const wire::LogEntry& At(int64_t aIndex) const;

  // Payload bytes of all entries.
  size_t Bytes() const { return m_bytes; }
  // Payload bytes of the entries after the index. Precondition: the index is at
  // least Base().m_index.
  size_t BytesAfter(int64_t aIndex) const;
  // The least index such that the entries after it, up to and including aTo,
  // have at most aMaxBytes of payload. At least Base().m_index, at most aTo.
  // Precondition: Base().m_index <= aTo <= Last().m_index.
  int64_t IndexBefore(int64_t aTo, size_t aMaxBytes) const;

  // Entries from aFrom to aTo inclusive, limited to aMaxBytes of payload but at
  // least one entry. Precondition: the entries exist.
  std::vector<wire::LogEntry> Slice(int64_t aFrom,
                                    int64_t aTo,
                                    size_t aMaxBytes) const;

  // The last entry with an index up to aPosition.m_index and a term up to
  // aPosition.m_term, or the base position. Lets leader and follower skip a
  // whole term per rejected append when they look for their last common entry.
  LogPosition FindConflictByTerm(LogPosition aPosition) const;

  // Precondition: the entry's index is Last().m_index + 1.
  void Append(wire::LogEntry aEntry);
  // Removes the entries from aIndex on.
  void TruncateFrom(int64_t aIndex);
  // Removes the entries up to aIndex.
  void CompactTo(int64_t aIndex);
  // Removes all entries; the next one follows aBase.
  void Reset(LogPosition aBase);

private:
  LogPosition m_base;
  std::deque<wire::LogEntry> m_entries;
  size_t m_bytes = 0; // payload of m_entries
};

} // namespace wigeonfold::consensus
