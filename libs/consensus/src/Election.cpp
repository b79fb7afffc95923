// Terms, pre-votes and votes.
#include "wigeonfold/consensus/Raft.h"

#include <utility>

namespace wigeonfold::consensus {

void Raft::ResetElectionTimer()
{
  std::uniform_int_distribution<Duration::rep> timeout(
    m_settings.m_electionMin.count(), m_settings.m_electionMax.count());
  m_electionDeadline = m_now + Duration(timeout(m_random));
}

void Raft::SetTerm(int64_t aTerm)
{
  m_hard.m_term = aTerm;
  m_hard.m_vote = 0;
}

void Raft::SetRole(Role aRole)
{
  if (m_role != aRole) {
    m_role = aRole;
    AddEvent(EventId::RoleChanged, { { "role", ToString(aRole) } });
  }
}

void Raft::SetLeader(MemberId aLeader)
{
  if (m_leader != aLeader) {
    m_leader = aLeader;
    AddEvent(EventId::LeaderChanged, { { "leader", std::to_string(aLeader) } });
  }
}

void Raft::BecomeFollower(int64_t aTerm, MemberId aLeader)
{
  if (m_role == Role::Leader) {
    const TimePoint confirmed = QuorumConfirmedAt(m_now, false);
    if (confirmed != TimePoint::min()) {
      m_currentAt = confirmed;
      m_currentAge = Duration::zero();
    }
    m_progress.clear();
    m_rounds.clear();
    ResetElectionTimer();
  }
  if (aTerm > m_hard.m_term) {
    SetTerm(aTerm);
  }
  m_votes.clear();
  m_verified = 0;
  m_acknowledged = 0;
  m_incoming.reset();
  SetRole(Role::Follower);
  SetLeader(aLeader);
}

// ---- Campaign --------------------------------------------------------------

// A voter whose removal or demotion is not committed may be the only one with
// that entry; if it did not campaign, no one could be elected.
bool Raft::MayCampaign() const
{
  return IsVoter(CurrentMembership(), m_self) ||
         IsVoter(PreviousMembership(), m_self);
}

// Asks whether an election could be won before it raises the term, so that a
// member that returns from a partition deposes no working leader.
void Raft::StartPreVote()
{
  SetRole(Role::PreCandidate);
  m_votes = { m_self };
  RequestVotes(wire::RaftMessageKind::PreVoteRequest, m_hard.m_term + 1);
  CountVotes();
}

void Raft::StartElection()
{
  SetTerm(m_hard.m_term + 1);
  m_hard.m_vote = m_self;
  SetRole(Role::Candidate);
  m_votes.clear();
  ResetElectionTimer();
  RequestVotes(wire::RaftMessageKind::VoteRequest, m_hard.m_term);
}

void Raft::RequestVotes(wire::RaftMessageKind::type aKind, int64_t aTerm)
{
  for (const wire::Member& member : CurrentMembership().members) {
    if (!member.voter || member.memberId == m_self) {
      continue;
    }
    wire::RaftMessage message = MakeMessage(aKind, member.memberId);
    message.term = aTerm;
    message.logIndex = m_log.Last().m_index;
    message.logTerm = m_log.Last().m_term;
    Send(std::move(message));
  }
}

void Raft::CountVotes()
{
  // The own vote counts like any other only when it is synced.
  if (m_role == Role::Candidate && HardStatePersisted()) {
    m_votes.insert(m_self);
  }
  const auto& membership = CurrentMembership();
  const auto granted =
    std::count_if(m_votes.begin(), m_votes.end(), [&](MemberId aId) {
      return IsVoter(membership, aId);
    });
  if (static_cast<size_t>(granted) < QuorumSize(membership)) {
    return;
  }
  if (m_role == Role::PreCandidate) {
    StartElection();
  } else if (m_role == Role::Candidate) {
    BecomeLeader();
  }
}

void Raft::BecomeLeader()
{
  SetRole(Role::Leader);
  SetLeader(m_self);
  m_leaderSince = m_now;
  m_progress.clear();
  m_rounds.clear();
  UpdateProgressSet();
  m_termStart = m_log.Last().m_index + 1;
  // Only an entry of the own term commits those of earlier terms.
  AppendOwn(wire::LogEntryKind::Noop, "");
  SendHeartbeats();
}

// ---- Votes -----------------------------------------------------------------

// While true, this member grants no vote: a leader may hold a lease that this
// member has confirmed.
bool Raft::HeardFromLeader() const
{
  const TimePoint contact =
    m_role == Role::Leader ? QuorumConfirmedAt(m_now, true) : m_leaderContactAt;
  return m_now - contact < m_settings.m_electionMin;
}

bool Raft::UpToDate(const wire::RaftMessage& aMessage) const
{
  const LogPosition last = m_log.Last();
  return std::pair(aMessage.logTerm, aMessage.logIndex) >=
         std::pair(last.m_term, last.m_index);
}

void Raft::HandlePreVoteRequest(const wire::RaftMessage& aMessage)
{
  if (!InMembership()) {
    return;
  }
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::PreVoteReply, aMessage.fromMember);
  reply.granted =
    aMessage.term > m_hard.m_term && !HeardFromLeader() && UpToDate(aMessage);
  if (reply.granted) {
    reply.term = aMessage.term;
  }
  if (reply.term > 0) {
    Send(std::move(reply));
  }
}

void Raft::HandlePreVoteReply(const wire::RaftMessage& aMessage)
{
  if (!aMessage.granted) {
    if (aMessage.term > m_hard.m_term) {
      BecomeFollower(aMessage.term, 0);
    }
    return;
  }
  if (m_role == Role::PreCandidate && aMessage.term == m_hard.m_term + 1) {
    m_votes.insert(aMessage.fromMember);
    CountVotes();
  }
}

void Raft::HandleVoteRequest(const wire::RaftMessage& aMessage)
{
  if (!InMembership() || HeardFromLeader()) {
    return;
  }
  if (aMessage.term > m_hard.m_term) {
    BecomeFollower(aMessage.term, 0);
  }
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::VoteReply, aMessage.fromMember);
  const bool mayVote =
    aMessage.term == m_hard.m_term &&
    (m_hard.m_vote == 0 || m_hard.m_vote == aMessage.fromMember);
  reply.granted = mayVote && UpToDate(aMessage);
  if (reply.granted) {
    m_hard.m_vote = aMessage.fromMember;
    ResetElectionTimer();
  }
  Send(std::move(reply));
}

void Raft::HandleVoteReply(const wire::RaftMessage& aMessage)
{
  if (aMessage.term > m_hard.m_term) {
    BecomeFollower(aMessage.term, 0);
    return;
  }
  if (m_role == Role::Candidate && aMessage.term == m_hard.m_term &&
      aMessage.granted) {
    m_votes.insert(aMessage.fromMember);
    CountVotes();
  }
}

} // namespace wigeonfold::consensus
