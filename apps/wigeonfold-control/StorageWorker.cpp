#include "StorageWorker.h"

#include "wigeonfold/wire/Codec.h"

namespace wigeonfold::control {

namespace {

storage::LogRecord ToRecord(const wire::LogEntry& aEntry)
{
  return { aEntry.index, aEntry.term, wire::Encode(aEntry) };
}

storage::HardState ToStorage(const consensus::HardState& aState)
{
  return { aState.m_term, aState.m_vote, aState.m_commit };
}

} // namespace

StorageWorker::StorageWorker(std::unique_ptr<storage::Storage> aStorage,
                             Channels& aChannels,
                             std::function<void(const Error&)> aOnFailure)
  : m_storage(std::move(aStorage))
  , m_channels(aChannels)
  , m_onFailure(std::move(aOnFailure))
{
}

void StorageWorker::Fail(const Error& aError)
{
  if (!m_failed) {
    m_failed = true;
    m_onFailure(aError);
  }
}

void StorageWorker::Handle(StorageJob aJob)
{
  if (m_failed) {
    return;
  }
  const Status executed = Execute(aJob);
  if (!executed) {
    Fail(executed.error());
  }
}

Status StorageWorker::Execute(StorageJob& aJob)
{
  // Truncations, snapshots and compactions come after the appends of earlier
  // jobs, so these are written first.
  if (aJob.m_truncateFrom != 0 || aJob.m_snapshot || aJob.m_compactTo != 0) {
    BOOST_OUTCOME_TRYV(PersistBatch());
  }
  if (aJob.m_clusterIdHash != 0) {
    BOOST_OUTCOME_TRYV(m_storage->SetClusterId(aJob.m_clusterIdHash));
  }
  if (aJob.m_snapshot) {
    const auto& snapshot = *aJob.m_snapshot;
    BOOST_OUTCOME_TRYV(m_storage->SaveSnapshot({ snapshot.m_position.m_index,
                                                 snapshot.m_position.m_term,
                                                 *snapshot.m_content }));
  }
  if (aJob.m_sequence != 0) {
    m_hasBatch = true;
    m_batchSequence = aJob.m_sequence;
    if (aJob.m_hardState) {
      m_batch.m_hardState = ToStorage(*aJob.m_hardState);
    }
    if (aJob.m_truncateFrom != 0) {
      m_batch.m_truncateFrom = aJob.m_truncateFrom;
    }
    for (const wire::LogEntry& entry : aJob.m_append) {
      m_batch.m_append.push_back(ToRecord(entry));
    }
  }
  if (aJob.m_compactTo != 0) {
    BOOST_OUTCOME_TRYV(PersistBatch());
    BOOST_OUTCOME_TRYV(m_storage->Compact(aJob.m_compactTo));
  }
  return Ok();
}

Status StorageWorker::PersistBatch()
{
  if (!m_hasBatch) {
    return Ok();
  }
  m_hasBatch = false;
  const storage::Batch batch = std::move(m_batch);
  m_batch = storage::Batch();
  BOOST_OUTCOME_TRYV(m_storage->Persist(batch));
  m_channels.m_storageToCore.Push(StorageReport{ m_batchSequence });
  return Ok();
}

void StorageWorker::SyncBatch()
{
  if (m_failed) {
    return;
  }
  const Status done = PersistBatch();
  if (!done) {
    Fail(done.error());
  }
  m_channels.m_storageToCore.Flush();
}

Result<consensus::RaftInitialState> ToInitialState(
  storage::Recovered aRecovered)
{
  consensus::RaftInitialState state;
  state.m_self = aRecovered.m_identity.m_memberId;
  state.m_hardState = { aRecovered.m_hardState.m_term,
                        aRecovered.m_hardState.m_vote,
                        aRecovered.m_hardState.m_commit };
  state.m_base = { aRecovered.m_baseIndex, aRecovered.m_baseTerm };
  if (aRecovered.m_snapshot) {
    consensus::RaftSnapshot snapshot;
    snapshot.m_position = { aRecovered.m_snapshot->m_index,
                            aRecovered.m_snapshot->m_term };
    snapshot.m_content = std::make_shared<const std::string>(
      std::move(aRecovered.m_snapshot->m_data));
    state.m_snapshot = std::move(snapshot);
  }
  for (const storage::LogRecord& record : aRecovered.m_records) {
    auto entry = wire::Decode<wire::LogEntry>(
      record.m_data, "log entry " + std::to_string(record.m_index));
    if (!entry) {
      Error error = entry.error();
      error.m_code = ErrorCode::Corrupt;
      return error;
    }
    state.m_entries.push_back(std::move(entry.value()));
  }
  return state;
}

} // namespace wigeonfold::control
