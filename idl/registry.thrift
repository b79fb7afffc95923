// Commands and snapshots of the replicated registry.
include "common.thrift"
namespace cpp wigeonfold.wire

// An operator's change: a compare-and-set on the base version.
struct Change {
  1: string changeId,
  2: common.WireVersion base,
  3: list<common.Operation> operations,
  4: string author,
  5: string comment,
  6: i64 acceptedAtMs,
  // A release: the change holds a complete configuration that operators number
  // themselves. It is compared with baseLabel instead of base, and label must
  // be greater than the newest one. Both are 0 for other changes.
  7: i64 label,
  8: i64 baseLabel,
  // Set when operations holds only what differs from base: the hash of the
  // whole change, by which a resent change is recognized.
  9: i64 contentHash,
}

enum AcceptOutcome {
  Accepted = 1,
  Conflict = 2,
  Invalid = 3,
}

// Result of a change; stored with its id so that a resent change gets the same
// result.
struct AcceptResult {
  1: AcceptOutcome outcome,
  2: common.WireVersion version,
  3: list<string> problems,
  // For a conflict: paths that changed since the base version, at most the
  // first 100 of changedCount.
  4: list<string> changedPaths,
  5: i32 changedCount,
}

struct RememberedResult {
  1: string changeId,
  2: AcceptResult result,
  // Hash of the change's content; a change that reuses the id with other
  // content is invalid.
  3: i64 contentHash,
}

// What a change did to one value; absent before or after means not set. With
// an empty key the branch itself was created or removed.
struct Edit {
  1: string path,
  2: string key,
  3: optional string before,
  4: optional string after,
}

struct HistoryEntry {
  1: common.WireVersion version,
  2: Change change,
  // Ordered by path and key.
  3: list<Edit> edits,
}

// Creates the first version of a cluster. A later one with the same cluster id
// and a greater generation is a recovery by force: the content stays.
struct Bootstrap {
  1: i64 generation,
  2: string clusterId,
}

// Starts of the target beside a node that left or leave, oldest first.
struct NodeLeaving {
  1: string nodeName,
  2: list<common.TargetStart> starts,
}

// Exactly one field is set.
struct RegistryCommand {
  1: optional Change change,
  2: optional Bootstrap bootstrap,
  // Starts to add to those that are stored.
  3: optional list<NodeLeaving> leaving,
}

struct RegistrySnapshot {
  1: string clusterId,
  2: common.WireVersion version,
  3: list<common.BranchState> branches,
  4: list<RememberedResult> results,
  // Read only: snapshots of earlier versions hold the history here.
  5: list<HistoryEntry> history,
  6: common.WireVersion tombstoneHorizon,
  // Digest of the tree.
  7: i64 digest,
  // Label of the newest release and of the one it was based on; 0 before the
  // first one.
  8: i64 label,
  9: i64 baseLabel,
  // The node whose starts changed last is the last one.
  10: list<NodeLeaving> leaving,
  // Encoded HistoryEntry structs, oldest first.
  11: list<binary> encodedHistory,
}
