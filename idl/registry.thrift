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
}

enum AcceptOutcome {
  Accepted = 1,
  Conflict = 2,
  Invalid = 3,
}

// Answer to a change; kept with its id so that a resent change gets it again.
struct AcceptResult {
  1: AcceptOutcome outcome,
  2: common.WireVersion version,
  3: list<string> problems,
  // For a conflict: paths that changed since the base version.
  4: list<string> changedPaths,
}

struct RememberedResult {
  1: string changeId,
  2: AcceptResult result,
}

struct HistoryEntry {
  1: common.WireVersion version,
  2: Change change,
}

// Creates the first version of a cluster.
struct Bootstrap {
  1: i64 generation,
  2: string clusterId,
}

// Exactly one field is set.
struct RegistryCommand {
  1: optional Change change,
  2: optional Bootstrap bootstrap,
}

struct RegistrySnapshot {
  1: string clusterId,
  2: common.WireVersion version,
  3: list<common.BranchState> branches,
  4: list<RememberedResult> results,
  5: list<HistoryEntry> history,
  6: common.WireVersion tombstoneHorizon,
}
