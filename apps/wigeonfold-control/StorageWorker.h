// Storage thread: executes the core's jobs in order.
#pragma once

#include "Messages.h"

#include "wigeonfold/storage/Storage.h"

#include <functional>
#include <memory>

namespace wigeonfold::control {

// All methods run on the thread of the io_context to which m_coreToStorage is
// attached.
class StorageWorker
{
public:
  // aOnFailure is called at most once, on the storage thread. No job is
  // executed afterwards, so nothing unsynced is reported to the core as synced.
  StorageWorker(std::unique_ptr<storage::Storage> aStorage,
                Channels& aChannels,
                std::function<void(const Error&)> aOnFailure);

  void Handle(StorageJob aJob);
  // Syncs the batch and reports it to the core. Call after each drain of
  // m_coreToStorage.
  void SyncBatch();

private:
  Status Execute(StorageJob& aJob);
  Status PersistBatch();
  void Fail(const Error& aError);

  std::unique_ptr<storage::Storage> m_storage;
  Channels& m_channels;
  std::function<void(const Error&)> m_onFailure;
  // Consecutive jobs are written and synced together.
  storage::Batch m_batch;
  uint64_t m_batchSequence = 0; // of the last job in the batch
  bool m_hasBatch = false;
  bool m_failed = false;
};

// Converts what was recovered from disk to the state that Raft starts from.
// Fails with Corrupt when an entry can't be decoded. Thread safe.
Result<consensus::RaftInitialState> ToInitialState(
  storage::Recovered aRecovered);

} // namespace wigeonfold::control
