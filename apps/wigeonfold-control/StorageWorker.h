// Storage thread: carries out the core's jobs in order.
#pragma once

#include "Messages.h"

#include "wigeonfold/storage/Storage.h"

#include <functional>
#include <memory>

namespace wigeonfold::control {

// Runs on the thread of the io_context to which m_coreToStorage is attached.
class StorageWorker
{
public:
  // aOnFailure is called once, on the storage thread; nothing is reported to
  // the core afterwards, so nothing unsynced is ever acknowledged.
  StorageWorker(std::unique_ptr<storage::Storage> aStorage,
                Channels& aChannels,
                std::function<void(const Error&)> aOnFailure);

  void Handle(StorageJob aJob);
  // Syncs what is gathered. Post it after each drain.
  void SyncBatch();

private:
  Status Execute(StorageJob& aJob);
  Status PersistBatch();
  void Fail(const Error& aError);

  std::unique_ptr<storage::Storage> m_storage;
  Channels& m_channels;
  std::function<void(const Error&)> m_onFailure;
  // Appends of consecutive jobs are synced together.
  storage::Batch m_batch;
  uint64_t m_batchSequence = 0;
  bool m_hasBatch = false;
  bool m_failed = false;
};

// Durable state in the form that Raft starts from. Fails with Corrupt when an
// entry can't be decoded.
Result<consensus::RaftInitialState> ToInitialState(
  storage::Recovered aRecovered);

} // namespace wigeonfold::control
