// Messages between nodes.
include "common.thrift"
namespace cpp wigeonfold.wire

struct HeaderField {
  1: string name,
  2: string value,
}

// First message in each direction. epoch identifies the connection.
struct PeerHello {
  1: string nodeName,
  2: i64 nodeEpoch,
  3: i64 epoch,
  4: optional common.WireVersion inForce,
  // The sender reads CallBodyPart.
  5: bool readsBodyParts,
}

struct CallRequest {
  1: i64 callId,
  2: string serviceName,
  // Client account.
  3: string office,
  4: string method,
  5: string path,
  6: list<HeaderField> headers,
  7: binary body,
  // Time left until the deadline when the frame was written.
  8: i64 deadlineUs,
  9: i32 depth,
  10: bool idempotent,
  // Service that runs beside the node at which the request began.
  11: string callerService,
  // 0 is the highest rank.
  12: i32 priority,
  // Time from the latency objective to the deadline; absent without an
  // objective.
  13: optional i64 objectiveLeadUs,
  14: string route,
  // Identifies the request in logs; empty when the caller gave none.
  15: string requestId,
  // The request, or the work that issued it, may have been executed before.
  16: bool repeat,
  // The answer is expected to be large.
  17: bool largeAnswer,
  // The caller was refused before and has returned.
  18: bool returned,
  // The start of the node's target that, as far as the sender knows, leaves and
  // must not get this request; absent when it knows none.
  19: optional common.TargetStart leaving,
  // The limit that the node's target named last, as far as the sender knows.
  20: optional common.TargetLimit limit,
  // A hedge: to be run only if a slot is free and no request waits.
  21: bool speculative,
}

enum RunState {
  Run = 1,
  NotRun = 2,
  Unknown = 3,
}

// Load of a node's own target, carried on each answer.
struct TargetLoad {
  1: i32 slots,
  2: i32 running,
  3: i32 queued,
  4: i64 latencyUs,
  5: bool draining,
  // Percentage of the latest requests that failed or were shed at the target.
  6: i32 failurePercent,
  // Expected time until a further request of the lowest rank gets a slot.
  7: i64 waitUs,
  // Set while the target names a limit.
  8: optional common.TargetLimit limit,
}

struct CallResponse {
  1: i64 callId,
  2: RunState run,
  3: i32 status,
  4: list<HeaderField> headers,
  5: binary body,
  6: TargetLoad load,
  // Why the call was refused or failed; empty when the target answered.
  7: string reason,
  // With NotRun: time after which the caller should retry; 0 for no advice.
  8: i64 retryAfterUs,
  // Time in the queue at the target's node and at the target; absent when the
  // request was not sent to the target.
  9: optional i64 queuedUs,
  10: optional i64 targetUs,
  // Length of the whole body, when body holds only its first part and
  // CallBodyPart messages follow.
  11: optional i64 bodyBytes,
  // Set while the node's target leaves.
  12: optional common.TargetStart leaving,
}

// A further part of the body of an answer whose CallResponse has bodyBytes.
struct CallBodyPart {
  1: i64 callId,
  2: binary body,
}

struct CallCancel {
  1: i64 callId,
}

// The sender accepts no further calls on this connection.
struct PeerGoaway {
  1: string reason,
}
