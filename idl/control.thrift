// Messages between a node and a control VM, and endpoint exchange between
// control VMs.
include "common.thrift"
include "raft.thrift"
namespace cpp wigeonfold.wire

enum EndpointState {
  Ready = 1,
  Draining = 2,
  Lost = 3,
}

// A target as announced by its node. The record with the greater
// (nodeEpoch, sequence) replaces the other; of two equal ones the Lost one.
struct EndpointRecord {
  1: string nodeName,
  2: i64 nodeEpoch,
  3: i64 sequence,
  4: string serviceName,
  5: string availabilityZone,
  // Address on which the node accepts calls from other nodes.
  6: string nodeAddress,
  7: i32 slots,
  8: EndpointState state,
  // Member id of the control VM that holds the node's session.
  9: i64 owner,
  // The last start of the node's target that is known to leave or to have left;
  // absent when there is none.
  10: optional common.TargetStart leaving,
  // Version of the software that the target runs; absent when it named none.
  11: optional string softwareVersion,
}

// Answers of one software version of a service to the requests of one route, as
// a node counted them since its start.
struct VersionRouteStats {
  1: string serviceName,
  2: string softwareVersion,
  3: string route,
  4: i64 answers,
  // Answers with a 5xx status and lost answers; included in answers.
  5: i64 failures,
  // Answers by their time at the target; see rollout::LatencyBuckets.
  6: list<i64> latencyBuckets,
}

// Requests of a client account at one node, or at all nodes of one control VM.
struct AccountUsage {
  // Hash of the account's path.
  1: i32 accountHash,
  // Admitted within the quota less those that ended as not run, and asked for
  // in all. In NodeStatus those since the status before.
  2: i64 admitted,
  3: i64 asked,
}

// What a node may admit of a client account near its quota, in thousandths of
// a request (per second).
struct AccountLimit {
  1: i32 accountHash,
  2: i64 milliRate,
  3: i64 milliBurst,
}

// First message of a session. held is the version that the node holds;
// absent when it holds none.
struct NodeHello {
  1: string nodeName,
  2: i64 nodeEpoch,
  3: string availabilityZone,
  4: optional common.WireVersion held,
  // Source and position of the last endpoint update that the node applied.
  5: i64 endpointSource,
  6: i64 endpointCursor,
  // Asks only for a HelloReply, with which the node compares control VMs while
  // its session stays at another one. A later hello without it begins a
  // session.
  7: bool probe,
}

// Address at which a control VM accepts sessions of nodes, and its zone.
struct ControlEndpoint {
  1: string nodeAddress,
  2: string availabilityZone,
}

struct HelloReply {
  1: i64 memberId,
  // Newest version that, as far as this control VM knows, a node of that name
  // has held.
  2: optional common.WireVersion floor,
  3: i64 freshnessAgeMs,
  4: i64 greatestNodeEpoch,
  // Control VMs that are members now; empty when this one knows none.
  5: list<ControlEndpoint> controlVms,
  // EndpointRecord.leaving as the node announced it last, perhaps before it was
  // restarted.
  6: optional common.TargetStart leaving,
  // The control VMs store the starts in NodeStatus.leaving and say so in
  // Heartbeat.leaving.
  7: bool storesLeaving,
}

struct Announce {
  1: EndpointRecord endpoint,
}

// Difference between the state at base and the state at target. full means
// that branches holds the whole tree.
struct ConfigUpdate {
  1: bool full,
  2: common.WireVersion base,
  3: common.WireVersion target,
  4: list<common.BranchState> branches,
  5: i64 digest,
  // Used instead of branches when there are many: an encoded BranchList,
  // compressed, and its uncompressed length.
  6: binary packedBranches,
  7: i64 packedLength,
}

struct BranchList {
  1: list<common.BranchState> branches,
}

// Changes of the endpoint table after baseCursor up to cursor. Cursors of
// different sources are not comparable.
struct EndpointUpdate {
  1: i64 source,
  2: i64 cursor,
  // full means that the records replace all that the node holds.
  3: bool full,
  4: list<EndpointRecord> records,
  5: list<string> removedNodes,
  6: i64 baseCursor,
}

// Sent by the control VM every second; the node answers with NodeStatus.
struct Heartbeat {
  1: i64 freshnessAgeMs,
  2: common.WireVersion newest,
  // Set when the members changed since the last heartbeat of the session.
  3: optional list<ControlEndpoint> controlVms,
  // The confirm number of the NodeStatus that this heartbeat answers, so that
  // the node knows that the heartbeat was sent after that status.
  4: optional i64 confirm,
  // The starts of the node's targets that left, as stored by the control VMs.
  // Set with confirm, and when they have changed.
  5: optional list<common.TargetStart> leaving,
  // The group may still lose the newest of them together with a disk, so they
  // must not be acknowledged yet.
  6: bool leavingPending,
  // Crash records that are new or have changed since the last heartbeat that
  // had some; all of them in the first one of a session.
  7: optional list<common.CrashRecord> crashes,
  // Client accounts near their quotas. Replaces the list of the heartbeat
  // before; an account that is not listed is not limited.
  8: optional list<AccountLimit> limits,
  // Nodes of the whole fleet, among which quotas are shared.
  9: optional i32 quotaNodes,
  // Set with confirm if the control VM has proof of it: newest contains all that
  // was committed up to this time before the heartbeat was made. Unlike
  // freshnessAgeMs it grows while messages to the control VM are under way.
  10: optional i64 currentAgeMs,
}

struct NodeStatus {
  1: optional common.WireVersion inForce,
  // Version that the node refused, with the reason; empty when none.
  2: optional common.WireVersion refused,
  3: string refusal,
  4: i64 controlBytesReceived,
  5: i64 controlBytesSent,
  // Endpoint update applied last.
  6: i64 endpointSource,
  7: i64 endpointCursor,
  // The node can't apply the update it received and asks for one that starts at
  // the state reported here; resyncFull asks for the whole tree.
  8: bool resync,
  9: bool resyncFull,
  // The node serves although it is below its floor: no fresh control VM
  // answered.
  10: bool belowFloor,
  // Asks for a heartbeat that carries this number; absent: no request.
  11: optional i64 confirm,
  // Starts of the node's targets that leave and are not known to be stored.
  12: optional list<common.TargetStart> leaving,
  // Like Heartbeat.crashes.
  13: optional list<common.CrashRecord> crashes,
  // Of services with a running rollout.
  14: optional list<VersionRouteStats> versionStats,
  // Client accounts with requests since the last status.
  15: optional list<AccountUsage> usage,
}

// The control VM has no capacity for this session now.
struct RetryLater {
  1: i64 afterMs,
}

// Endpoint records that a control VM owns, sent to the other control VMs each
// second and on change. A receiver that does not hold baseCursor of that
// incarnation answers with a request for a full transfer.
struct EndpointSync {
  1: i64 owner,
  2: bool full,
  3: list<EndpointRecord> records,
  4: list<string> removedNodes,
  // Start time of the owner's process; the cursor counts within it.
  5: i64 incarnation,
  6: i64 baseCursor,
  7: i64 cursor,
  // Asks the receiver, who is the owner, for a full transfer.
  8: bool request,
  // Crash records that are new or have changed since the last sync on this
  // connection that had some.
  9: optional list<common.CrashRecord> crashes,
}

// First message on a connection between two control VMs.
struct ControlHello {
  1: i64 memberId,
  2: string name,
  3: string clusterId,
  4: string availabilityZone,
  5: string peerAddress,
  6: string apiAddress,
  7: string nodeAddress,
  8: string operatorAddress,
  // The data folder holds a log, so the VM belongs or belonged to a cluster.
  9: bool hasLog,
  // The VM may create the cluster.
  10: bool mayBootstrap,
  // The sender reads RaftMessage.packedEntries.
  11: bool readsPackedEntries,
  // The sender reads LeavingReport.
  12: bool readsLeavingReports,
  // The VM got SIGTERM and ends once a learner has taken its place as a voter.
  13: bool stopping,
  // The first membership of the cluster, if the sender's log holds it and the
  // sender knows no leader. A VM with an empty log whose id is a voter of it takes it over.
  14: optional raft.Membership formation,
  // The sender reads RolloutReport and QuotaSync.
  15: bool readsReports,
}

// A start of the target beside a node leaves. Sent to the leader by the control
// VM that holds the node's session, until the start is stored.
struct LeavingReport {
  1: string nodeName,
  2: common.TargetStart start,
}

// What a node reported of the services with a running rollout. Sent to the
// leader by the control VM that holds the node's session.
struct RolloutReport {
  1: string nodeName,
  2: i64 nodeEpoch,
  3: list<VersionRouteStats> stats,
  // Version of the configuration that the node has in force; absent: none.
  4: optional common.WireVersion inForce,
}

// Requests of the client accounts at the nodes of one control VM, sent to the
// other control VMs. Lists the accounts with requests since the last message.
// The counts are those since the start of the owner, so that a lost message
// loses none.
struct QuotaSync {
  1: i64 owner,
  // Sessions of nodes at the owner.
  2: i32 nodes,
  3: list<AccountUsage> usage,
  // Start time of the owner's process.
  4: i64 incarnation,
  // Of the messages of this incarnation, from 1.
  5: i64 sequence,
}
