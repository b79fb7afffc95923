// Terms, elections, pre-votes and votes.
#include "Quorum.h"

#include "wigeonfold/consensus/Raft.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

namespace wigeonfold::consensus {

void Raft::ResetElectionTimer()
{
  std::uniform_int_distribution<Duration::rep> timeout(
    m_settings.m_electionMin.count(), m_settings.m_electionMax.count());
  m_electionDeadline = m_now + Duration(timeout(m_random));
}

// Random, so that voters that start at the same time campaign one after the
// other. Short, since a campaign is repeated when some voters did not listen
// yet.
void Raft::ResetEarlyTimer()
{
  std::uniform_int_distribution<Duration::rep> pause(
    m_settings.m_heartbeat.count() / 2, m_settings.m_heartbeat.count() * 3 / 2);
  m_earlyDeadline = m_now + Duration(pause(m_random));
}

void Raft::SetTerm(int64_t aTerm)
{
  m_hardState.m_term = aTerm;
  m_hardState.m_vote = 0;
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
    const Duration age = FreshnessAge(m_now);
    if (age != Duration::max()) {
      m_freshnessAt = m_now;
      m_freshnessAge = age;
    }
    m_currentAsOf = std::max(m_currentAsOf, CurrentAsOf(m_now));
    m_progress.clear();
    m_rounds.clear();
    ResetElectionTimer();
  }
  if (aTerm > m_hardState.m_term) {
    SetTerm(aTerm);
  }
  m_votes.clear();
  m_verified = 0;
  m_acknowledged = 0;
  m_incomingSnapshot.reset();
  SetRole(Role::Follower);
  SetLeader(aLeader);
}

// ---- Campaign --------------------------------------------------------------

// A voter whose own removal or demotion is not committed may be the only one
// whose log holds that entry. If it did not campaign, no other member could win
// an election.
bool Raft::MayCampaign() const
{
  return IsVoter(CurrentMembership(), m_self) ||
         IsVoter(PreviousMembership(), m_self);
}

// Asks whether an election could be won before the term is raised, so that a
// member that returns from a partition does not depose a working leader.
//
// A restarted member may have confirmed a lease before its start, so it grants
// no vote for an election timeout. When all voters have restarted, such as
// after a power loss, that wait is needless. A member that has seen no leader
// since its start therefore campaigns early (aEarly) and then needs the
// pre-votes of all voters: a leader would be one of them and refuse.
void Raft::StartPreVote(bool aEarly)
{
  m_campaignsEarly = aEarly;
  SetRole(Role::PreCandidate);
  m_votes = { m_self };
  RequestVotes(wire::RaftMessageKind::PreVoteRequest, m_hardState.m_term + 1);
  CountVotes();
}

void Raft::StartElection()
{
  SetTerm(m_hardState.m_term + 1);
  m_hardState.m_vote = m_self;
  SetRole(Role::Candidate);
  m_votes.clear();
  ResetElectionTimer();
  RequestVotes(wire::RaftMessageKind::VoteRequest, m_hardState.m_term);
}

void Raft::RequestVotes(wire::RaftMessageKind::type aKind, int64_t aTerm)
{
  std::set<MemberId> voters;
  for (const auto* membership :
       { &CurrentMembership(), &PreviousMembership() }) {
    for (const wire::Member& member : membership->members) {
      if (member.voter && member.memberId != m_self) {
        voters.insert(member.memberId);
      }
    }
  }
  for (const MemberId voter : voters) {
    wire::RaftMessage message = MakeMessage(aKind, voter);
    message.term = aTerm;
    message.early = m_campaignsEarly;
    message.logIndex = m_log.Last().m_index;
    message.logTerm = m_log.Last().m_term;
    Send(std::move(message));
  }
}

bool Raft::HasEnoughVotes() const
{
  const bool needsAll = m_role == Role::PreCandidate && m_campaignsEarly;
  if (needsAll) {
    const auto& members = CurrentMembership().members;
    return std::all_of(
      members.begin(), members.end(), [this](const wire::Member& aMember) {
        return !aMember.voter || m_votes.count(aMember.memberId) > 0;
      });
  }
  const auto hasQuorum = [this](const wire::Membership& aMembership) {
    return ValueOfQuorum(
      aMembership, m_outlook.m_lost, false, [this](MemberId aId) {
        return m_votes.count(aId) > 0;
      });
  };
  return hasQuorum(CurrentMembership()) && hasQuorum(PreviousMembership());
}

void Raft::CountVotes()
{
  // This member's own vote counts only once it is synced, like any other.
  if (m_role == Role::Candidate && HardStatePersisted()) {
    m_votes.insert(m_self);
  }
  if (!HasEnoughVotes()) {
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
  m_noLeaderSinceStart = false;
  m_progress.clear();
  m_rounds.clear();
  UpdateProgressSet();
  m_termStartIndex = m_log.Last().m_index + 1;
  m_survivalAwaited = 0;
  // Entries of earlier terms are committed only by an entry of the current
  // term. The first membership is not replicated: a member may have taken over
  // another one from a creator that lost its disk, at the same position.
  if (m_memberships.back().m_index == 1) {
    AppendAsLeader(wire::LogEntryKind::Membership,
                   wire::Encode(CurrentMembership()));
  } else {
    AppendAsLeader(wire::LogEntryKind::Noop, "");
  }
  SendHeartbeats();
}

// ---- Votes -----------------------------------------------------------------

// While true, this member grants no vote, since a leader may hold a lease that
// this member has confirmed.
bool Raft::HeardFromLeader() const
{
  const TimePoint contact =
    m_role == Role::Leader ? QuorumConfirmedAt(m_now, true) : m_leaderContactAt;
  return m_now - contact < m_settings.m_electionMin;
}

// Whether the request is refused regardless of the candidate's log. Requests of
// an early campaign are exempt while this member has seen no leader since its
// start.
bool Raft::RefusesVotes(const wire::RaftMessage& aMessage) const
{
  return HeardFromLeader() && !(aMessage.early && m_noLeaderSinceStart);
}

// Whether the candidate's log is at least as up to date as this member's.
bool Raft::UpToDate(const wire::RaftMessage& aMessage) const
{
  const LogPosition last = m_log.Last();
  return std::pair(aMessage.logTerm, aMessage.logIndex) >=
         std::pair(last.m_term, last.m_index);
}

void Raft::HandlePreVoteRequest(const wire::RaftMessage& aMessage)
{
  if (!MayVote()) {
    return;
  }
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::PreVoteReply, aMessage.fromMember);
  reply.granted = aMessage.term > m_hardState.m_term &&
                  !RefusesVotes(aMessage) && UpToDate(aMessage);
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
    if (aMessage.term > m_hardState.m_term) {
      BecomeFollower(aMessage.term, 0);
    }
    return;
  }
  if (m_role == Role::PreCandidate && aMessage.term == m_hardState.m_term + 1) {
    m_votes.insert(aMessage.fromMember);
    CountVotes();
  }
}

void Raft::HandleVoteRequest(const wire::RaftMessage& aMessage)
{
  if (!MayVote() || RefusesVotes(aMessage)) {
    return;
  }
  if (aMessage.term > m_hardState.m_term) {
    BecomeFollower(aMessage.term, 0);
  }
  wire::RaftMessage reply =
    MakeMessage(wire::RaftMessageKind::VoteReply, aMessage.fromMember);
  const bool mayVote =
    aMessage.term == m_hardState.m_term &&
    (m_hardState.m_vote == 0 || m_hardState.m_vote == aMessage.fromMember);
  reply.granted = mayVote && UpToDate(aMessage);
  if (reply.granted) {
    m_hardState.m_vote = aMessage.fromMember;
    ResetElectionTimer();
  }
  Send(std::move(reply));
}

void Raft::HandleVoteReply(const wire::RaftMessage& aMessage)
{
  if (aMessage.term > m_hardState.m_term) {
    BecomeFollower(aMessage.term, 0);
    return;
  }
  if (m_role == Role::Candidate && aMessage.term == m_hardState.m_term &&
      aMessage.granted) {
    m_votes.insert(aMessage.fromMember);
    CountVotes();
  }
}

} // namespace wigeonfold::consensus
