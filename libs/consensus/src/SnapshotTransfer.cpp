// Transfer of snapshots from the leader to other members, in chunks.
#include "wigeonfold/consensus/Raft.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

namespace wigeonfold::consensus {
namespace {

// A settings tree takes a few MiB, so a message that announces more than this
// is malformed.
constexpr int64_t kMaxSnapshotBytes = int64_t{ 1 } << 30;

} // namespace

// ---- Leader ----------------------------------------------------------------

bool Raft::LacksMuch(const Progress& aProgress) const
{
  const int64_t has = std::max(aProgress.m_next - 1, m_log.Base().m_index);
  const size_t snapshotBytes = m_snapshot ? m_snapshot->m_content->size() : 0;
  return m_log.BytesAfter(has) >
         std::max(m_settings.m_maxCatchUpBytes, snapshotBytes / 4);
}

// Whether the member has to wait for a newer snapshot. Asks for one when it
// would lack much with the present one.
bool Raft::AwaitsSnapshot(Progress& aProgress)
{
  if (!aProgress.m_awaitsSnapshot) {
    const int64_t covered = std::max(SnapshotIndex(), m_log.Base().m_index);
    if (m_log.BytesAfter(covered) <= m_settings.m_maxCatchUpBytes) {
      return false;
    }
    aProgress.m_awaitsSnapshot = true;
    aProgress.m_snapshotWaitEnds = m_now + m_settings.m_maxSnapshotWait;
    m_snapshotWanted = true;
  }
  return m_now < aProgress.m_snapshotWaitEnds;
}

// Precondition: the member lacks much and awaits no snapshot, or no longer.
void Raft::SendSnapshotOrLog(MemberId aTo, Progress& aProgress)
{
  if (!aProgress.m_awaitsSnapshot && SnapshotIndex() >= aProgress.m_next) {
    StartSnapshotTransfer(aTo, aProgress);
  } else {
    SendAppends(aTo, aProgress);
  }
}

void Raft::SendAwaitedSnapshots()
{
  for (auto& [id, progress] : m_progress) {
    if (progress.m_awaitsSnapshot && m_now < progress.m_snapshotWaitEnds) {
      StartSnapshotTransfer(id, progress);
    }
  }
}

void Raft::StartSnapshotTransfer(MemberId aTo, Progress& aProgress)
{
  if (!m_snapshot) {
    return;
  }
  aProgress.m_state = ProgressState::Snapshot;
  aProgress.m_awaitsSnapshot = false;
  aProgress.m_snapshot = *m_snapshot;
  aProgress.m_offset = 0;
  aProgress.m_inflight.clear();
  AddEvent(EventId::SnapshotSending,
           { { "member", std::to_string(aTo) },
             { "index", std::to_string(SnapshotIndex()) } });
  SendChunk(aTo, aProgress, true);
}

// Without data the message serves as a heartbeat. The follower replies with the
// number of bytes that it has received.
void Raft::SendChunk(MemberId aTo, Progress& aProgress, bool aWithData)
{
  const RaftSnapshot& snapshot = aProgress.m_snapshot;
  wire::RaftMessage message =
    MakeMessage(wire::RaftMessageKind::SnapshotChunk, aTo);
  message.logIndex = snapshot.m_position.m_index;
  message.logTerm = snapshot.m_position.m_term;
  message.round = m_round;
  message.quorumAgeMs = QuorumAgeMs();
  message.snapshotOffset = static_cast<int64_t>(aProgress.m_offset);
  message.snapshotSize = static_cast<int64_t>(snapshot.m_content->size());
  if (aWithData) {
    message.snapshotData =
      snapshot.m_content->substr(aProgress.m_offset, m_settings.m_chunkBytes);
    aProgress.m_chunkSentAt = m_now;
  }
  Send(std::move(message));
}

void Raft::HandleSnapshotReply(const wire::RaftMessage& aMessage)
{
  if (aMessage.term > m_hardState.m_term) {
    BecomeFollower(aMessage.term, 0);
    return;
  }
  const auto found = m_progress.find(aMessage.fromMember);
  if (m_role != Role::Leader || aMessage.term != m_hardState.m_term ||
      found == m_progress.end()) {
    return;
  }
  Progress& progress = found->second;
  ConfirmRound(progress, aMessage.round);
  const RaftSnapshot& snapshot = progress.m_snapshot;
  const auto received = static_cast<size_t>(aMessage.snapshotOffset);
  if (progress.m_state != ProgressState::Snapshot ||
      aMessage.logIndex != snapshot.m_position.m_index ||
      received > snapshot.m_content->size()) {
    return;
  }
  if (aMessage.granted) {
    // The next append finds out which entries the follower has synced.
    progress.m_state = ProgressState::Probe;
    progress.m_next = snapshot.m_position.m_index + 1;
    progress.m_probeSent = false;
    progress.m_snapshot = {};
    SendAppends(aMessage.fromMember, progress);
    return;
  }
  const bool retry = m_now - progress.m_chunkSentAt >= m_settings.m_chunkRetry;
  if (received > progress.m_offset || retry) {
    progress.m_offset = received;
    SendChunk(aMessage.fromMember, progress, true);
  }
}

// ---- Follower --------------------------------------------------------------

void Raft::HandleSnapshotChunk(const wire::RaftMessage& aMessage)
{
  const bool wellFormed = aMessage.logIndex > 0 && aMessage.snapshotSize > 0 &&
                          aMessage.snapshotSize <= kMaxSnapshotBytes;
  if (!wellFormed || !AcceptLeader(aMessage)) {
    return;
  }
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::SnapshotReply, aMessage.fromMember);
  reply.round = aMessage.round;
  reply.logIndex = aMessage.logIndex;
  const LogPosition position{ aMessage.logIndex, aMessage.logTerm };
  if (position.m_index > m_hardState.m_commit) {
    if (!m_incomingSnapshot || m_incomingSnapshot->m_position != position) {
      m_incomingSnapshot =
        IncomingSnapshot{ aMessage.fromMember, position, "" };
    }
    std::string& content = m_incomingSnapshot->m_content;
    if (static_cast<size_t>(aMessage.snapshotOffset) == content.size()) {
      content += aMessage.snapshotData;
    }
    reply.snapshotOffset = static_cast<int64_t>(content.size());
    if (reply.snapshotOffset >= aMessage.snapshotSize) {
      InstallSnapshot(std::move(*m_incomingSnapshot));
      m_incomingSnapshot.reset();
    }
  }
  reply.granted = position.m_index <= m_hardState.m_commit;
  if (!reply.granted && !m_incomingSnapshot) {
    reply.snapshotOffset = 0;
  }
  Send(std::move(reply));
}

void Raft::InstallSnapshot(IncomingSnapshot aSnapshot)
{
  const LogPosition position = aSnapshot.m_position;
  RaftSnapshot snapshot{ position,
                         std::make_shared<const std::string>(
                           std::move(aSnapshot.m_content)) };
  if (!wire::Decode<wire::SnapshotContent>(*snapshot.m_content, "snapshot")) {
    AddEvent(EventId::SnapshotRejected,
             { { "from", std::to_string(aSnapshot.m_from) },
               { "index", std::to_string(position.m_index) } });
    return;
  }
  if (!m_log.Contains(position)) {
    m_log.Reset(position);
    m_unsavedFrom = position.m_index + 1;
    // The storage replaces its log, so no entry counts as synced until the
    // snapshot is.
    m_syncedIndex = 0;
    for (PendingBatch& batch : m_pending) {
      batch.m_lastIndex = 0;
    }
  }
  m_unsavedFrom = std::max(m_unsavedFrom, position.m_index + 1);
  if (m_truncateFrom <= position.m_index) {
    m_truncateFrom = 0;
  }
  m_hardState.m_commit = position.m_index;
  m_applied = position.m_index;
  MarkUnapplied(); // until the restore
  m_verified = std::max(m_verified, position.m_index);
  m_snapshotRequested = 0;
  m_appliedBytes = 0;
  m_restoreReady = false;
  m_unsavedSnapshot = snapshot;
  LoadMemberships(snapshot);
  AddEvent(EventId::SnapshotInstalled,
           { { "from", std::to_string(aSnapshot.m_from) },
             { "index", std::to_string(position.m_index) } });
}

// Loads the membership and the state to restore from the snapshot, then the
// memberships of the log entries after it.
void Raft::LoadMemberships(const std::optional<RaftSnapshot>& aSnapshot)
{
  m_memberships.clear();
  int64_t snapshotIndex = 0;
  if (aSnapshot) {
    snapshotIndex = aSnapshot->m_position.m_index;
    auto content =
      wire::Decode<wire::SnapshotContent>(*aSnapshot->m_content, "snapshot");
    if (content) {
      m_memberships.push_back({ content.value().membershipIndex,
                                std::move(content.value().membership) });
      m_restore = RestoreAction{ aSnapshot->m_position,
                                 std::move(content.value().state) };
    }
  }
  const int64_t from = std::max(snapshotIndex, m_log.Base().m_index) + 1;
  for (int64_t index = from; index <= m_log.Last().m_index; ++index) {
    const wire::LogEntry& entry = m_log.At(index);
    if (entry.kind != wire::LogEntryKind::Membership) {
      continue;
    }
    auto membership =
      wire::Decode<wire::Membership>(entry.payload, "replicated log");
    if (membership) {
      m_memberships.push_back({ index, std::move(membership.value()) });
    }
  }
}

} // namespace wigeonfold::consensus
