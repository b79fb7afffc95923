// Events, persistence and applying of entries. Election.cpp, Leader.cpp,
// Follower.cpp and SnapshotTransfer.cpp hold the protocol rules of each role.
#include "wigeonfold/consensus/Raft.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

namespace wigeonfold::consensus {

namespace {

// XORed into the seed, so that the offset has no effect on the random numbers
// of elections.
constexpr uint64_t kStampSeed = 0xa0761d6478bd642f;
// A stamp remains positive for 146,000 years.
constexpr uint64_t kStampOffsetMask = (uint64_t{ 1 } << 62) - 1;

// Differs between runs of a process, so that the stamps of one run are out of
// range in another one.
int64_t StampOffset(uint64_t aSeed)
{
  return static_cast<int64_t>(std::mt19937_64(aSeed ^ kStampSeed)() &
                              kStampOffsetMask);
}

} // namespace

const char* ToString(Role aRole)
{
  switch (aRole) {
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
      return "pre-candidate";
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      return "leader";
  }
  return "follower";
}

// ---- Start -----------------------------------------------------------------

Raft::Raft(RaftSettings aSettings,
           RaftInitialState aInitial,
           uint64_t aSeed,
           TimePoint aNow)
  : m_settings(aSettings)
  , m_self(aInitial.m_self)
  , m_random(aSeed)
  , m_startedAt(aNow)
  , m_stampOffset(StampOffset(aSeed))
  , m_now(aNow)
  , m_hardState(aInitial.m_hardState)
  , m_log(aInitial.m_base, std::move(aInitial.m_entries))
  , m_snapshot(std::move(aInitial.m_snapshot))
  , m_submittedHardState(m_hardState)
  , m_syncedHardState(m_hardState)
  // A restarted member does not know whether it has just confirmed a leader's
  // lease, so it grants no vote until an election timeout has passed.
  , m_leaderContactAt(aNow)
{
  if (m_snapshot && !m_log.Contains(m_snapshot->m_position)) {
    m_log.Reset(m_snapshot->m_position);
  }
  // A snapshot of a newer term may have been synced before the hard state.
  if (m_log.Last().m_term > m_hardState.m_term) {
    SetTerm(m_log.Last().m_term);
  }
  m_hardState.m_commit = std::max(m_hardState.m_commit, SnapshotIndex());
  m_hardState.m_commit = std::min(m_hardState.m_commit, m_log.Last().m_index);
  m_syncedIndex = m_log.Last().m_index;
  m_unsavedFrom = m_syncedIndex + 1;
  LoadMemberships(m_snapshot);
  if (m_restore) {
    m_applied = m_restore->m_position.m_index;
    m_restoreReady = true;
  }
  ResetElectionTimer();
  ResetEarlyTimer();
}

Status Raft::Bootstrap(TimePoint aNow, const wire::Membership& aMembership)
{
  AdvanceClock(aNow);
  if (m_log.Last().m_index != 0 || m_hardState.m_term != 0) {
    return Error{
      ErrorCode::Conflict, "bootstrap", "", "the data folder is not empty"
    };
  }
  if (!IsVoter(aMembership, m_self)) {
    return Error{
      ErrorCode::InvalidArgument, "bootstrap", "", "this member must be a voter"
    };
  }
  SetTerm(1);
  wire::LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = wire::LogEntryKind::Membership;
  entry.payload = wire::Encode(aMembership);
  AppendToLog(std::move(entry));
  return Ok();
}

// ---- Events ----------------------------------------------------------------

void Raft::Tick(TimePoint aNow)
{
  AdvanceClock(aNow);
  if (m_role == Role::Leader) {
    if (m_now - QuorumConfirmedAt(m_now, true) > m_settings.m_electionMin) {
      AddEvent(EventId::QuorumLost, {});
      BecomeFollower(m_hardState.m_term, 0);
    } else if (m_now >= m_heartbeatDue) {
      SendHeartbeats();
    }
    return;
  }
  const bool isDue = m_now >= m_electionDeadline;
  const bool isEarly =
    !isDue && m_noLeaderSinceStart && m_now >= m_earlyDeadline;
  if (!isDue && !isEarly) {
    return;
  }
  if (isDue) {
    ResetElectionTimer();
    SetLeader(0);
  }
  ResetEarlyTimer();
  if (MayCampaign()) {
    StartPreVote(isEarly);
  }
}

void Raft::Receive(TimePoint aNow, wire::RaftMessage aMessage)
{
  AdvanceClock(aNow);
  const bool isValid = aMessage.toMember == m_self && aMessage.term > 0 &&
                       aMessage.fromMember > 0 && aMessage.fromMember != m_self;
  if (isValid) {
    Dispatch(aMessage);
  }
}

void Raft::Dispatch(wire::RaftMessage& aMessage)
{
  switch (aMessage.kind) {
    case wire::RaftMessageKind::PreVoteRequest:
      HandlePreVoteRequest(aMessage);
      break;
    case wire::RaftMessageKind::PreVoteReply:
      HandlePreVoteReply(aMessage);
      break;
    case wire::RaftMessageKind::VoteRequest:
      HandleVoteRequest(aMessage);
      break;
    case wire::RaftMessageKind::VoteReply:
      HandleVoteReply(aMessage);
      break;
    case wire::RaftMessageKind::AppendRequest:
      HandleAppendRequest(aMessage);
      break;
    case wire::RaftMessageKind::AppendReply:
      HandleAppendReply(aMessage);
      break;
    case wire::RaftMessageKind::SnapshotChunk:
      HandleSnapshotChunk(aMessage);
      break;
    case wire::RaftMessageKind::SnapshotReply:
      HandleSnapshotReply(aMessage);
      break;
  }
}

void Raft::OnPersisted(TimePoint aNow, uint64_t aSequence)
{
  AdvanceClock(aNow);
  while (!m_pending.empty() && m_pending.front().m_sequence <= aSequence) {
    const PendingBatch batch = std::move(m_pending.front());
    m_pending.pop_front();
    OnBatchSynced(batch);
  }
  ReleaseHeldMessages(aSequence);
  if (m_role == Role::Leader) {
    AdvanceCommit();
  } else if (m_role == Role::Candidate) {
    CountVotes();
  } else if (std::min(m_verified, m_syncedIndex) > m_acknowledged) {
    AcknowledgeAppend(0);
  }
}

void Raft::OnBatchSynced(const PendingBatch& aBatch)
{
  m_syncedHardState.m_term = aBatch.m_term;
  m_syncedHardState.m_vote = aBatch.m_vote;
  m_syncedIndex = aBatch.m_lastIndex;
  if (!aBatch.m_snapshot) {
    return;
  }
  m_snapshot = aBatch.m_snapshot;
  if (m_restore && m_restore->m_position == m_snapshot->m_position) {
    m_restoreReady = true;
  }
  CompactLog();
  SendAwaitedSnapshots();
}

void Raft::CompactLog()
{
  if (SnapshotIndex() <= m_log.Base().m_index) {
    return;
  }
  const int64_t limit =
    std::max(SnapshotIndex() - m_settings.m_retainedEntries,
             m_log.IndexBefore(SnapshotIndex(), m_settings.m_retainedBytes));
  if (limit <= m_log.Base().m_index) {
    return;
  }
  m_log.CompactTo(limit);
  m_compactTo = limit;
  // Keeps the membership that is in effect at the limit.
  while (m_memberships.size() > 1 && m_memberships[1].m_index <= limit) {
    m_memberships.erase(m_memberships.begin());
  }
}

void Raft::OnSnapshotTaken(TimePoint aNow, int64_t aIndex, std::string aState)
{
  AdvanceClock(aNow);
  if (aIndex == 0 || aIndex != m_snapshotRequested) {
    return;
  }
  m_snapshotRequested = 0;
  const auto term = m_log.TermAt(aIndex);
  if (!term || aIndex <= SnapshotIndex() || m_unsavedSnapshot) {
    return;
  }
  const auto after =
    std::find_if(m_memberships.begin(),
                 m_memberships.end(),
                 [aIndex](const IndexedMembership& aMembership) {
                   return aMembership.m_index > aIndex;
                 });
  if (after == m_memberships.begin()) {
    return;
  }
  const IndexedMembership& inEffect = *std::prev(after);
  wire::SnapshotContent content;
  content.membership = inEffect.m_membership;
  content.membershipIndex = inEffect.m_index;
  content.state = std::move(aState);
  m_unsavedSnapshot =
    RaftSnapshot{ { aIndex, *term },
                  std::make_shared<const std::string>(wire::Encode(content)) };
  m_appliedBytes = 0;
}

// ---- Actions ---------------------------------------------------------------

RaftActions Raft::TakeActions()
{
  RaftActions actions;
  CollectPersist(actions);
  actions.m_compactTo = std::exchange(m_compactTo, 0);
  CollectApply(actions);
  RequestSnapshot(actions);
  actions.m_send.swap(m_outbox);
  actions.m_events.swap(m_events);
  return actions;
}

void Raft::CollectPersist(RaftActions& aActions)
{
  // Until a member knows that a membership is committed, it needs a quorum of
  // the one before as well, whose voters may be gone for good.
  const bool membershipCommitted =
    MembershipCommitted() && !m_memberships.empty() &&
    m_memberships.back().m_index > m_submittedHardState.m_commit;
  const bool hardStateChanged =
    m_hardState.m_term != m_submittedHardState.m_term ||
    m_hardState.m_vote != m_submittedHardState.m_vote || membershipCommitted;
  const int64_t last = m_log.Last().m_index;
  if (!hardStateChanged && !m_unsavedSnapshot && m_truncateFrom == 0 &&
      m_unsavedFrom > last) {
    return;
  }
  aActions.m_sequence = m_nextSequence++;
  // A new commit index alone causes no write unless it commits a membership; it
  // is stored along with the next other change.
  if (m_hardState != m_submittedHardState) {
    aActions.m_hardState = m_hardState;
    m_submittedHardState = m_hardState;
  }
  aActions.m_saveSnapshot = std::exchange(m_unsavedSnapshot, std::nullopt);
  aActions.m_truncateFrom = std::exchange(m_truncateFrom, 0);
  for (; m_unsavedFrom <= last; ++m_unsavedFrom) {
    aActions.m_append.push_back(m_log.At(m_unsavedFrom));
  }
  m_pending.push_back({ aActions.m_sequence,
                        last,
                        m_hardState.m_term,
                        m_hardState.m_vote,
                        aActions.m_saveSnapshot });
}

// An entry is applied once it is committed and synced on this member.
void Raft::CollectApply(RaftActions& aActions)
{
  if (m_restore) {
    if (!m_restoreReady) {
      return;
    }
    aActions.m_restore = std::exchange(m_restore, std::nullopt);
    m_restoreReady = false;
  }
  const int64_t limit = std::min(m_hardState.m_commit, m_syncedIndex);
  while (m_applied < limit) {
    ++m_applied;
    aActions.m_apply.push_back(m_log.At(m_applied));
    m_appliedBytes += aActions.m_apply.back().payload.size();
  }
  if (m_applied >= m_hardState.m_commit) {
    m_unappliedSince.reset();
  }
}

void Raft::RequestSnapshot(RaftActions& aActions)
{
  const bool due =
    m_applied - SnapshotIndex() >= m_settings.m_snapshotEntries ||
    m_appliedBytes >= m_settings.m_snapshotBytes || m_snapshotWanted;
  const bool inProgress =
    m_snapshotRequested != 0 || m_unsavedSnapshot || m_restore ||
    std::any_of(
      m_pending.begin(), m_pending.end(), [](const PendingBatch& aBatch) {
        return aBatch.m_snapshot.has_value();
      });
  if (due && !inProgress && m_applied > SnapshotIndex()) {
    m_snapshotRequested = m_applied;
    m_snapshotWanted = false;
    aActions.m_takeSnapshot = m_applied;
  }
}

// ---- Messages --------------------------------------------------------------

wire::RaftMessage Raft::MakeMessage(wire::RaftMessageKind::type aKind,
                                    MemberId aTo) const
{
  wire::RaftMessage message;
  message.kind = aKind;
  message.fromMember = m_self;
  message.toMember = aTo;
  message.term = m_hardState.m_term;
  return message;
}

bool Raft::HardStatePersisted() const
{
  return m_hardState.m_term == m_syncedHardState.m_term &&
         m_hardState.m_vote == m_syncedHardState.m_vote;
}

// Holds the message back while the current term or vote is not synced. The
// caller limits log positions in replies to the synced part.
void Raft::Send(wire::RaftMessage aMessage)
{
  if (HardStatePersisted()) {
    m_outbox.push_back(std::move(aMessage));
    return;
  }
  const bool submitted = m_hardState.m_term == m_submittedHardState.m_term &&
                         m_hardState.m_vote == m_submittedHardState.m_vote;
  const uint64_t sequence = submitted ? m_nextSequence - 1 : m_nextSequence;
  m_heldMessages.push_back({ sequence, std::move(aMessage) });
}

void Raft::ReleaseHeldMessages(uint64_t aSequence)
{
  while (!m_heldMessages.empty() &&
         m_heldMessages.front().m_sequence <= aSequence) {
    m_outbox.push_back(std::move(m_heldMessages.front().m_message));
    m_heldMessages.pop_front();
  }
}

void Raft::AddEvent(EventId aId, std::vector<EventField> aFields)
{
  aFields.push_back({ "term", std::to_string(m_hardState.m_term) });
  m_events.push_back({ aId, std::move(aFields) });
}

// ---- Log -------------------------------------------------------------------

void Raft::AppendToLog(wire::LogEntry aEntry)
{
  if (aEntry.kind == wire::LogEntryKind::Membership) {
    auto membership =
      wire::Decode<wire::Membership>(aEntry.payload, "replicated log");
    if (membership) {
      m_memberships.push_back({ aEntry.index, std::move(membership.value()) });
    }
  }
  m_log.Append(std::move(aEntry));
}

// Precondition: aIndex is not committed.
void Raft::TruncateLog(int64_t aIndex)
{
  AddEvent(EventId::LogTruncated, { { "from", std::to_string(aIndex) } });
  m_log.TruncateFrom(aIndex);
  while (!m_memberships.empty() && m_memberships.back().m_index >= aIndex) {
    m_memberships.pop_back();
  }
  if (aIndex < m_unsavedFrom) {
    m_truncateFrom =
      m_truncateFrom == 0 ? aIndex : std::min(m_truncateFrom, aIndex);
    m_unsavedFrom = aIndex;
  }
  m_syncedIndex = std::min(m_syncedIndex, aIndex - 1);
  for (PendingBatch& batch : m_pending) {
    batch.m_lastIndex = std::min(batch.m_lastIndex, aIndex - 1);
  }
}

void Raft::CommitTo(int64_t aIndex)
{
  const int64_t index = std::min(aIndex, m_log.Last().m_index);
  if (index <= m_hardState.m_commit) {
    return;
  }
  const bool wasCommitted = MembershipCommitted();
  m_hardState.m_commit = index;
  MarkUnapplied();
  if (!wasCommitted && MembershipCommitted()) {
    AddEvent(EventId::MembershipChanged,
             { { "index", std::to_string(m_memberships.back().m_index) },
               { "voters", std::to_string(VoterCount(CurrentMembership())) } });
  }
}

void Raft::MarkUnapplied()
{
  if (!m_unappliedSince) {
    m_unappliedSince = m_now;
  }
}

// ---- Queries ---------------------------------------------------------------

int64_t Raft::SnapshotIndex() const
{
  return m_snapshot ? m_snapshot->m_position.m_index : 0;
}

// A member that knows of its own removal still votes: a candidate that doesn't
// know whether the removal is committed needs a quorum of the membership before
// it. Candidates count the votes of their own voters only.
bool Raft::MayVote() const
{
  return !m_memberships.empty();
}

const wire::Membership& Raft::PreviousMembership() const
{
  const size_t count = m_memberships.size();
  return MembershipCommitted() || count < 2
           ? CurrentMembership()
           : m_memberships[count - 2].m_membership;
}

const wire::Membership& Raft::CurrentMembership() const
{
  static const wire::Membership none;
  return m_memberships.empty() ? none : m_memberships.back().m_membership;
}

const wire::Membership* Raft::FirstMembership() const
{
  const bool isFirst =
    !m_memberships.empty() && m_memberships.front().m_index == 1;
  return isFirst ? &m_memberships.front().m_membership : nullptr;
}

bool Raft::MembershipCommitted() const
{
  return m_memberships.empty() ||
         m_memberships.back().m_index <= m_hardState.m_commit;
}

std::optional<wire::Member> Raft::Leader() const
{
  const wire::Member* member = FindMember(CurrentMembership(), m_leader);
  return member == nullptr ? std::nullopt : std::make_optional(*member);
}

// Until an entry of its term is committed, a leader does not know whether the
// last entries of its log were committed, so its own contact with a quorum does
// not count. Committed entries that are not applied yet are missing from the
// state machine.
Duration Raft::FreshnessAge(TimePoint aNow) const
{
  Duration age = Duration::max();
  if (CommittedEntryInCurrentTerm()) {
    const TimePoint confirmed = QuorumConfirmedAt(aNow, false);
    if (confirmed != TimePoint::min()) {
      age = aNow - confirmed;
    }
  } else if (m_freshnessAge != Duration::max()) {
    age = aNow - m_freshnessAt + m_freshnessAge;
  }
  return m_unappliedSince ? std::max(age, aNow - *m_unappliedSince) : age;
}

std::optional<TimePoint> Raft::CurrentAsOf(TimePoint aNow) const
{
  if (m_unappliedSince || m_applied < m_hardState.m_commit) {
    return std::nullopt;
  }
  if (!CommittedEntryInCurrentTerm()) {
    return m_currentAsOf;
  }
  const TimePoint confirmed = QuorumConfirmedAt(aNow, false);
  return confirmed == TimePoint::min()
           ? m_currentAsOf
           : std::max(m_currentAsOf, std::optional(confirmed));
}

TimePoint Raft::NextDeadline() const
{
  if (m_role == Role::Leader) {
    return m_heartbeatDue;
  }
  return m_noLeaderSinceStart ? std::min(m_electionDeadline, m_earlyDeadline)
                              : m_electionDeadline;
}

} // namespace wigeonfold::consensus
