// The Raft state machine. Events and the time go in, actions come out; it owns
// no thread, socket, file or clock.
//
// Use: call an event function (Tick, Receive, Propose, OnPersisted, ...), then
// TakeActions and carry the actions out in the order of the struct. Whatever
// carries a sequence number goes to the storage; when all of it is synced, the
// storage's owner reports OnPersisted with that number. Batches must be
// persisted in order. Messages that depend on unsynced state are kept inside
// until it is reported, so all of m_send may be sent at once. After a storage
// error the machine must not be used any more.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Events.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/consensus/Log.h"
#include "wigeonfold/consensus/Membership.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::consensus {

// ---- Settings --------------------------------------------------------------

struct RaftSettings
{
  // A follower misses ten heartbeats before it campaigns, so one lost packet
  // or a short stall changes no leader.
  Duration m_heartbeat = std::chrono::milliseconds(100);
  // The range separates candidates by far more than a round trip and a sync.
  Duration m_electionMin = std::chrono::milliseconds(1000);
  Duration m_electionMax = std::chrono::milliseconds(2000);
  // Must be less than m_electionMin / (1 + clock rate error): members refuse
  // to vote for m_electionMin after a heartbeat, so a lease of 700 ms holds
  // for clocks that differ in rate by up to 40 %.
  Duration m_lease = std::chrono::milliseconds(700);
  // Entries of one append message; keeps heartbeats from queueing behind it
  // (256 KiB take about 2 ms at 1 Gbit/s).
  size_t m_maxMessageBytes = size_t{ 256 } << 10;
  // Unacknowledged appends per follower; with m_maxMessageBytes this bounds
  // the memory of a connection to 2 MiB.
  size_t m_maxInflight = 8;
  // Data bytes of one snapshot chunk.
  size_t m_chunkBytes = size_t{ 256 } << 10;
  // Time after which an unacknowledged snapshot chunk is sent again.
  Duration m_chunkRetry = std::chrono::milliseconds(500);
  // Proposals beyond this many uncommitted entries are refused (Exhausted).
  size_t m_maxUncommitted = 4096;
  // A snapshot is requested after this many applied entries or bytes.
  int64_t m_snapshotEntries = 10000;
  size_t m_snapshotBytes = size_t{ 8 } << 20;
  // Entries kept behind a snapshot so that a follower that missed a few
  // minutes is served from the log (10 min at 0.5 changes/s are 300 entries).
  int64_t m_retainedEntries = 1000;
};

// ---- State, actions and results --------------------------------------------

struct HardState
{
  int64_t m_term = 0;
  MemberId m_vote = 0; // 0 for none
  int64_t m_commit = 0;

  bool operator==(const HardState&) const = default;
};

// A snapshot as stored and sent: m_content is an encoded SnapshotContent.
struct RaftSnapshot
{
  LogPosition m_position;
  std::shared_ptr<const std::string> m_content;
};

// Durable state found at start.
struct RaftInitialState
{
  MemberId m_self = 0;
  HardState m_hardState;
  std::optional<RaftSnapshot> m_snapshot;
  LogPosition m_base; // position before the first entry
  std::vector<wire::LogEntry> m_entries;
};

// State machine content to restore before entries are applied.
struct RestoreAction
{
  LogPosition m_position;
  std::string m_state;
};

struct RaftEvent
{
  EventId m_id;
  std::vector<EventField> m_fields;
};

// What the shell must do, in the order of the members.
struct RaftActions
{
  // Number to report with OnPersisted once the parts up to m_append are
  // synced; 0 when there is nothing to persist.
  uint64_t m_sequence = 0;
  std::optional<RaftSnapshot> m_saveSnapshot;
  std::optional<HardState> m_hardState;
  int64_t m_truncateFrom = 0; // 0 for none
  std::vector<wire::LogEntry> m_append;
  // The stored log is not needed up to this index any more; 0 for none. It
  // does not have to be reported.
  int64_t m_compactTo = 0;
  std::vector<wire::RaftMessage> m_send;
  // Replaces the state machine's content; comes before m_apply.
  std::optional<RestoreAction> m_restore;
  // Committed entries in order, all kinds.
  std::vector<wire::LogEntry> m_apply;
  // After m_apply, encode the state machine and call OnSnapshotTaken with this
  // index; 0 for no request.
  int64_t m_takeSnapshot = 0;
  std::vector<RaftEvent> m_events;

  bool NeedsPersistence() const { return m_sequence != 0; }
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

const char* ToString(Role aRole);

// ---- Machine ---------------------------------------------------------------

// Not thread safe. Times passed in must not decrease.
class Raft
{
public:
  // aSeed feeds the random election timeouts. Decodes the snapshot's content;
  // the caller has verified its checksum, and undecodable content leaves the
  // member without membership, so that it never votes.
  Raft(RaftSettings aSettings,
       RaftInitialState aInitial,
       uint64_t aSeed,
       TimePoint aNow);

  // ---- Events ----

  // Call at NextDeadline() or more often.
  void Tick(TimePoint aNow);
  // A message from the member aMessage.fromMember; misaddressed and malformed
  // ones are dropped.
  void Receive(TimePoint aNow, wire::RaftMessage aMessage);
  // All batches up to the sequence number are synced.
  void OnPersisted(TimePoint aNow, uint64_t aSequence);
  // Answer to m_takeSnapshot. Late or outdated calls are ignored.
  void OnSnapshotTaken(TimePoint aNow, int64_t aIndex, std::string aState);

  // Starts a new group of which this member is the only voter. Fails with
  // Conflict unless the log is empty.
  Status Bootstrap(TimePoint aNow, const wire::Membership& aMembership);

  // Appends a command and returns its position. The command has succeeded when
  // an entry with this index and term is applied; when another term is applied
  // at the index, it has not. Fails with Unavailable and the known leader's
  // API address as peer when not leader, Exhausted at the bound.
  Result<LogPosition> Propose(TimePoint aNow, std::string aPayload);

  // Appends a membership change. Fails like Propose, and with Conflict while
  // another change is uncommitted, the leader has not committed an entry of
  // its own term, or the learner to promote has not caught up.
  Result<LogPosition> ProposeChange(TimePoint aNow,
                                    const MembershipChange& aChange);

  RaftActions TakeActions();

  // ---- Queries ----

  // Index that must be applied before a linearizable read is answered. Fails
  // with Unavailable without a valid lease.
  Result<int64_t> ReadIndex(TimePoint aNow) const;
  bool HasLease(TimePoint aNow) const;

  // Time since this member was last confirmed as current; Duration::max()
  // when it never was.
  Duration FreshnessAge(TimePoint aNow) const;

  TimePoint NextDeadline() const;
  Role GetRole() const { return m_role; }
  MemberId Self() const { return m_self; }
  int64_t Term() const { return m_hard.m_term; }
  int64_t CommitIndex() const { return m_hard.m_commit; }
  int64_t AppliedIndex() const { return m_applied; }
  LogPosition LastPosition() const { return m_log.Last(); }
  MemberId LeaderId() const { return m_leader; } // 0 when unknown
  // The leader as a member; nothing when unknown or not in the membership.
  std::optional<wire::Member> Leader() const;
  // The newest membership in the log, committed or not.
  const wire::Membership& CurrentMembership() const;
  bool MembershipCommitted() const;
  // Leader only: last synced index reported by the member.
  std::optional<int64_t> MatchIndex(MemberId aId) const;
  const Log& GetLog() const { return m_log; }

private:
  enum class ProgressState
  {
    Probe,     // searching the last common entry, one append at a time
    Replicate, // appends are pipelined
    Snapshot,  // a snapshot is being sent
  };

  // What the leader knows of another member.
  struct Progress
  {
    ProgressState m_state = ProgressState::Probe;
    int64_t m_match = 0;
    int64_t m_next = 1;
    bool m_probeSent = false;
    std::deque<int64_t> m_inflight; // last index of each append
    TimePoint m_confirmedAt;        // sending time of the last round answered
    bool m_confirmed = false;
    RaftSnapshot m_snapshot; // being sent
    size_t m_offset = 0;
    TimePoint m_chunkSentAt;
  };

  // A batch handed out by TakeActions and not yet reported.
  struct PendingBatch
  {
    uint64_t m_sequence = 0;
    int64_t m_lastIndex = 0;
    int64_t m_term = 0;
    MemberId m_vote = 0;
    std::optional<RaftSnapshot> m_snapshot;
  };

  struct HeldMessage
  {
    uint64_t m_sequence = 0;
    wire::RaftMessage m_message;
  };

  struct Round
  {
    int64_t m_number = 0;
    TimePoint m_sentAt;
  };

  // A snapshot being received.
  struct Incoming
  {
    MemberId m_from = 0;
    LogPosition m_position;
    std::string m_content;
  };

  // Raft.cpp: persistence, messages, commit and application.
  void Advance(TimePoint aNow) { m_now = std::max(m_now, aNow); }
  void Dispatch(wire::RaftMessage& aMessage);
  void Release(uint64_t aSequence);
  void OnBatchSynced(const PendingBatch& aBatch);
  void CompactLog();
  void Send(wire::RaftMessage aMessage);
  wire::RaftMessage MakeMessage(wire::RaftMessageKind::type aKind,
                                MemberId aTo) const;
  bool HardStatePersisted() const;
  void AppendToLog(wire::LogEntry aEntry);
  void TruncateLog(int64_t aIndex);
  void CommitTo(int64_t aIndex);
  void CollectApply(RaftActions& aActions);
  void CollectPersist(RaftActions& aActions);
  void RequestSnapshot(RaftActions& aActions);
  void AddEvent(EventId aId, std::vector<EventField> aFields);
  bool InMembership() const;
  const wire::Membership& PreviousMembership() const;
  int64_t SnapshotIndex() const;

  // Election.cpp
  void ResetElectionTimer();
  void SetRole(Role aRole);
  void SetLeader(MemberId aLeader);
  void SetTerm(int64_t aTerm);
  void BecomeFollower(int64_t aTerm, MemberId aLeader);
  bool MayCampaign() const;
  void ResetEarlyTimer();
  void StartPreVote(bool aEarly);
  void StartElection();
  void BecomeLeader();
  void RequestVotes(wire::RaftMessageKind::type aKind, int64_t aTerm);
  void CountVotes();
  bool HeardFromLeader() const;
  bool RefusesVotes(const wire::RaftMessage& aMessage) const;
  bool UpToDate(const wire::RaftMessage& aMessage) const;
  void HandlePreVoteRequest(const wire::RaftMessage& aMessage);
  void HandlePreVoteReply(const wire::RaftMessage& aMessage);
  void HandleVoteRequest(const wire::RaftMessage& aMessage);
  void HandleVoteReply(const wire::RaftMessage& aMessage);

  // Leader.cpp
  Status CheckLeader(const std::string& aStep) const;
  LogPosition AppendOwn(wire::LogEntryKind::type aKind, std::string aPayload);
  bool CommittedOwnTerm() const;
  bool CaughtUp(MemberId aId) const;
  void UpdateProgressSet();
  void SendHeartbeats();
  void SendAppends(MemberId aTo, Progress& aProgress);
  void SendAppend(MemberId aTo, Progress& aProgress, bool aWithEntries);
  void Broadcast();
  void BackUp(MemberId aTo,
              Progress& aProgress,
              const wire::RaftMessage& aMessage);
  void ConfirmRound(Progress& aProgress, int64_t aRound);
  void AdvanceCommit();
  // Sending time of the last round that a quorum has answered, TimePoint::min()
  // when there is none; m_leaderSince counts as answered by all if aGrace.
  TimePoint QuorumConfirmedAt(TimePoint aNow, bool aGrace) const;
  int64_t QuorumAgeMs() const;
  void HandleAppendReply(const wire::RaftMessage& aMessage);

  // Follower.cpp
  void HandleAppendRequest(wire::RaftMessage& aMessage);
  bool MergeEntries(wire::RaftMessage& aMessage);
  bool AcceptLeader(const wire::RaftMessage& aMessage);
  void RefuseOldTerm(const wire::RaftMessage& aMessage);
  void Reject(const wire::RaftMessage& aMessage);
  void Acknowledge(int64_t aRound);

  // SnapshotTransfer.cpp
  void StartSnapshot(MemberId aTo, Progress& aProgress);
  void SendChunk(MemberId aTo, Progress& aProgress, bool aWithData);
  void HandleSnapshotChunk(const wire::RaftMessage& aMessage);
  void HandleSnapshotReply(const wire::RaftMessage& aMessage);
  void InstallSnapshot(Incoming aIncoming);
  void LoadMemberships(const std::optional<RaftSnapshot>& aSnapshot);

  const RaftSettings m_settings;
  const MemberId m_self;
  std::mt19937_64 m_random;
  TimePoint m_now;

  // Durable state as decided; the storage may lag behind.
  HardState m_hard;
  Log m_log;
  std::optional<RaftSnapshot> m_snapshot; // newest, synced
  std::vector<IndexedMembership> m_memberships;
  int64_t m_applied = 0;

  // Persistence.
  uint64_t m_nextSequence = 1;
  std::deque<PendingBatch> m_pending;
  HardState m_handedHard;                 // last handed to the storage
  HardState m_syncedHard;                 // last reported as synced
  int64_t m_syncedIndex = 0;              // last log index reported as synced
  int64_t m_unsavedFrom = 1;              // first index not handed out
  int64_t m_truncateFrom = 0;             // stored suffix to remove
  std::optional<RaftSnapshot> m_unsaved;  // snapshot not handed out
  std::optional<RestoreAction> m_restore; // waits until it is synced
  bool m_restoreReady = false;
  int64_t m_compactTo = 0;
  int64_t m_snapshotRequested = 0;
  size_t m_appliedBytes = 0; // since the last snapshot
  std::deque<HeldMessage> m_held;
  std::vector<wire::RaftMessage> m_outbox;
  std::vector<RaftEvent> m_events;

  // Roles.
  Role m_role = Role::Follower;
  MemberId m_leader = 0;
  TimePoint m_electionDeadline;
  TimePoint m_leaderContactAt;
  std::set<MemberId> m_votes;
  // Early election, see StartPreVote().
  bool m_isFresh = true;         // no leader since the start, this one included
  bool m_campaignsEarly = false; // the campaign needs the grants of all voters
  TimePoint m_earlyDeadline;

  // Follower.
  int64_t m_verified = 0; // the log equals the leader's up to here
  int64_t m_acknowledged = 0;
  std::optional<Incoming> m_incoming;
  TimePoint m_currentAt; // when last confirmed as current
  Duration m_currentAge = Duration::max();

  // Leader.
  std::map<MemberId, Progress> m_progress;
  int64_t m_round = 0;
  std::deque<Round> m_rounds;
  TimePoint m_heartbeatDue;
  TimePoint m_leaderSince;
  int64_t m_termStart = 0; // index of the first entry of the own term
};

} // namespace wigeonfold::consensus
