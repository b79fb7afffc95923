// The Raft protocol of one member. Events and the current time go in, actions
// come out; it owns no thread, socket, file or clock.
//
// Usage: call an event function (Tick, Receive, Propose, OnPersisted, ...),
// then TakeActions, and execute the actions in the order of the members of
// RaftActions. If m_sequence is not 0, write the members up to m_append to the
// storage and call OnPersisted with that number once all of them are synced.
// Batches must be persisted in order. Raft holds back messages that depend on
// unsynced state until OnPersisted, so all of m_send may be sent immediately.
// After a storage error the object must not be used any more.
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
  // A follower misses ten heartbeats before it campaigns, so that one lost
  // packet or a short stall causes no election.
  Duration m_heartbeat = std::chrono::milliseconds(100);
  // Range of the random election timeout. It is far wider than a round trip
  // plus a sync, so that two members seldom campaign at the same time.
  Duration m_electionMin = std::chrono::milliseconds(1000);
  Duration m_electionMax = std::chrono::milliseconds(2000);
  // Validity of the leader's lease after a heartbeat round was sent. Must be
  // less than m_electionMin / (1 + clock rate error), since members refuse to
  // vote for m_electionMin after a heartbeat: 700 ms is safe for clocks that
  // differ in rate by up to 40 %.
  Duration m_lease = std::chrono::milliseconds(700);
  // Payload bytes of the entries in one append message. Bounded so that
  // heartbeats don't wait behind it (256 KiB take about 2 ms at 1 Gbit/s).
  size_t m_maxMessageBytes = size_t{ 256 } << 10;
  // Maximum number of unacknowledged appends per follower. Together with
  // m_maxMessageBytes this limits the memory of a connection to 2 MiB.
  size_t m_maxInflight = 8;
  // Payload bytes of one snapshot chunk.
  size_t m_chunkBytes = size_t{ 256 } << 10;
  // Time after which an unacknowledged snapshot chunk is sent again.
  Duration m_chunkRetry = std::chrono::milliseconds(500);
  // Proposals fail with Exhausted while this many entries are uncommitted, or
  // while the log holds this many payload bytes, which is the case when entries
  // arrive faster than they are committed or than snapshots are written.
  size_t m_maxUncommitted = 4096;
  size_t m_maxLogBytes = size_t{ 32 } << 20;
  // A snapshot is requested once this many entries or payload bytes have been
  // applied since the last one.
  int64_t m_snapshotEntries = 10000;
  size_t m_snapshotBytes = size_t{ 8 } << 20;
  // Entries before the snapshot's position that stay in the log, so that a
  // follower that was away for a few minutes needs no snapshot (10 min at 0.5
  // changes/s are 300 entries). Bounded in bytes as well, since an entry takes
  // up to 1 MiB.
  int64_t m_retainedEntries = 1000;
  size_t m_retainedBytes = size_t{ 4 } << 20;
  // A member that lacks more payload bytes than this, and more than a quarter
  // of a snapshot, gets a snapshot, which is taken anew if it would still lack
  // that much: a state is restored faster than so many entries are applied. It
  // gets the log when the snapshot is not written in m_maxSnapshotWait.
  size_t m_maxCatchUpBytes = size_t{ 1 } << 20;
  Duration m_maxSnapshotWait = std::chrono::seconds(2);
  // Disks that may be lost at once without the loss of what was acknowledged;
  // see SurvivingIndex().
  size_t m_toleratedLosses = 0;
  // Maximum time for which an acknowledgement waits for a voter that doesn't
  // answer or for the member that replaces it. Covers the time after which a
  // voter is replaced, and the two membership changes.
  Duration m_maxSurvivalWait = std::chrono::milliseconds(3500);
};

// ---- State, actions and results --------------------------------------------

// The part of the state outside the log that survives a restart.
struct HardState
{
  int64_t m_term = 0;
  MemberId m_vote = 0;  // candidate voted for in m_term, 0 for none
  int64_t m_commit = 0; // known commit index, may be outdated when stored

  bool operator==(const HardState&) const = default;
};

// A snapshot as stored and sent. m_content is an encoded wire::SnapshotContent.
struct RaftSnapshot
{
  LogPosition m_position;
  std::shared_ptr<const std::string> m_content;
};

// Durable state read from the storage at start.
struct RaftInitialState
{
  MemberId m_self = 0;
  HardState m_hardState;
  std::optional<RaftSnapshot> m_snapshot;
  LogPosition m_base; // position before the first entry of m_entries
  std::vector<wire::LogEntry> m_entries;
};

// State of the replicated state machine to restore before entries are applied.
struct RestoreAction
{
  LogPosition m_position;
  std::string m_state;
};

// An event for the caller to log.
struct RaftEvent
{
  EventId m_id;
  std::vector<EventField> m_fields;
};

// What the caller must do, in the order of the members.
struct RaftActions
{
  // Number to pass to OnPersisted once the members up to m_append are synced;
  // 0 when there is nothing to persist.
  uint64_t m_sequence = 0;
  std::optional<RaftSnapshot> m_saveSnapshot;
  std::optional<HardState> m_hardState;
  // Remove the stored entries from this index on before m_append; 0 for none.
  int64_t m_truncateFrom = 0;
  std::vector<wire::LogEntry> m_append;
  // Stored entries up to this index are no longer needed; 0 for none. Their
  // removal is not reported with OnPersisted.
  int64_t m_compactTo = 0;
  std::vector<wire::RaftMessage> m_send;
  // Replaces the state of the replicated state machine before m_apply.
  std::optional<RestoreAction> m_restore;
  // Committed entries of all kinds, in log order.
  std::vector<wire::LogEntry> m_apply;
  // After m_apply, encode the replicated state machine and call OnSnapshotTaken
  // with this index; 0 for no request.
  int64_t m_takeSnapshot = 0;
  std::vector<RaftEvent> m_events;

  bool NeedsPersistence() const { return m_sequence != 0; }
};

// Changes of the voters that are to be expected. Raft doesn't know it from its
// own messages.
struct VoterOutlook
{
  // A VM that is not a voter may become one, or there is a voter to spare.
  bool m_hasReplacement = false;
  // Voters that said that they are about to end.
  std::set<MemberId> m_stopping;
  // Members whose disks are known to be lost, see LostDisks.h. A member that is
  // listed by mistake may lead to two leaders.
  std::set<MemberId> m_lost;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

const char* ToString(Role aRole);

// ---- Protocol --------------------------------------------------------------

// One member of the group. Not thread safe. Times passed in must not decrease.
class Raft
{
public:
  // aSeed seeds the random election timeouts. Precondition: the caller has
  // verified the checksum of the snapshot. If its content can't be decoded, the
  // member has an empty membership and never votes.
  Raft(RaftSettings aSettings,
       RaftInitialState aInitial,
       uint64_t aSeed,
       TimePoint aNow);

  // ---- Events ----

  // Handles elections and heartbeats that are due. Call at NextDeadline() or
  // more often.
  void Tick(TimePoint aNow);
  // Handles a message from the member aMessage.fromMember. Drops messages for
  // another member and malformed ones.
  void Receive(TimePoint aNow, wire::RaftMessage aMessage);
  // Reports that all batches up to the sequence number are synced.
  void OnPersisted(TimePoint aNow, uint64_t aSequence);
  // Passes the encoded state requested by RaftActions::m_takeSnapshot. Ignored
  // unless aIndex is the index of the last request and still of use.
  void OnSnapshotTaken(TimePoint aNow, int64_t aIndex, std::string aState);

  // Starts a new group, or joins one that others start with the same
  // membership. Fails with Conflict unless the log is empty and the term is 0,
  // and with InvalidArgument when this member is not a voter of aMembership.
  Status Bootstrap(TimePoint aNow, const wire::Membership& aMembership);

  // Appends a command and returns its position. The command has succeeded when
  // an entry with this index and term is applied, and failed when an entry of
  // another term is applied at the index. Fails with Unavailable when not
  // leader, with the API address of the leader (if known) as peer, and with
  // Exhausted at RaftSettings::m_maxUncommitted.
  Result<LogPosition> Propose(TimePoint aNow, std::string aPayload);

  // Appends a membership change. Fails with Unavailable like Propose, with the
  // errors of ApplyChange, and with Conflict while another change is
  // uncommitted, the leader has not committed an entry of its term, or the
  // learner to promote has not caught up.
  Result<LogPosition> ProposeChange(TimePoint aNow,
                                    const MembershipChange& aChange);

  // Used by elections and by the leader; call at least once per heartbeat.
  void SetVoterOutlook(TimePoint aNow, VoterOutlook aOutlook);

  // Returns and clears the actions due since the last call.
  RaftActions TakeActions();

  // ---- Queries ----

  // Index that must be applied before a linearizable read is answered. Fails
  // with Unavailable when not leader, without a valid lease, and until the
  // leader has committed an entry of its term.
  Result<int64_t> ReadIndex(TimePoint aNow) const;
  bool HasLease(TimePoint aNow) const;

  // Time since a quorum last confirmed that this member's committed state is
  // current; Duration::max() when it never did.
  Duration FreshnessAge(TimePoint aNow) const;
  // The latest time for which there is proof that the applied state contains
  // all that was committed before it; nothing while there is none. Unlike
  // FreshnessAge(), which takes the arrival of a leader's message for its
  // sending, this is sound for leases: a message that was delayed, or waited
  // while this process was suspended, proves nothing about the time since its
  // sending.
  std::optional<TimePoint> CurrentAsOf(TimePoint aNow) const;

  // When Tick must be called next.
  TimePoint NextDeadline() const;
  Role GetRole() const { return m_role; }
  MemberId Self() const { return m_self; }
  int64_t Term() const { return m_hardState.m_term; }
  int64_t CommitIndex() const { return m_hardState.m_commit; }
  int64_t AppliedIndex() const { return m_applied; }
  // Committed entries up to this index may be acknowledged: the group keeps
  // them and elects a leader after the loss of m_toleratedLosses disks. Never
  // decreases; 0 after a start until a leader is heard of. See Survival.cpp.
  int64_t SurvivingIndex() const { return m_survivingIndex; }
  LogPosition LastPosition() const { return m_log.Last(); }
  MemberId LeaderId() const { return m_leader; } // 0 when unknown
  // The leader's entry in the membership; nothing when the leader is unknown or
  // not in the membership.
  std::optional<wire::Member> Leader() const;
  // The newest membership in the log, committed or not.
  const wire::Membership& CurrentMembership() const;
  // The membership that takes effect again if the newest one is truncated; the
  // newest one once it is known to be committed.
  const wire::Membership& PreviousMembership() const;
  bool MembershipCommitted() const;
  // The membership with which the group was started; nullptr when the log
  // doesn't hold it.
  const wire::Membership* FirstMembership() const;
  // The last synced index that the member has reported; nothing when this
  // member is not the leader or does not replicate to that member.
  std::optional<int64_t> MatchIndex(MemberId aId) const;
  const Log& GetLog() const { return m_log; }

private:
  enum class ProgressState
  {
    Probe,     // finds the last common entry, one append at a time
    Replicate, // sends appends without waiting for the replies
    Snapshot,  // sends a snapshot
  };

  // Replication progress of another member, as the leader knows it.
  struct Progress
  {
    ProgressState m_state = ProgressState::Probe;
    int64_t m_match = 0;            // last index known to be synced there
    int64_t m_next = 1;             // first index of the next append
    bool m_probeSent = false;       // Probe: awaits the reply
    std::deque<int64_t> m_inflight; // last index of each unacknowledged append
    TimePoint m_confirmedAt;        // sending time of the last round answered
    bool m_confirmed = false;       // m_confirmedAt is set
    int64_t m_answeredIndex = 0;    // last index before the round answered last
    std::optional<int64_t> m_stamp; // of the reply received last
    bool m_awaitsSnapshot = false;  // that is taken for this member
    TimePoint m_snapshotWaitEnds;   // then the log is sent instead
    RaftSnapshot m_snapshot;        // being sent
    size_t m_offset = 0;            // offset of the chunk sent last
    TimePoint m_chunkSentAt;
  };

  // A batch returned by TakeActions and not yet reported as synced.
  struct PendingBatch
  {
    uint64_t m_sequence = 0;
    int64_t m_lastIndex = 0;
    int64_t m_term = 0;
    MemberId m_vote = 0;
    std::optional<RaftSnapshot> m_snapshot;
  };

  // A message that must not be sent before a batch is synced.
  struct HeldMessage
  {
    uint64_t m_sequence = 0; // of the batch
    wire::RaftMessage m_message;
  };

  // A heartbeat round of the leader.
  struct Round
  {
    int64_t m_number = 0;
    TimePoint m_sentAt;
    int64_t m_lastIndex = 0; // of the log when the round was sent
  };

  // A snapshot being received.
  struct IncomingSnapshot
  {
    MemberId m_from = 0;
    LogPosition m_position;
    std::string m_content;
  };

  // Raft.cpp: persistence, messages, commit and applying.
  void AdvanceClock(TimePoint aNow) { m_now = std::max(m_now, aNow); }
  void Dispatch(wire::RaftMessage& aMessage);
  void ReleaseHeldMessages(uint64_t aSequence);
  void OnBatchSynced(const PendingBatch& aBatch);
  void CompactLog();
  void Send(wire::RaftMessage aMessage);
  wire::RaftMessage MakeMessage(wire::RaftMessageKind::type aKind,
                                MemberId aTo) const;
  bool HardStatePersisted() const;
  void AppendToLog(wire::LogEntry aEntry);
  void TruncateLog(int64_t aIndex);
  void CommitTo(int64_t aIndex);
  void MarkUnapplied();
  void CollectApply(RaftActions& aActions);
  void CollectPersist(RaftActions& aActions);
  void RequestSnapshot(RaftActions& aActions);
  void AddEvent(EventId aId, std::vector<EventField> aFields);
  bool MayVote() const;
  // The least value, of the newest membership and of the one before it, that a
  // quorum of each has reached. See Quorum.h.
  template<class Value, class ValueOf>
  Value ValueOfQuorums(Value aNone, ValueOf aValueOf) const;
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
  bool HasEnoughVotes() const;
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
  LogPosition AppendAsLeader(wire::LogEntryKind::type aKind,
                             std::string aPayload);
  bool CommittedEntryInCurrentTerm() const;
  bool CaughtUp(MemberId aId) const;
  void UpdateProgressSet();
  void SendHeartbeats();
  void SendAppends(MemberId aTo, Progress& aProgress);
  void SendAppend(MemberId aTo, Progress& aProgress, bool aWithEntries);
  void BroadcastAppends();
  void HandleAppendRejection(MemberId aTo,
                             Progress& aProgress,
                             const wire::RaftMessage& aMessage);
  void ConfirmRound(Progress& aProgress, int64_t aRound);
  void AdvanceCommit();
  // Sending time of the last round that a quorum has answered, TimePoint::min()
  // when there is none. With aGrace, m_leaderSince counts as answered by all.
  TimePoint QuorumConfirmedAt(TimePoint aNow, bool aGrace) const;
  // Milliseconds since that round, without grace; -1 when there is none or the
  // leader may not know all committed entries.
  int64_t QuorumAgeMs() const;
  void HandleAppendReply(const wire::RaftMessage& aMessage);

  // Survival.cpp
  int64_t IndexOnEnoughVoters() const;
  int64_t AnsweredIndex(MemberId aVoter) const;
  void UpdateSurvivingIndex();

  // Follower.cpp
  void HandleAppendRequest(wire::RaftMessage& aMessage);
  bool MergeEntries(wire::RaftMessage& aMessage);
  bool AcceptLeader(const wire::RaftMessage& aMessage);
  void RefuseOldTerm(const wire::RaftMessage& aMessage);
  // Takes over what an accepted append proves about CurrentAsOf().
  void NoteProof(const wire::RaftMessage& aMessage);
  // This member's clock, for RaftMessage.stamp.
  int64_t Stamp() const;
  void RejectAppend(const wire::RaftMessage& aMessage);
  void AcknowledgeAppend(int64_t aRound);

  // SnapshotTransfer.cpp
  bool LacksMuch(const Progress& aProgress) const;
  bool AwaitsSnapshot(Progress& aProgress);
  void SendSnapshotOrLog(MemberId aTo, Progress& aProgress);
  void SendAwaitedSnapshots();
  void StartSnapshotTransfer(MemberId aTo, Progress& aProgress);
  void SendChunk(MemberId aTo, Progress& aProgress, bool aWithData);
  void HandleSnapshotChunk(const wire::RaftMessage& aMessage);
  void HandleSnapshotReply(const wire::RaftMessage& aMessage);
  void InstallSnapshot(IncomingSnapshot aSnapshot);
  void LoadMemberships(const std::optional<RaftSnapshot>& aSnapshot);

  const RaftSettings m_settings;
  const MemberId m_self;
  std::mt19937_64 m_random;
  const TimePoint m_startedAt;
  const int64_t m_stampOffset; // between the clock and Stamp()
  TimePoint m_now;

  // Durable state as decided; the storage may not have synced it yet.
  HardState m_hardState;
  Log m_log;
  std::optional<RaftSnapshot> m_snapshot; // the newest synced one
  // In log order; the last one is the current one.
  std::vector<IndexedMembership> m_memberships;
  int64_t m_applied = 0;
  // Since when a committed entry or an installed snapshot is not applied.
  std::optional<TimePoint> m_unappliedSince;

  // Persistence.
  uint64_t m_nextSequence = 1;
  std::deque<PendingBatch> m_pending;
  HardState m_submittedHardState; // last returned by TakeActions
  HardState m_syncedHardState;    // last reported as synced
  int64_t m_syncedIndex = 0;      // last log index reported as synced
  int64_t m_unsavedFrom = 1;      // first index not returned by TakeActions
  int64_t m_truncateFrom = 0;     // stored suffix to remove
  std::optional<RaftSnapshot> m_unsavedSnapshot; // not returned by TakeActions
  std::optional<RestoreAction> m_restore; // waits for the snapshot's sync
  bool m_restoreReady = false;            // that snapshot is synced
  int64_t m_compactTo = 0;
  int64_t m_snapshotRequested = 0; // index, 0 for none
  bool m_snapshotWanted = false;   // for a member that lacks much
  size_t m_appliedBytes = 0;       // since the last snapshot
  std::deque<HeldMessage> m_heldMessages;
  std::vector<wire::RaftMessage> m_outbox;
  std::vector<RaftEvent> m_events;

  // Role and election.
  Role m_role = Role::Follower;
  MemberId m_leader = 0;
  TimePoint m_electionDeadline;
  TimePoint m_leaderContactAt;
  std::set<MemberId> m_votes; // members that granted a vote or pre-vote
  // Early election, see StartPreVote().
  bool m_noLeaderSinceStart = true; // neither another member nor this one
  bool m_campaignsEarly = false;    // all voters must grant the pre-vote
  TimePoint m_earlyDeadline;

  // Follower.
  int64_t m_verified = 0;     // the log equals the leader's up to this index
  int64_t m_acknowledged = 0; // last index acknowledged to the leader
  std::optional<IncomingSnapshot> m_incomingSnapshot;
  TimePoint m_freshnessAt; // time at which m_freshnessAge applied
  Duration m_freshnessAge = Duration::max();
  std::optional<TimePoint> m_currentAsOf; // see CurrentAsOf()

  // Leader.
  std::map<MemberId, Progress> m_progress;
  int64_t m_round = 0;
  std::deque<Round> m_rounds;
  TimePoint m_heartbeatDue;
  TimePoint m_leaderSince;
  int64_t m_termStartIndex = 0; // first entry of the current term
  VoterOutlook m_outlook;
  int64_t m_survivalAwaited = 0; // index for which m_survivingIndex waits
  TimePoint m_survivalAwaitedSince;

  int64_t m_survivingIndex = 0;
};

} // namespace wigeonfold::consensus
