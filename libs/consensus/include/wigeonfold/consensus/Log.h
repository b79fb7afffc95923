// The replicated log in memory.
#pragma once

#include "wigeonfold/wire/gen/raft_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wigeonfold::consensus {

// Position in the log.
struct LogPosition
{
  int64_t m_index = 0;
  int64_t m_term = 0;

  bool operator==(const LogPosition&) const = default;
};

// Consecutive entries after a base position up to which the log has been
// compacted. Not thread safe. It enforces no rule of the protocol.
class Log
{
public:
  Log() = default;
  Log(LogPosition aBase, std::vector<wire::LogEntry> aEntries);

  LogPosition Base() const { return m_base; }
  LogPosition Last() const;

  // Term of the entry; nothing when it is compacted away or does not exist.
  std::optional<int64_t> TermAt(int64_t aIndex) const;
  bool Contains(LogPosition aPosition) const;
  // Precondition: Base().m_index < aIndex <= Last().m_index.
  const wire::LogEntry& At(int64_t aIndex) const;

  // Entries from aFrom to aTo inclusive; stops after aMaxBytes of payload but
  // returns at least one entry.
  std::vector<wire::LogEntry> Slice(int64_t aFrom,
                                    int64_t aTo,
                                    size_t aMaxBytes) const;

  // Greatest index up to aPosition.m_index whose term is at most
  // aPosition.m_term. Skips a whole term per mismatch when leader and follower
  // search for their last common entry.
  LogPosition FindConflictByTerm(LogPosition aPosition) const;

  // Precondition: the entry's index is Last().m_index + 1.
  void Append(wire::LogEntry aEntry);
  // Removes the entries from aIndex on.
  void TruncateFrom(int64_t aIndex);
  // Removes the entries up to aIndex.
  void CompactTo(int64_t aIndex);
  // Drops all entries and starts after the position.
  void Reset(LogPosition aBase);

private:
  LogPosition m_base;
  std::deque<wire::LogEntry> m_entries;
};

} // namespace wigeonfold::consensus
