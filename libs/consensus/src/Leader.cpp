// The leader: proposals, replication, commit and lease.
#include "Quorum.h"

#include "wigeonfold/consensus/Raft.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

namespace wigeonfold::consensus {

// ---- Proposals -------------------------------------------------------------

Status Raft::CheckLeader(const std::string& aStep) const
{
  if (m_role == Role::Leader) {
    return Ok();
  }
  const auto leader = Leader();
  return Error{ ErrorCode::Unavailable,
                aStep,
                leader ? leader->apiAddress : "",
                leader ? "this member is not the leader"
                       : "this member is not the leader and knows no leader" };
}

Result<LogPosition> Raft::Propose(TimePoint aNow, std::string aPayload)
{
  AdvanceClock(aNow);
  const Status leading = CheckLeader("propose");
  if (!leading) {
    return leading.error();
  }
  const int64_t uncommitted = m_log.Last().m_index - m_hardState.m_commit;
  if (static_cast<size_t>(uncommitted) >= m_settings.m_maxUncommitted) {
    return Error{
      ErrorCode::Exhausted, "propose", "", "too many uncommitted entries"
    };
  }
  if (m_log.Bytes() >= m_settings.m_maxLogBytes) {
    return Error{ ErrorCode::Exhausted,
                  "propose",
                  "",
                  "the log is full; its entries wait for a commit or for a "
                  "snapshot" };
  }
  return AppendAsLeader(wire::LogEntryKind::Command, std::move(aPayload));
}

Result<LogPosition> Raft::ProposeChange(TimePoint aNow,
                                        const MembershipChange& aChange)
{
  AdvanceClock(aNow);
  const char* const step = "change membership";
  const Status leading = CheckLeader(step);
  if (!leading) {
    return leading.error();
  }
  // Before an entry of the current term is committed, a change by an earlier
  // leader may still be pending, and two majorities could have no member in
  // common.
  if (!CommittedEntryInCurrentTerm()) {
    return Error{ ErrorCode::Conflict,
                  step,
                  "",
                  "the leader has not committed an entry of its term" };
  }
  if (!MembershipCommitted()) {
    return Error{
      ErrorCode::Conflict, step, "", "another membership change is uncommitted"
    };
  }
  const MemberId id = aChange.m_member.memberId;
  auto changed = ApplyChange(CurrentMembership(), aChange);
  if (!changed) {
    return changed.error();
  }
  if (aChange.m_kind == MembershipChangeKind::Promote && !CaughtUp(id)) {
    return Error{ ErrorCode::Conflict,
                  step,
                  "member " + std::to_string(id),
                  "the learner has not caught up" };
  }
  return AppendAsLeader(wire::LogEntryKind::Membership,
                        wire::Encode(changed.value()));
}

LogPosition Raft::AppendAsLeader(wire::LogEntryKind::type aKind,
                                 std::string aPayload)
{
  wire::LogEntry entry;
  entry.index = m_log.Last().m_index + 1;
  entry.term = m_hardState.m_term;
  entry.kind = aKind;
  entry.payload = std::move(aPayload);
  AppendToLog(std::move(entry));
  if (aKind == wire::LogEntryKind::Membership) {
    UpdateProgressSet();
  }
  BroadcastAppends();
  return m_log.Last();
}

bool Raft::CommittedEntryInCurrentTerm() const
{
  return m_role == Role::Leader && m_hardState.m_commit >= m_termStartIndex;
}

bool Raft::CaughtUp(MemberId aId) const
{
  const auto found = m_progress.find(aId);
  if (found == m_progress.end()) {
    return false;
  }
  const Progress& progress = found->second;
  return progress.m_state == ProgressState::Replicate &&
         progress.m_match >= m_hardState.m_commit && progress.m_confirmed &&
         m_now - progress.m_confirmedAt < m_settings.m_electionMin;
}

std::optional<int64_t> Raft::MatchIndex(MemberId aId) const
{
  if (m_role != Role::Leader) {
    return std::nullopt;
  }
  if (aId == m_self) {
    return m_syncedIndex;
  }
  const auto found = m_progress.find(aId);
  return found == m_progress.end() ? std::nullopt
                                   : std::make_optional(found->second.m_match);
}

// ---- Replication -----------------------------------------------------------

// A removed member still receives entries until its removal is committed: it
// counts for the quorum of the previous membership, and usually learns of the
// removal.
void Raft::UpdateProgressSet()
{
  for (const auto* membership :
       { &CurrentMembership(), &PreviousMembership() }) {
    for (const wire::Member& member : membership->members) {
      if (member.memberId != m_self && !m_progress.contains(member.memberId)) {
        m_progress[member.memberId].m_next = m_log.Last().m_index + 1;
      }
    }
  }
  if (!MembershipCommitted()) {
    return;
  }
  std::erase_if(m_progress, [this](const auto& aItem) {
    return FindMember(CurrentMembership(), aItem.first) == nullptr;
  });
}

void Raft::SendHeartbeats()
{
  ++m_round;
  m_rounds.push_back({ m_round, m_now, m_log.Last().m_index });
  while (m_now - m_rounds.front().m_sentAt > m_settings.m_electionMax) {
    m_rounds.pop_front();
  }
  m_heartbeatDue = m_now + m_settings.m_heartbeat;
  for (auto& [id, progress] : m_progress) {
    if (progress.m_state == ProgressState::Snapshot) {
      SendChunk(id, progress, false);
    } else {
      SendAppend(id, progress, false);
    }
  }
}

void Raft::BroadcastAppends()
{
  for (auto& [id, progress] : m_progress) {
    SendAppends(id, progress);
  }
}

// Sends the entries that the follower lacks, as far as its progress state and
// m_maxInflight allow.
void Raft::SendAppends(MemberId aTo, Progress& aProgress)
{
  const int64_t last = m_log.Last().m_index;
  if (aProgress.m_state == ProgressState::Probe) {
    if (!aProgress.m_probeSent) {
      SendAppend(aTo, aProgress, true);
    }
    return;
  }
  while (aProgress.m_state == ProgressState::Replicate &&
         aProgress.m_next <= last &&
         aProgress.m_inflight.size() < m_settings.m_maxInflight) {
    SendAppend(aTo, aProgress, true);
  }
}

void Raft::SendAppend(MemberId aTo, Progress& aProgress, bool aWithEntries)
{
  int64_t previous = aProgress.m_next - 1;
  auto term = m_log.TermAt(previous);
  if (!term && !AwaitsSnapshot(aProgress)) {
    StartSnapshotTransfer(aTo, aProgress);
    return;
  }
  if (!term) { // a heartbeat until the snapshot is written
    previous = m_log.Base().m_index;
    term = m_log.Base().m_term;
    aWithEntries = false;
  }
  wire::RaftMessage message =
    MakeMessage(wire::RaftMessageKind::AppendRequest, aTo);
  message.logIndex = previous;
  message.logTerm = *term;
  message.commitIndex = m_hardState.m_commit;
  message.round = m_round;
  message.quorumAgeMs = QuorumAgeMs();
  message.__set_survivingIndex(m_survivingIndex);
  if (aProgress.m_stamp) {
    message.__set_stamp(*aProgress.m_stamp);
  }
  if (aWithEntries) {
    message.entries = m_log.Slice(
      aProgress.m_next, m_log.Last().m_index, m_settings.m_maxMessageBytes);
  }
  if (aProgress.m_state == ProgressState::Probe) {
    aProgress.m_probeSent = true;
  } else if (!message.entries.empty()) {
    aProgress.m_next = message.entries.back().index + 1;
    aProgress.m_inflight.push_back(aProgress.m_next - 1);
  }
  Send(std::move(message));
}

void Raft::HandleAppendReply(const wire::RaftMessage& aMessage)
{
  if (aMessage.term > m_hardState.m_term) {
    BecomeFollower(aMessage.term, 0);
    return;
  }
  const auto found = m_progress.find(aMessage.fromMember);
  if (m_role != Role::Leader || aMessage.term != m_hardState.m_term ||
      found == m_progress.end() || aMessage.logIndex > m_log.Last().m_index) {
    return;
  }
  Progress& progress = found->second;
  ConfirmRound(progress, aMessage.round);
  if (aMessage.__isset.stamp) {
    progress.m_stamp = aMessage.stamp;
  }
  if (progress.m_state == ProgressState::Snapshot && !aMessage.granted) {
    return;
  }
  if (!aMessage.granted) {
    HandleAppendRejection(aMessage.fromMember, progress, aMessage);
    return;
  }
  progress.m_awaitsSnapshot = false;
  progress.m_match = std::max(progress.m_match, aMessage.logIndex);
  progress.m_next = std::max(progress.m_next, progress.m_match + 1);
  while (!progress.m_inflight.empty() &&
         progress.m_inflight.front() <= progress.m_match) {
    progress.m_inflight.pop_front();
  }
  if (progress.m_state == ProgressState::Probe) {
    progress.m_state = ProgressState::Replicate;
    progress.m_inflight.clear();
  }
  AdvanceCommit();
  UpdateSurvivingIndex();
  // AdvanceCommit may have ended the leadership and cleared m_progress.
  if (m_role == Role::Leader && m_progress.contains(aMessage.fromMember)) {
    SendAppends(aMessage.fromMember, m_progress[aMessage.fromMember]);
  }
}

// Moves the follower's next index back towards the last common entry. Takes at
// most one rejection per term that differs.
void Raft::HandleAppendRejection(MemberId aTo,
                                 Progress& aProgress,
                                 const wire::RaftMessage& aMessage)
{
  const int64_t rejected = aMessage.rejectedIndex;
  const bool stale = rejected <= aProgress.m_match ||
                     (aProgress.m_state == ProgressState::Probe &&
                      rejected != aProgress.m_next - 1);
  if (stale) {
    return;
  }
  const LogPosition hint{ aMessage.logIndex, aMessage.logTerm };
  const int64_t common = hint.m_index < m_log.Base().m_index
                           ? hint.m_index
                           : m_log.FindConflictByTerm(hint).m_index;
  aProgress.m_next =
    std::max(aProgress.m_match + 1, std::min(common + 1, rejected));
  aProgress.m_state = ProgressState::Probe;
  aProgress.m_probeSent = false;
  aProgress.m_inflight.clear();
  if (!LacksMuch(aProgress)) {
    SendAppends(aTo, aProgress);
  } else if (!AwaitsSnapshot(aProgress)) {
    SendSnapshotOrLog(aTo, aProgress);
  }
}

// ---- Commit ----------------------------------------------------------------

// While a membership change is uncommitted, quorums of both memberships decide.
// The new one alone could be formed without any voter of a quorum that is left
// of the old one after a lost disk.
template<class Value, class ValueOf>
Value Raft::ValueOfQuorums(Value aNone, ValueOf aValueOf) const
{
  return std::min(
    ValueOfQuorum(CurrentMembership(), m_outlook.m_lost, aNone, aValueOf),
    ValueOfQuorum(PreviousMembership(), m_outlook.m_lost, aNone, aValueOf));
}

void Raft::AdvanceCommit()
{
  const auto index = ValueOfQuorums<int64_t>(
    0, [this](MemberId aId) { return MatchIndex(aId).value_or(0); });
  // An entry of an earlier term that is stored on a majority can still be
  // replaced. It is committed together with the first entry of the current
  // term.
  if (index <= m_hardState.m_commit ||
      m_log.TermAt(index) != m_hardState.m_term) {
    return;
  }
  CommitTo(index);
  UpdateSurvivingIndex();
  if (MembershipCommitted()) {
    UpdateProgressSet();
  }
  for (auto& [id, progress] : m_progress) {
    if (progress.m_state == ProgressState::Replicate) {
      SendAppend(id, progress, false);
    }
  }
  if (MembershipCommitted() && !IsVoter(CurrentMembership(), m_self)) {
    BecomeFollower(m_hardState.m_term, 0);
  }
}

// ---- Lease -----------------------------------------------------------------

// The reply proves that the follower accepted this leader after the round was
// sent, so the lease counts from the sending time.
void Raft::ConfirmRound(Progress& aProgress, int64_t aRound)
{
  const auto found =
    std::find_if(m_rounds.begin(), m_rounds.end(), [aRound](const Round& aR) {
      return aR.m_number == aRound;
    });
  if (found == m_rounds.end()) {
    return;
  }
  if (!aProgress.m_confirmed || aProgress.m_confirmedAt < found->m_sentAt) {
    aProgress.m_confirmed = true;
    aProgress.m_confirmedAt = found->m_sentAt;
  }
  aProgress.m_answeredIndex =
    std::max(aProgress.m_answeredIndex, found->m_lastIndex);
}

TimePoint Raft::QuorumConfirmedAt(TimePoint aNow, bool aGrace) const
{
  const TimePoint never = aGrace ? m_leaderSince : TimePoint::min();
  return ValueOfQuorums(never, [&](MemberId aId) {
    const auto found = m_progress.find(aId);
    if (aId == m_self) {
      return aNow;
    }
    return found != m_progress.end() && found->second.m_confirmed
             ? std::max(never, found->second.m_confirmedAt)
             : never;
  });
}

int64_t Raft::QuorumAgeMs() const
{
  const TimePoint confirmed = QuorumConfirmedAt(m_now, false);
  if (!CommittedEntryInCurrentTerm() || confirmed == TimePoint::min()) {
    return -1;
  }
  // Rounded up, so that a follower does not report too small an age.
  return ToMilliseconds(m_now - confirmed) + 1;
}

bool Raft::HasLease(TimePoint aNow) const
{
  if (m_role != Role::Leader) {
    return false;
  }
  const TimePoint confirmed = QuorumConfirmedAt(aNow, false);
  return confirmed != TimePoint::min() && aNow - confirmed < m_settings.m_lease;
}

Result<int64_t> Raft::ReadIndex(TimePoint aNow) const
{
  const Status leading = CheckLeader("read");
  if (!leading) {
    return leading.error();
  }
  if (!HasLease(aNow)) {
    return Error{
      ErrorCode::Unavailable, "read", "", "the leader holds no valid lease"
    };
  }
  if (!CommittedEntryInCurrentTerm()) {
    return Error{ ErrorCode::Unavailable,
                  "read",
                  "",
                  "the leader has not committed an entry of its term" };
  }
  return m_hardState.m_commit;
}

} // namespace wigeonfold::consensus
