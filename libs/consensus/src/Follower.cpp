// Followers and learners: entries from the leader.
#include "wigeonfold/consensus/Raft.h"

#include <utility>

namespace wigeonfold::consensus {
namespace {

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

// Tells a deposed leader or an old candidate the current term.
void Raft::RefuseOldTerm(const wire::RaftMessage& aMessage)
{
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::AppendReply, aMessage.fromMember);
  reply.rejectedIndex = aMessage.logIndex;
  Send(std::move(reply));
}

// False when the sender is not the leader of the newest known term.
bool Raft::AcceptLeader(const wire::RaftMessage& aMessage)
{
  if (aMessage.term < m_hard.m_term) {
    RefuseOldTerm(aMessage);
    return false;
  }
  if (aMessage.term == m_hard.m_term && m_role == Role::Leader) {
    return false;
  }
  if (aMessage.term > m_hard.m_term || m_role != Role::Follower ||
      m_leader != aMessage.fromMember) {
    BecomeFollower(aMessage.term, aMessage.fromMember);
  }
  m_leaderContactAt = m_now;
  m_isFresh = false;
  ResetElectionTimer();
  return true;
}

void Raft::HandleAppendRequest(wire::RaftMessage& aMessage)
{
  if (!WellFormed(aMessage) || !AcceptLeader(aMessage)) {
    return;
  }
  if (!MergeEntries(aMessage)) {
    Reject(aMessage);
    return;
  }
  CommitTo(std::min(aMessage.commitIndex, m_verified));
  if (aMessage.quorumAgeMs >= 0 && aMessage.commitIndex <= m_verified) {
    m_currentAt = m_now;
    m_currentAge = std::chrono::milliseconds(aMessage.quorumAgeMs);
  }
  Acknowledge(aMessage.round);
}

// Makes the log equal to the leader's up to the end of the message. False when
// the entry before the first one differs.
bool Raft::MergeEntries(wire::RaftMessage& aMessage)
{
  const int64_t base = m_log.Base().m_index;
  const LogPosition previous{ aMessage.logIndex, aMessage.logTerm };
  // What lies before the base is committed and so equal to the leader's.
  if (previous.m_index >= base && !m_log.Contains(previous)) {
    return false;
  }
  for (wire::LogEntry& entry : aMessage.entries) {
    if (entry.index <= base || m_log.Contains({ entry.index, entry.term })) {
      continue;
    }
    if (entry.index <= m_hard.m_commit) {
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

void Raft::Reject(const wire::RaftMessage& aMessage)
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

// Reports the synced part at once and the rest when it is synced, so that a
// slow disk does not delay the confirmation of the leader's lease.
void Raft::Acknowledge(int64_t aRound)
{
  m_acknowledged = std::min(m_verified, m_syncedIndex);
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::AppendReply, m_leader);
  reply.granted = true;
  reply.round = aRound;
  reply.logIndex = m_acknowledged;
  Send(std::move(reply));
}

} // namespace wigeonfold::consensus
