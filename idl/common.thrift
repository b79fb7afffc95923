// Types shared by all messages between the system's own processes.
namespace cpp wigeonfold.wire

// Position in the total order of accepted configurations.
struct WireVersion {
  1: i64 generation,
  2: i64 number,
}

// One start of a target: its id, and the wall clock at its start in ms since
// 1970 (0 when it didn't report one).
struct TargetStart {
  1: string instance,
  2: i64 startedAtMs,
}

// Requests per second that a start of a target takes from all nodes together,
// as its answers say.
struct TargetLimit {
  1: TargetStart start,
  2: double perSecond,
}

// The end of a target while it may have been running a request.
struct CrashEvent {
  // Differs for each end of a target.
  1: i64 id,
  // No other request was under way there.
  2: bool alone,
  3: i64 ageMs,
  // A target has run the request to its end, so the crash was not its doing.
  4: bool refuted,
}

// The ends of targets that may have been running requests with the same
// content.
struct CrashRecord {
  1: i64 fingerprint,
  2: list<CrashEvent> events,
}

// One branch of the settings tree, or its tombstone when removed is true.
struct BranchState {
  1: string path,
  2: map<string, string> settings,
  3: WireVersion modified,
  4: bool removed,
}

enum OperationKind {
  Set = 1,
  Unset = 2,
  RemoveBranch = 3,
  // Removes the branch and all below it, if there is any. Branches that later
  // operations of the change set again with equal content stay unchanged.
  ClearBranch = 4,
}

struct Operation {
  1: OperationKind kind,
  2: string path,
  3: string key,
  4: string value,
}
