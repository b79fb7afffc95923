// Followers and learners: handling of the leader's appends.
#include "wigeonfold/consensus/Raft.h"

#include <utility>

namespace wigeonfold::consensus {
namespace {

// Whether the entries follow logIndex without a gap and their terms don't
// decrease or exceed the message's term.
bool WellFormed(const wire::RaftMessage& aMessage)
{
  int64_t index = aMessage.logIndex;
  int64_t term = aMessage.logTerm;
  for (const wire::LogEntry& entry : aMessage.entries) {
    if (entry.index != ++index || entry.term < term ||
        entry.term > aMessage.term) {
      return false;
    }
    term = entry.term;
  }
  return aMessage.logIndex >= 0;
}

} // namespace

// Tells a deposed leader the current term.
void Raft::RefuseOldTerm(const wire::RaftMessage& aMessage)
{
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::AppendReply, aMessage.fromMember);
  reply.rejectedIndex = aMessage.logIndex;
  reply.__set_stamp(Stamp());
  Send(std::move(reply));
}

// Follows the sender as leader. False when its term is outdated or when this
// member leads the same term.
bool Raft::AcceptLeader(const wire::RaftMessage& aMessage)
{
  if (aMessage.term < m_hardState.m_term) {
    RefuseOldTerm(aMessage);
    return false;
  }
  if (aMessage.term == m_hardState.m_term && m_role == Role::Leader) {
    return false;
  }
  if (aMessage.term > m_hardState.m_term || m_role != Role::Follower ||
      m_leader != aMessage.fromMember) {
    BecomeFollower(aMessage.term, aMessage.fromMember);
  }
  m_leaderContactAt = m_now;
  m_noLeaderSinceStart = false;
  ResetElectionTimer();
  return true;
}

void Raft::HandleAppendRequest(wire::RaftMessage& aMessage)
{
  if (!WellFormed(aMessage) || !AcceptLeader(aMessage)) {
    return;
  }
  if (!MergeEntries(aMessage)) {
    RejectAppend(aMessage);
    return;
  }
  CommitTo(std::min(aMessage.commitIndex, m_verified));
  const int64_t surviving = aMessage.__isset.survivingIndex
                              ? aMessage.survivingIndex
                              : aMessage.commitIndex;
  m_survivingIndex =
    std::max(m_survivingIndex,
             std::min({ surviving, m_verified, m_hardState.m_commit }));
  if (aMessage.quorumAgeMs >= 0 && aMessage.commitIndex <= m_verified) {
    m_freshnessAt = m_now;
    m_freshnessAge = std::chrono::milliseconds(aMessage.quorumAgeMs);
    NoteProof(aMessage);
  }
  AcknowledgeAppend(aMessage.round);
}

// The stamp is this member's time of a reply that the leader had received when
// it sent the message, so the leader's quorum was confirmed at the stamp less
// the age, or later. A stamp of an earlier run of this process is out of range.
void Raft::NoteProof(const wire::RaftMessage& aMessage)
{
  if (!aMessage.__isset.stamp) {
    return;
  }
  const TimePoint repliedAt{ std::chrono::microseconds(aMessage.stamp -
                                                       m_stampOffset) };
  if (repliedAt < m_startedAt || repliedAt > m_now) {
    return;
  }
  const Duration age = std::chrono::milliseconds(aMessage.quorumAgeMs);
  m_currentAsOf = std::max(m_currentAsOf, std::optional(repliedAt - age));
}

int64_t Raft::Stamp() const
{
  return m_stampOffset + ToMicroseconds(m_now.time_since_epoch());
}

// Makes the log equal to the leader's up to the last entry of the message.
// False when the entry before the first one differs, or a committed entry would
// be replaced.
bool Raft::MergeEntries(wire::RaftMessage& aMessage)
{
  const int64_t base = m_log.Base().m_index;
  const LogPosition previous{ aMessage.logIndex, aMessage.logTerm };
  // Entries before the base are committed and thus equal to the leader's.
  if (previous.m_index >= base && !m_log.Contains(previous)) {
    return false;
  }
  for (wire::LogEntry& entry : aMessage.entries) {
    if (entry.index <= base || m_log.Contains({ entry.index, entry.term })) {
      continue;
    }
    if (entry.index <= m_hardState.m_commit) {
      return false;
    }
    if (entry.index <= m_log.Last().m_index) {
      TruncateLog(entry.index);
    }
    AppendToLog(std::move(entry));
  }
  m_verified =
    std::max(m_verified,
             previous.m_index + static_cast<int64_t>(aMessage.entries.size()));
  return true;
}

void Raft::RejectAppend(const wire::RaftMessage& aMessage)
{
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::AppendReply, aMessage.fromMember);
  const LogPosition hint =
    m_log.FindConflictByTerm({ aMessage.logIndex, aMessage.logTerm });
  reply.round = aMessage.round;
  reply.rejectedIndex = aMessage.logIndex;
  reply.logIndex = hint.m_index;
  reply.logTerm = hint.m_term;
  Send(std::move(reply));
}

// Acknowledges the synced part immediately and the rest once it is synced, so
// that a slow disk does not delay the confirmation of the leader's lease.
void Raft::AcknowledgeAppend(int64_t aRound)
{
  m_acknowledged = std::min(m_verified, m_syncedIndex);
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::AppendReply, m_leader);
  reply.granted = true;
  reply.round = aRound;
  reply.logIndex = m_acknowledged;
  reply.__set_stamp(Stamp());
  Send(std::move(reply));
}

} // namespace wigeonfold::consensus
