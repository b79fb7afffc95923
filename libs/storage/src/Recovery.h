// Reads the content of a data folder and tells a torn tail from damage.
#pragma once

#include "Format.h"
#include "wigeonfold/storage/FileSystem.h"

#include <string>
#include <vector>

namespace wigeonfold::storage {

struct SegmentReference
{
  uint64_t m_sequence = 0;
  int64_t m_baseIndex = 0; // last log index before the segment
  // False once records before the segment have been truncated: the replay can
  // then not start here.
  bool m_mayBeFirst = true;
};

// Notes a truncation in the references of the segments written before it.
void MarkTruncated(std::vector<SegmentReference>& aSegments,
                   int64_t aTruncateFrom);

// The log after the replay of all segments.
struct LoadedLog
{
  HardState m_hardState;
  int64_t m_baseIndex = 0;
  int64_t m_baseTerm = 0;
  std::vector<LogRecord> m_records;
  uint64_t m_nextBatch = 1;
  std::vector<SegmentReference> m_segments;
  SegmentHeader m_lastHeader;
  size_t m_lastSize = 0; // valid bytes of the last segment
  size_t m_tornBytes = 0;

  int64_t LastIndex() const
  {
    return m_baseIndex + static_cast<int64_t>(m_records.size());
  }
  int64_t LastTerm() const
  {
    return m_records.empty() ? m_baseTerm : m_records.back().m_term;
  }
  // True when the record at the index, or the base, has the term.
  bool Contains(int64_t aIndex, int64_t aTerm) const;
};

// Reads the segments that the state names; changes nothing on disk. Fails with
// Corrupt on damage before the tail, a missing segment or impossible content.
Result<LoadedLog> LoadLog(FileSystem& aFileSystem,
                          const std::string& aFolder,
                          const FolderState& aState);

struct LoadedSnapshot
{
  std::optional<Snapshot> m_snapshot;
  std::vector<SnapshotName> m_damaged;
};

// The newest valid snapshot.
Result<LoadedSnapshot> LoadSnapshot(FileSystem& aFileSystem,
                                    const std::string& aFolder,
                                    const std::vector<std::string>& aNames);

} // namespace wigeonfold::storage
