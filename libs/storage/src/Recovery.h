// Reads the content of a data folder. Distinguishes a torn tail, an incomplete
// write at the end of the log as a crash leaves it, from damage.
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
  // False once a truncation has removed the record at m_baseIndex: a replay
  // that starts with this segment would lack records that the truncation refers
  // to.
  bool m_canStartReplay = true;
};

// Clears m_canStartReplay of the segments whose base record a truncation from
// aTruncateFrom on removes.
void MarkTruncated(std::vector<SegmentReference>& aSegments,
                   int64_t aTruncateFrom);

// The log after all segments have been replayed.
struct LoadedLog
{
  HardState m_hardState;
  int64_t m_baseIndex = 0;
  int64_t m_baseTerm = 0;
  std::vector<LogRecord> m_records;
  uint64_t m_nextBatch = 1; // number of the next batch
  std::vector<SegmentReference> m_segments;
  SegmentHeader m_lastHeader;
  size_t m_lastSize = 0;  // valid bytes of the last segment
  size_t m_tornBytes = 0; // invalid bytes after them

  int64_t LastIndex() const
  {
    return m_baseIndex + static_cast<int64_t>(m_records.size());
  }
  int64_t LastTerm() const
  {
    return m_records.empty() ? m_baseTerm : m_records.back().m_term;
  }
  // True when the record at aIndex, or the base, has the term aTerm.
  bool Contains(int64_t aIndex, int64_t aTerm) const;
};

// Reads the segments that aState names; changes nothing on disk. Fails with
// Corrupt on damage before the tail, a missing segment, or a segment or batch
// that does not continue the log.
Result<LoadedLog> LoadLog(FileSystem& aFileSystem,
                          const std::string& aFolder,
                          const FolderState& aState);

struct LoadedSnapshot
{
  std::optional<Snapshot> m_snapshot;
  std::vector<SnapshotName> m_damaged; // newer than m_snapshot, skipped
};

// Finds the newest valid snapshot among aNames, the files of the folder. Fails
// with the error of the file system when a file can't be read.
Result<LoadedSnapshot> LoadSnapshot(FileSystem& aFileSystem,
                                    const std::string& aFolder,
                                    const std::vector<std::string>& aNames);

} // namespace wigeonfold::storage
