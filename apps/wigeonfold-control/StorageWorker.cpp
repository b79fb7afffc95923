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
  const Status carried = Carry(aJob);
  if (!carried) {
    Fail(carried.error());
  }
}

Status StorageWorker::Carry(StorageJob& aJob)
{
  // A truncation or a snapshot must not be merged with earlier appends.
  if (aJob.m_truncateFrom != 0 || aJob.m_snapshot || aJob.m_compactTo != 0) {
    BOOST_OUTCOME_TRYV(PersistGathered());
  }
  if (aJob.m_clusterId != 0) {
    BOOST_OUTCOME_TRYV(m_storage->SetClusterId(aJob.m_clusterId));
  }
  if (aJob.m_snapshot) {
    const auto& snapshot = *aJob.m_snapshot;
    BOOST_OUTCOME_TRYV(m_storage->SaveSnapshot({ snapshot.m_position.m_index,
                                                 snapshot.m_position.m_term,
                                                 *snapshot.m_content }));
  }
  if (aJob.m_sequence != 0) {
    m_hasGathered = true;
    m_gatheredSequence = aJob.m_sequence;
    if (aJob.m_hardState) {
      m_gathered.m_hardState = ToStorage(*aJob.m_hardState);
    }
    if (aJob.m_truncateFrom != 0) {
      m_gathered.m_truncateFrom = aJob.m_truncateFrom;
    }
    for (const wire::LogEntry& entry : aJob.m_append) {
      m_gathered.m_append.push_back(ToRecord(entry));
    }
  }
  if (aJob.m_compactTo != 0) {
    BOOST_OUTCOME_TRYV(PersistGathered());
    BOOST_OUTCOME_TRYV(m_storage->Compact(aJob.m_compactTo));
  }
  return Ok();
}

Status StorageWorker::PersistGathered()
{
  if (!m_hasGathered) {
    return Ok();
  }
  m_hasGathered = false;
  const storage::Batch batch = std::move(m_gathered);
  m_gathered = storage::Batch();
  BOOST_OUTCOME_TRYV(m_storage->Persist(batch));
  m_channels.m_storageToCore.Push(StorageReport{ m_gatheredSequence });
  return Ok();
}

void StorageWorker::Commit()
{
  if (m_failed) {
    return;
  }
  const Status done = PersistGathered();
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
