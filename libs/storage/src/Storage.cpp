#include "wigeonfold/storage/Storage.h"

#include "Format.h"
#include "Recovery.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <deque>
#include <limits>
#include <random>
#include <utility>

namespace wigeonfold::storage {
namespace {

// The newest snapshot and the one before it. The older one is used when the
// newest is damaged and the log still holds all records after the older one.
constexpr size_t kKeptSnapshots = 2;

Error Invalid(const char* aStep, const std::string& aDetail)
{
  return Error{ ErrorCode::InvalidArgument, aStep, "", aDetail };
}

class FolderStorage : public Storage
{
public:
  FolderStorage(FileSystem& aFileSystem,
                StorageSettings aSettings,
                uint64_t aSeed,
                EventSink aEvents)
    : m_fileSystem(aFileSystem)
    , m_settings(std::move(aSettings))
    , m_random(aSeed)
    , m_events(std::move(aEvents))
  {
  }

  Status Start();

  Recovered TakeRecovered() override { return std::move(m_recovered); }
  Identity GetIdentity() const override { return m_state.m_identity; }
  Status SetClusterId(int64_t aClusterId) override;
  Status Persist(const Batch& aBatch) override;
  Status SaveSnapshot(const Snapshot& aSnapshot) override;
  Status Compact(int64_t aIndex) override;
  int64_t LastIndex() const override
  {
    return m_baseIndex + static_cast<int64_t>(m_terms.size());
  }

private:
  // ---- Start ----
  Status OpenFolder();
  Status Create();
  Status Load();
  Status RemoveUnusedFiles();
  Status CheckNoGapAfterSnapshot(const LoadedLog& aLog,
                                 const LoadedSnapshot& aLoaded);
  Status OpenLastSegment(const LoadedLog& aLog);
  void InitializeFrom(LoadedLog& aLog, LoadedSnapshot& aLoaded);

  // ---- Writing ----
  Status CheckBatchFits(const Batch& aBatch) const;
  Status WriteBatch(const StoredBatch& aBatch);
  Status RotateIfFull();
  Status StartSegment();
  Status WriteAtomically(const std::string& aName, const std::string& aBytes);
  Status RemoveOldSnapshots();
  bool Contains(int64_t aIndex, int64_t aTerm) const;
  int64_t LastTerm() const
  {
    return m_terms.empty() ? m_baseTerm : m_terms.back();
  }
  void AdvanceBaseTo(int64_t aIndex);

  // Stores the first error, which every later call returns, and reports it as
  // an event. Returns aStatus.
  Status RecordFailure(Status aStatus);

  std::string PathOf(const std::string& aName) const
  {
    return m_settings.m_folder + "/" + aName;
  }

  FileSystem& m_fileSystem;
  const StorageSettings m_settings;
  std::mt19937_64 m_random;
  EventSink m_events;
  std::optional<Error> m_failure;

  std::unique_ptr<File> m_lock;
  Recovered m_recovered;
  FolderState m_state;
  HardState m_hardState;

  // Base and terms of the stored log; the data of the records stays on disk.
  int64_t m_baseIndex = 0;
  int64_t m_baseTerm = 0;
  std::deque<int64_t> m_terms;

  std::vector<SegmentReference> m_segments;
  SegmentHeader m_header; // of the open segment
  std::unique_ptr<File> m_segment;
  size_t m_segmentSize = 0;
  uint64_t m_nextBatch = 1;
  std::vector<SnapshotName> m_snapshots; // sorted, without damaged ones
};

// ---- Start -----------------------------------------------------------------

Status FolderStorage::Start()
{
  return RecordFailure(OpenFolder());
}

Status FolderStorage::OpenFolder()
{
  BOOST_OUTCOME_TRYV(m_fileSystem.MakeFolder(m_settings.m_folder));
  auto lock = m_fileSystem.Lock(PathOf(kLockName));
  if (!lock) {
    return lock.error();
  }
  m_lock = std::move(lock.value());
  const auto identity = m_fileSystem.Read(PathOf(kIdentityName));
  if (!identity && identity.error().m_code != ErrorCode::NotFound) {
    return identity.error();
  }
  if (!identity) {
    return Create();
  }
  const auto state = DecodeFolderState(identity.value());
  if (!state) {
    return Error{ ErrorCode::Corrupt,
                  "read identity",
                  PathOf(kIdentityName),
                  "invalid checksum or content" };
  }
  m_state = *state;
  BOOST_OUTCOME_TRYV(RemoveUnusedFiles());
  return Load();
}

// Removes temporary files, and segments whose creation or removal was
// interrupted.
Status FolderStorage::RemoveUnusedFiles()
{
  const auto names = m_fileSystem.List(m_settings.m_folder);
  if (!names) {
    return names.error();
  }
  for (const std::string& name : names.value()) {
    const auto sequence = ParseSegmentName(name);
    const bool unused = name.ends_with(kTemporarySuffix) ||
                        (sequence && (*sequence < m_state.m_firstSegment ||
                                      *sequence > m_state.m_lastSegment));
    if (unused) {
      BOOST_OUTCOME_TRYV(m_fileSystem.Remove(PathOf(name)));
    }
  }
  return m_fileSystem.SyncFolder(m_settings.m_folder);
}

// The identity file is written last, so an interrupted creation leaves at most
// the lock, temporary files and a first segment without batches. Anything else
// in a folder without an identity file is an error.
Status FolderStorage::Create()
{
  const auto names = m_fileSystem.List(m_settings.m_folder);
  if (!names) {
    return names.error();
  }
  for (const std::string& name : names.value()) {
    if (name == kLockName) {
      continue;
    }
    const auto bytes = m_fileSystem.Read(PathOf(name));
    if (!bytes) {
      return bytes.error();
    }
    const bool unused = name.ends_with(kTemporarySuffix) ||
                        (ParseSegmentName(name) == uint64_t{ 1 } &&
                         bytes.value().size() <= kSegmentHeaderBytes);
    if (!unused) {
      return Error{ ErrorCode::Corrupt,
                    "create data folder",
                    m_settings.m_folder,
                    "the folder holds " + name + " but no identity file" };
    }
    BOOST_OUTCOME_TRYV(m_fileSystem.Remove(PathOf(name)));
  }
  BOOST_OUTCOME_TRYV(StartSegment());
  std::uniform_int_distribution<int64_t> ids(
    1, std::numeric_limits<int64_t>::max());
  m_state.m_identity.m_memberId = ids(m_random);
  BOOST_OUTCOME_TRYV(
    WriteAtomically(kIdentityName, EncodeFolderState(m_state)));
  m_recovered.m_identity = m_state.m_identity;
  m_events(EventId::FolderCreated,
           { { "folder", m_settings.m_folder },
             { "member", std::to_string(m_state.m_identity.m_memberId) } });
  return Ok();
}

Status FolderStorage::Load()
{
  const auto names = m_fileSystem.List(m_settings.m_folder);
  if (!names) {
    return names.error();
  }
  auto snapshot =
    LoadSnapshot(m_fileSystem, m_settings.m_folder, names.value());
  if (!snapshot) {
    return snapshot.error();
  }
  for (const SnapshotName& name : snapshot.value().m_damaged) {
    m_events(EventId::SnapshotDamaged, { { "file", ToFileName(name) } });
  }
  auto log = LoadLog(m_fileSystem, m_settings.m_folder, m_state);
  if (!log) {
    return log.error();
  }
  BOOST_OUTCOME_TRYV(CheckNoGapAfterSnapshot(log.value(), snapshot.value()));
  for (const std::string& name : names.value()) {
    if (const auto parsed = ParseSnapshotName(name)) {
      m_snapshots.push_back(*parsed);
    }
  }
  std::sort(m_snapshots.begin(), m_snapshots.end());
  BOOST_OUTCOME_TRYV(OpenLastSegment(log.value()));
  InitializeFrom(log.value(), snapshot.value());
  const auto& restored = m_recovered.m_snapshot;
  if (restored && !Contains(restored->m_index, restored->m_term)) {
    // The process ended after an installed snapshot had been renamed and before
    // the log was replaced.
    StoredBatch reset;
    reset.m_reset = true;
    reset.m_resetIndex = restored->m_index;
    reset.m_resetTerm = restored->m_term;
    BOOST_OUTCOME_TRYV(WriteBatch(reset));
    m_recovered.m_baseIndex = m_baseIndex;
    m_recovered.m_baseTerm = m_baseTerm;
    m_recovered.m_records.clear();
  }
  m_events(EventId::FolderRecovered,
           { { "folder", m_settings.m_folder },
             { "member", std::to_string(m_state.m_identity.m_memberId) },
             { "snapshot", std::to_string(restored ? restored->m_index : 0) },
             { "last", std::to_string(LastIndex()) } });
  return Ok();
}

// Fails with Corrupt when records are missing between the newest valid snapshot
// and the start of the log.
Status FolderStorage::CheckNoGapAfterSnapshot(const LoadedLog& aLog,
                                              const LoadedSnapshot& aLoaded)
{
  const int64_t covered = aLoaded.m_snapshot ? aLoaded.m_snapshot->m_index : 0;
  if (aLog.m_baseIndex > covered) {
    return Error{ ErrorCode::Corrupt,
                  "read data folder",
                  m_settings.m_folder,
                  "the log starts after record " +
                    std::to_string(aLog.m_baseIndex) +
                    " but the newest valid snapshot ends at " +
                    std::to_string(covered) };
  }
  return Ok();
}

Status FolderStorage::OpenLastSegment(const LoadedLog& aLog)
{
  auto file =
    m_fileSystem.Open(PathOf(SegmentName(aLog.m_lastHeader.m_sequence)));
  if (!file) {
    return file.error();
  }
  m_segment = std::move(file.value());
  if (aLog.m_tornBytes > 0) {
    BOOST_OUTCOME_TRYV(m_segment->Truncate(aLog.m_lastSize));
    m_events(EventId::TornTailCut,
             { { "bytes", std::to_string(aLog.m_tornBytes) } });
  }
  // The process may have ended between the last write and its sync, so these
  // bytes may be in the page cache only.
  return m_segment->Sync();
}

void FolderStorage::InitializeFrom(LoadedLog& aLog, LoadedSnapshot& aLoaded)
{
  m_hardState = aLog.m_hardState;
  m_baseIndex = aLog.m_baseIndex;
  m_baseTerm = aLog.m_baseTerm;
  for (const LogRecord& record : aLog.m_records) {
    m_terms.push_back(record.m_term);
  }
  m_segments = aLog.m_segments;
  m_header = aLog.m_lastHeader;
  m_segmentSize = aLog.m_lastSize;
  m_nextBatch = aLog.m_nextBatch;
  std::erase_if(m_snapshots, [&aLoaded](const SnapshotName& aName) {
    const auto& damaged = aLoaded.m_damaged;
    return std::find(damaged.begin(), damaged.end(), aName) != damaged.end();
  });
  m_recovered.m_identity = m_state.m_identity;
  m_recovered.m_hardState = m_hardState;
  m_recovered.m_snapshot = std::move(aLoaded.m_snapshot);
  m_recovered.m_baseIndex = m_baseIndex;
  m_recovered.m_baseTerm = m_baseTerm;
  m_recovered.m_records = std::move(aLog.m_records);
  m_recovered.m_tornBytes = aLog.m_tornBytes;
}

// ---- Writing ---------------------------------------------------------------

Status FolderStorage::SetClusterId(int64_t aClusterId)
{
  if (m_failure) {
    return *m_failure;
  }
  if (aClusterId == m_state.m_identity.m_clusterId) {
    return Ok();
  }
  if (m_state.m_identity.m_clusterId != 0 || aClusterId == 0) {
    return Invalid("set cluster id",
                   "the folder already belongs to another cluster");
  }
  m_state.m_identity.m_clusterId = aClusterId;
  return RecordFailure(
    WriteAtomically(kIdentityName, EncodeFolderState(m_state)));
}

Status FolderStorage::Persist(const Batch& aBatch)
{
  if (m_failure) {
    return *m_failure;
  }
  BOOST_OUTCOME_TRYV(CheckBatchFits(aBatch));
  BOOST_OUTCOME_TRYV(RecordFailure(RotateIfFull()));
  return RecordFailure(WriteBatch(StoredBatch{ aBatch }));
}

Status FolderStorage::CheckBatchFits(const Batch& aBatch) const
{
  int64_t last = LastIndex();
  if (aBatch.m_truncateFrom != 0) {
    const int64_t covered =
      m_snapshots.empty() ? 0 : m_snapshots.back().m_index;
    if (aBatch.m_truncateFrom <= std::max(m_baseIndex, covered) ||
        aBatch.m_truncateFrom > last + 1) {
      return Invalid("persist batch",
                     "the truncation starts within the snapshot or beyond the "
                     "end of the log");
    }
    last = aBatch.m_truncateFrom - 1;
  }
  size_t bytes = 0;
  for (const LogRecord& record : aBatch.m_append) {
    if (record.m_index != ++last) {
      return Invalid("persist batch",
                     "non-consecutive index at record " +
                       std::to_string(record.m_index));
    }
    bytes += record.m_data.size() + sizeof(LogRecord);
  }
  if (bytes > kMaxBatchBytes) {
    return Invalid("persist batch", "the batch exceeds 1 GiB");
  }
  return Ok();
}

Status FolderStorage::WriteBatch(const StoredBatch& aBatch)
{
  const std::string bytes = EncodeBatch(m_header, m_nextBatch, aBatch);
  BOOST_OUTCOME_TRYV(m_segment->Append(bytes));
  BOOST_OUTCOME_TRYV(m_segment->Sync());
  ++m_nextBatch;
  m_segmentSize += bytes.size();
  const Batch& batch = aBatch.m_batch;
  if (batch.m_hardState) {
    m_hardState = *batch.m_hardState;
  }
  if (aBatch.m_reset) {
    m_terms.clear();
    m_baseIndex = aBatch.m_resetIndex;
    m_baseTerm = aBatch.m_resetTerm;
  }
  if (batch.m_truncateFrom != 0) {
    MarkTruncated(m_segments, batch.m_truncateFrom);
    m_terms.resize(static_cast<size_t>(batch.m_truncateFrom - m_baseIndex - 1));
  }
  for (const LogRecord& record : batch.m_append) {
    m_terms.push_back(record.m_term);
  }
  return Ok();
}

Status FolderStorage::RotateIfFull()
{
  if (m_segmentSize < m_settings.m_segmentBytes) {
    return Ok();
  }
  BOOST_OUTCOME_TRYV(StartSegment());
  m_state.m_lastSegment = m_header.m_sequence;
  return WriteAtomically(kIdentityName, EncodeFolderState(m_state));
}

Status FolderStorage::StartSegment()
{
  SegmentHeader header;
  header.m_sequence = m_segments.empty() ? 1 : m_segments.back().m_sequence + 1;
  header.m_salt = m_random();
  header.m_firstBatch = m_nextBatch;
  header.m_baseIndex = LastIndex();
  header.m_baseTerm = LastTerm();
  header.m_hardState = m_hardState;
  auto file = m_fileSystem.Open(PathOf(SegmentName(header.m_sequence)));
  if (!file) {
    return file.error();
  }
  BOOST_OUTCOME_TRYV(file.value()->Append(EncodeHeader(header)));
  BOOST_OUTCOME_TRYV(file.value()->Sync());
  BOOST_OUTCOME_TRYV(m_fileSystem.SyncFolder(m_settings.m_folder));
  m_segment = std::move(file.value());
  m_segmentSize = kSegmentHeaderBytes;
  m_header = header;
  m_segments.push_back({ header.m_sequence, header.m_baseIndex });
  return Ok();
}

Status FolderStorage::WriteAtomically(const std::string& aName,
                                      const std::string& aBytes)
{
  const std::string temporary = PathOf(aName + kTemporarySuffix);
  auto file = m_fileSystem.Open(temporary);
  if (!file) {
    return file.error();
  }
  BOOST_OUTCOME_TRYV(file.value()->Append(aBytes));
  BOOST_OUTCOME_TRYV(file.value()->Sync());
  BOOST_OUTCOME_TRYV(m_fileSystem.Rename(temporary, PathOf(aName)));
  return m_fileSystem.SyncFolder(m_settings.m_folder);
}

Status FolderStorage::SaveSnapshot(const Snapshot& aSnapshot)
{
  if (m_failure) {
    return *m_failure;
  }
  if (!m_snapshots.empty() && aSnapshot.m_index < m_snapshots.back().m_index) {
    return Invalid("save snapshot", "a newer snapshot is stored");
  }
  const SnapshotName name{ aSnapshot.m_index, aSnapshot.m_term };
  BOOST_OUTCOME_TRYV(RecordFailure(
    WriteAtomically(ToFileName(name), EncodeSnapshot(aSnapshot))));
  if (m_snapshots.empty() || m_snapshots.back() != name) {
    m_snapshots.push_back(name);
  }
  m_events(EventId::SnapshotSaved,
           { { "index", std::to_string(aSnapshot.m_index) },
             { "bytes", std::to_string(aSnapshot.m_data.size()) } });
  if (!Contains(aSnapshot.m_index, aSnapshot.m_term)) {
    StoredBatch reset;
    reset.m_reset = true;
    reset.m_resetIndex = aSnapshot.m_index;
    reset.m_resetTerm = aSnapshot.m_term;
    BOOST_OUTCOME_TRYV(RecordFailure(RotateIfFull()));
    BOOST_OUTCOME_TRYV(RecordFailure(WriteBatch(reset)));
    m_events(EventId::LogReplaced,
             { { "index", std::to_string(aSnapshot.m_index) } });
  }
  return RecordFailure(RemoveOldSnapshots());
}

Status FolderStorage::RemoveOldSnapshots()
{
  while (m_snapshots.size() > kKeptSnapshots) {
    BOOST_OUTCOME_TRYV(
      m_fileSystem.Remove(PathOf(ToFileName(m_snapshots.front()))));
    m_snapshots.erase(m_snapshots.begin());
  }
  return Ok();
}

Status FolderStorage::Compact(int64_t aIndex)
{
  if (m_failure) {
    return *m_failure;
  }
  if (m_snapshots.empty() || aIndex > m_snapshots.back().m_index) {
    return Invalid("compact log", "no stored snapshot covers the index");
  }
  const auto first = std::find_if(m_segments.rbegin(),
                                  m_segments.rend(),
                                  [aIndex](const SegmentReference& aSegment) {
                                    return aSegment.m_canStartReplay &&
                                           aSegment.m_baseIndex <= aIndex;
                                  });
  if (first == m_segments.rend() ||
      first->m_sequence == m_state.m_firstSegment) {
    return Ok();
  }
  m_state.m_firstSegment = first->m_sequence;
  AdvanceBaseTo(first->m_baseIndex);
  BOOST_OUTCOME_TRYV(
    RecordFailure(WriteAtomically(kIdentityName, EncodeFolderState(m_state))));
  while (m_segments.front().m_sequence < m_state.m_firstSegment) {
    BOOST_OUTCOME_TRYV(RecordFailure(
      m_fileSystem.Remove(PathOf(SegmentName(m_segments.front().m_sequence)))));
    m_segments.erase(m_segments.begin());
  }
  return RecordFailure(m_fileSystem.SyncFolder(m_settings.m_folder));
}

void FolderStorage::AdvanceBaseTo(int64_t aIndex)
{
  while (m_baseIndex < aIndex && !m_terms.empty()) {
    m_baseTerm = m_terms.front();
    m_terms.pop_front();
    ++m_baseIndex;
  }
}

bool FolderStorage::Contains(int64_t aIndex, int64_t aTerm) const
{
  if (aIndex == m_baseIndex) {
    return aTerm == m_baseTerm;
  }
  return aIndex > m_baseIndex && aIndex <= LastIndex() &&
         m_terms[static_cast<size_t>(aIndex - m_baseIndex - 1)] == aTerm;
}

Status FolderStorage::RecordFailure(Status aStatus)
{
  if (!aStatus && !m_failure) {
    m_failure = aStatus.error();
    m_events(EventId::StorageFailed, { { "error", m_failure->ToString() } });
  }
  return aStatus;
}

} // namespace

// ---- Storage ---------------------------------------------------------------

Result<std::unique_ptr<Storage>> Storage::Open(FileSystem& aFileSystem,
                                               StorageSettings aSettings,
                                               uint64_t aSeed,
                                               EventSink aEvents)
{
  auto storage = std::make_unique<FolderStorage>(
    aFileSystem, std::move(aSettings), aSeed, std::move(aEvents));
  const Status started = storage->Start();
  if (!started) {
    return started.error();
  }
  return std::unique_ptr<Storage>(std::move(storage));
}

} // namespace wigeonfold::storage
