#include "Recovery.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::storage {
namespace {

Error Corrupt(const std::string& aFile, const std::string& aDetail)
{
  return Error{ ErrorCode::Corrupt, "read data folder", aFile, aDetail };
}

// Applies one batch; false when it does not continue the log.
bool Replay(LoadedLog& aLog, StoredBatch&& aStored)
{
  Batch& batch = aStored.m_batch;
  if (batch.m_hardState) {
    aLog.m_hardState = *batch.m_hardState;
  }
  if (aStored.m_reset) {
    aLog.m_records.clear();
    aLog.m_baseIndex = aStored.m_resetIndex;
    aLog.m_baseTerm = aStored.m_resetTerm;
  }
  if (batch.m_truncateFrom != 0) {
    if (batch.m_truncateFrom <= aLog.m_baseIndex ||
        batch.m_truncateFrom > aLog.LastIndex() + 1) {
      return false;
    }
    MarkTruncated(aLog.m_segments, batch.m_truncateFrom);
    aLog.m_records.resize(
      static_cast<size_t>(batch.m_truncateFrom - aLog.m_baseIndex - 1));
  }
  for (LogRecord& record : batch.m_append) {
    if (record.m_index != aLog.LastIndex() + 1) {
      return false;
    }
    aLog.m_records.push_back(std::move(record));
  }
  return true;
}

// True when the segment continues the log that was read before it.
bool Follows(const LoadedLog& aLog, const SegmentHeader& aHeader)
{
  return aHeader.m_firstBatch == aLog.m_nextBatch &&
         aHeader.m_baseIndex == aLog.LastIndex() &&
         aHeader.m_baseTerm == aLog.LastTerm();
}

void StartFrom(LoadedLog& aLog, const SegmentHeader& aHeader)
{
  aLog.m_hardState = aHeader.m_hardState;
  aLog.m_baseIndex = aHeader.m_baseIndex;
  aLog.m_baseTerm = aHeader.m_baseTerm;
  aLog.m_nextBatch = aHeader.m_firstBatch;
}

// Replays the batches of one segment. Each batch was synced before the next
// was written, so an invalid batch is a torn write only at the end of the last
// segment. Followed by a valid batch or by another segment, it is damage.
Status ReplayBatches(LoadedLog& aLog,
                     const SegmentHeader& aHeader,
                     const std::string& aName,
                     std::string_view aBytes,
                     bool aLast)
{
  size_t position = kSegmentHeaderBytes;
  while (position < aBytes.size()) {
    const std::string_view rest = aBytes.substr(position);
    uint64_t number = 0;
    const auto size = CheckBatch(aHeader, rest, number);
    if (!size) {
      if (!aLast || ContainsBatch(aHeader, rest.substr(1))) {
        return Corrupt(aName,
                       "invalid batch at byte " + std::to_string(position) +
                         " before the end of the log");
      }
      aLog.m_tornBytes = rest.size();
      break;
    }
    auto stored = DecodeBatch(rest, *size);
    if (number != aLog.m_nextBatch || !stored ||
        !Replay(aLog, std::move(*stored))) {
      return Corrupt(aName,
                     "batch at byte " + std::to_string(position) +
                       " does not continue the log");
    }
    ++aLog.m_nextBatch;
    position += *size;
  }
  aLog.m_lastSize = position;
  return Ok();
}

} // namespace

bool LoadedLog::Contains(int64_t aIndex, int64_t aTerm) const
{
  if (aIndex == m_baseIndex) {
    return aTerm == m_baseTerm;
  }
  return aIndex > m_baseIndex && aIndex <= LastIndex() &&
         m_records[static_cast<size_t>(aIndex - m_baseIndex - 1)].m_term ==
           aTerm;
}

void MarkTruncated(std::vector<SegmentReference>& aSegments,
                   int64_t aTruncateFrom)
{
  for (SegmentReference& segment : aSegments) {
    segment.m_canStartReplay =
      segment.m_canStartReplay && segment.m_baseIndex < aTruncateFrom;
  }
}

Result<LoadedLog> LoadLog(FileSystem& aFileSystem,
                          const std::string& aFolder,
                          const FolderState& aState)
{
  LoadedLog log;
  for (uint64_t sequence = aState.m_firstSegment;
       sequence <= aState.m_lastSegment;
       ++sequence) {
    const std::string name = SegmentName(sequence);
    const auto bytes = aFileSystem.Read(aFolder + "/" + name);
    if (!bytes && bytes.error().m_code == ErrorCode::NotFound) {
      return Corrupt(name, "the segment is missing");
    }
    if (!bytes) {
      return bytes.error();
    }
    const auto header = DecodeHeader(bytes.value());
    if (!header || header->m_sequence != sequence) {
      return Corrupt(name, "invalid segment header or sequence number");
    }
    if (log.m_segments.empty()) {
      StartFrom(log, *header);
    } else if (!Follows(log, *header)) {
      return Corrupt(name, "the segment does not continue the log");
    }
    log.m_segments.push_back({ sequence, header->m_baseIndex });
    log.m_lastHeader = *header;
    const bool last = sequence == aState.m_lastSegment;
    const Status replayed =
      ReplayBatches(log, *header, name, bytes.value(), last);
    if (!replayed) {
      return replayed.error();
    }
  }
  return log;
}

Result<LoadedSnapshot> LoadSnapshot(FileSystem& aFileSystem,
                                    const std::string& aFolder,
                                    const std::vector<std::string>& aNames)
{
  std::vector<SnapshotName> found;
  for (const std::string& name : aNames) {
    if (const auto parsed = ParseSnapshotName(name)) {
      found.push_back(*parsed);
    }
  }
  std::sort(found.rbegin(), found.rend());
  LoadedSnapshot loaded;
  for (const SnapshotName& name : found) {
    const auto bytes = aFileSystem.Read(aFolder + "/" + ToFileName(name));
    if (!bytes) {
      return bytes.error();
    }
    auto snapshot = DecodeSnapshot(bytes.value());
    if (snapshot && snapshot->m_index == name.m_index &&
        snapshot->m_term == name.m_term) {
      loaded.m_snapshot = std::move(snapshot);
      break;
    }
    loaded.m_damaged.push_back(name);
  }
  return loaded;
}

} // namespace wigeonfold::storage
