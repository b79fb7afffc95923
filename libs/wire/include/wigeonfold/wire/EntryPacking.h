// Compression of the entries of Raft messages.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <string>

namespace wigeonfold::wire {

// Replaces large entries by packed ones. A leader sends the same entries to all
// followers one after the other, so the newest result is kept. Not thread safe.
class EntryPacker
{
public:
  // Entries with fewer payload bytes are left as they are.
  static constexpr size_t kMinBytes = 4096;

  void Pack(RaftMessage& aMessage);
  // How often entries were compressed.
  size_t Compressions() const { return m_compressions; }

private:
  // Entries with the same first and last position are equal.
  struct Range
  {
    int64_t m_firstIndex = 0;
    int64_t m_firstTerm = 0;
    int64_t m_lastIndex = 0;
    int64_t m_lastTerm = 0;

    bool operator==(const Range&) const = default;
  };

  Range m_range;
  std::string m_packed;
  int64_t m_length = 0;
  size_t m_compressions = 0;
};

// Replaces packed entries, if there are any, by the unpacked ones. Fails with
// Protocol and aPeer when they are corrupt or too large. Thread safe.
Status UnpackEntries(RaftMessage& aMessage, const std::string& aPeer);

} // namespace wigeonfold::wire
