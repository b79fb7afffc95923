// Messages between control VMs and records of the replicated log.
namespace cpp wigeonfold.wire

enum LogEntryKind {
  Noop = 1,
  Command = 2,
  Membership = 3,
}

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: LogEntryKind kind,
  4: binary payload,
}

// A control VM as a member of the replicated group. memberId is the identity
// stored in its data folder.
struct Member {
  1: i64 memberId,
  2: string name,
  3: string availabilityZone,
  4: string peerAddress,
  5: bool voter,
  // Address of the operators' HTTP API.
  6: string apiAddress,
  // Address for nodes' sessions.
  7: string nodeAddress,
  // Address of the operators' interface in the platform's format; empty when
  // the VM does not serve it.
  8: string operatorAddress,
}

struct Membership {
  1: list<Member> members,
}

// Content of a snapshot file: state is the state machine's own encoding,
// membershipIndex the log index of the membership entry in effect.
struct SnapshotContent {
  1: Membership membership,
  2: i64 membershipIndex,
  3: binary state,
}

struct LogEntryList {
  1: list<LogEntry> entries,
}

enum RaftMessageKind {
  PreVoteRequest = 1,
  PreVoteReply = 2,
  VoteRequest = 3,
  VoteReply = 4,
  AppendRequest = 5,
  AppendReply = 6,
  SnapshotChunk = 7,
  SnapshotReply = 8,
}

// One message of the consensus protocol; the kind says which fields are set.
struct RaftMessage {
  1: RaftMessageKind kind,
  2: i64 fromMember,
  3: i64 toMember,
  4: i64 term,
  // Requests: index and term of the entry before the first one sent, or of the
  // candidate's last entry. Replies: the last index known to match and to be
  // synced; on a mismatch, the position from which the leader should search
  // backwards. Snapshot chunks and replies: position of the snapshot.
  5: i64 logIndex,
  6: i64 logTerm,
  7: i64 commitIndex,
  8: list<LogEntry> entries,
  9: bool granted,
  // Set by the leader on each round and echoed in the reply; the reply confirms
  // the leader's lease from the time the round was sent.
  10: i64 round,
  11: i64 snapshotOffset,
  12: i64 snapshotSize,
  13: binary snapshotData,
  // Field 14 was an optional membership; it is now part of SnapshotContent.
  // AppendRequest and SnapshotChunk: time since the leader last heard from a
  // quorum.
  15: i64 quorumAgeMs,
  // AppendReply without grant: the request's logIndex that did not match.
  16: i64 rejectedIndex,
  // PreVoteRequest and VoteRequest: the sender has heard of no leader since its
  // start, campaigns early and needs the pre-votes of all voters.
  17: bool early,
  // Used instead of entries when these are large: an encoded LogEntryList,
  // compressed, and its uncompressed length. Sent only to members whose hello
  // says that they read it.
  18: binary packedEntries,
  19: i64 packedLength,
  // AppendRequest: entries up to this index may be acknowledged, since the group
  // keeps them after the loss of as many disks as it tolerates. Members that
  // don't send it acknowledge what is committed.
  20: optional i64 survivingIndex,
  // AppendReply: the sender's clock. AppendRequest: the stamp of the reply that
  // the leader received last from the recipient, which so knows that the request
  // was sent after that reply, however late it arrives.
  21: optional i64 stamp,
}
