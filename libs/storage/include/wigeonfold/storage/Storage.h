// Durable state of a control VM in one data folder: identity, hard state,
// write-ahead log and snapshots. All calls block until the data is synced, so
// one thread of the process should own the object.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Events.h"
#include "wigeonfold/storage/FileSystem.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::storage {

// ---- Stored data -----------------------------------------------------------

struct Identity
{
  int64_t m_memberId = 0;  // random, positive; set when the folder is created
  int64_t m_clusterId = 0; // 0 until SetClusterId
};

struct HardState
{
  int64_t m_term = 0;
  int64_t m_vote = 0;   // member id, 0 for none
  int64_t m_commit = 0; // a hint; the true commit index may be greater

  bool operator==(const HardState&) const = default;
};

struct LogRecord
{
  int64_t m_index = 0;
  int64_t m_term = 0;
  std::string m_data; // opaque

  bool operator==(const LogRecord&) const = default;
};

struct Snapshot
{
  int64_t m_index = 0; // last log index covered
  int64_t m_term = 0;  // its term
  std::string m_data;  // opaque

  bool operator==(const Snapshot&) const = default;
};

// Changes that become durable atomically. The truncation is applied before the
// appends.
struct Batch
{
  std::optional<HardState> m_hardState;
  int64_t m_truncateFrom = 0; // first index to remove, 0 for none
  std::vector<LogRecord> m_append;
};

// Content of the folder when it was opened.
struct Recovered
{
  Identity m_identity;
  HardState m_hardState;
  std::optional<Snapshot> m_snapshot;
  // Index and term of the record before m_records, 0 when there is none. The
  // index is at most the snapshot's.
  int64_t m_baseIndex = 0;
  int64_t m_baseTerm = 0;
  std::vector<LogRecord> m_records; // consecutive from m_baseIndex + 1
  size_t m_tornBytes = 0;           // removed from the end of the log
};

// ---- Storage ---------------------------------------------------------------

struct StorageSettings
{
  std::string m_folder;
  // The next write starts a new segment once the current one has this size.
  // Compaction removes whole segments only, so this bounds the space taken by
  // records that are no longer needed.
  size_t m_segmentBytes = size_t{ 4 } << 20;
};

// Receives the numbered events, on the thread of the call that causes them.
using EventSink = std::function<void(EventId, std::vector<EventField>)>;

// Not thread safe. Every error but InvalidArgument is final: the object then
// refuses all further work with the same error, because what the disk holds is
// no longer known.
class Storage
{
public:
  // Opens or creates the folder. aFileSystem must outlive the object. Fails
  // with Corrupt on damage before the tail of the log, Io on a failed call,
  // Conflict when another process uses the folder. aSeed seeds the generator
  // of segment salts and of the member id of a new folder; it must be
  // unpredictable in production.
  static Result<std::unique_ptr<Storage>> Open(FileSystem& aFileSystem,
                                               StorageSettings aSettings,
                                               uint64_t aSeed,
                                               EventSink aEvents);
  virtual ~Storage() = default;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;

  // The content that Open read. Moves it out, so call it once only.
  virtual Recovered TakeRecovered() = 0;
  virtual Identity GetIdentity() const = 0;

  // Stores the cluster id; fails with InvalidArgument when another is set.
  virtual Status SetClusterId(int64_t aClusterId) = 0;

  // Writes and syncs the batch as a whole: after a crash either all of it or
  // none is there. Fails with InvalidArgument when a record does not follow the
  // last index without a gap, when the truncation starts at a record that the
  // newest snapshot covers or beyond LastIndex() + 1, and when the batch
  // exceeds 1 GiB.
  virtual Status Persist(const Batch& aBatch) = 0;

  // Writes, syncs and renames the snapshot. When the log holds no record with
  // the snapshot's index and term, the snapshot replaces the whole log. Fails
  // with InvalidArgument when a newer snapshot is stored.
  virtual Status SaveSnapshot(const Snapshot& aSnapshot) = 0;

  // Removes whole segments that hold only records up to aIndex. Fails with
  // InvalidArgument unless a snapshot covers aIndex.
  virtual Status Compact(int64_t aIndex) = 0;

  virtual int64_t LastIndex() const = 0;

protected:
  Storage() = default;
};

} // namespace wigeonfold::storage
