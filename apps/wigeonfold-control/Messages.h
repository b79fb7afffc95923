// Messages between the threads of the control process.
#pragma once

#include "Channel.h"

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/TargetStart.h"

#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/distribution/NodeSessions.h"
#include "wigeonfold/registry/OperatorFormat.h"
#include "wigeonfold/registry/Registry.h"
#include "wigeonfold/rollout/Coordinator.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wigeonfold::control {

// ---- Net to core -----------------------------------------------------------

struct RaftReceived
{
  wire::RaftMessage m_message;
};

// Ids of the control VMs with an open connection, members or not. Sent every
// 500 ms.
struct ConnectedPeers
{
  std::set<int64_t> m_ids;
};

// Another control VM sent its ControlHello.
struct HelloReceived
{
  wire::ControlHello m_hello;
  // When this VM began to open the connection to the address that the hello
  // names; nothing when the other side opened it.
  std::optional<TimePoint> m_dialedAt;
};

// A start of a target leaves, as its node or another control VM says.
struct LeavingReceived
{
  std::string m_nodeName;
  TargetStart m_start;
  bool m_forwarded = false; // by another control VM
};

// What nodes say of the running rollouts. Sent at most every 200 ms, and for
// each frame of another control VM.
struct RolloutReportsReceived
{
  std::vector<wire::RolloutReport> m_reports;
  bool m_forwarded = false; // by another control VM
};

// The endpoint table in short. Sent every 500 ms while a rollout is running.
struct FleetObserved
{
  rollout::Fleet m_fleet;
};

using CoreMessage = std::variant<RaftReceived,
                                 HelloReceived,
                                 ConnectedPeers,
                                 LeavingReceived,
                                 RolloutReportsReceived,
                                 FleetObserved>;

// ---- Core to net -----------------------------------------------------------

struct SendRaft
{
  wire::RaftMessage m_message;
};

struct SetPeers
{
  wire::Membership m_membership;
  std::string m_clusterId;
  bool m_hasLog = false; // this VM's data folder holds a log
  // See ControlHello.
  std::optional<wire::Membership> m_formation;
};

struct AddSeeds
{
  std::vector<SocketAddress> m_seeds;
};

struct DistributeTree
{
  std::shared_ptr<const settings::Tree> m_tree;
};

// Sent every 100 ms.
struct SetFreshness
{
  Duration m_freshnessAge{};
  TimePoint m_measuredAt;
  std::optional<TimePoint> m_currentAsOf; // see consensus::Raft
};

// The leaving starts of a node's targets that are stored now. Precedes the
// SetFreshness that says that their entry is applied.
struct SetLeaving
{
  std::string m_nodeName;
  std::vector<TargetStart> m_starts;
  bool m_isPending = false; // must not be acknowledged yet
};

// To the leader, which stores it.
struct ForwardLeaving
{
  int64_t m_toMember = 0;
  wire::LeavingReport m_report;
};

// To the leader, which decides on rollouts.
struct ForwardRollouts
{
  int64_t m_toMember = 0;
  std::vector<wire::RolloutReport> m_reports;
};

// Tells the other control VMs that this one is stopping.
struct AnnounceStopping
{};

using NetMessage = std::variant<SendRaft,
                                SetPeers,
                                AddSeeds,
                                DistributeTree,
                                SetFreshness,
                                SetLeaving,
                                ForwardLeaving,
                                ForwardRollouts,
                                AnnounceStopping>;

// ---- Core to storage and back ----------------------------------------------

struct StorageJob
{
  // Reported when the job is synced. 0 for a job with nothing to report, whose
  // hard state, truncation and entries are ignored.
  uint64_t m_sequence = 0;
  std::optional<consensus::RaftSnapshot> m_snapshot;
  std::optional<consensus::HardState> m_hardState;
  int64_t m_truncateFrom = 0;
  std::vector<wire::LogEntry> m_append;
  int64_t m_compactTo = 0;
  int64_t m_clusterIdHash = 0; // for the identity file; 0 for none
};

struct StorageReport
{
  uint64_t m_sequence = 0; // this job and all earlier ones are synced
};

// ---- HTTP to core and back -------------------------------------------------

// Identifies an HTTP request that waits for its answer. Grows with each call.
using CallId = uint64_t;

struct ReadCall
{
  CallId m_callId = 0;
  // The operator acts on the answer, so the leader gives it only once the group
  // keeps what it tells after the loss of as many disks as it tolerates.
  bool m_mustSurvive = false;
  const registry::OperatorFormat* m_format = nullptr; // with m_mustSurvive
};

struct AcceptCall
{
  CallId m_callId = 0;
  std::string m_target; // of the HTTP request, for a redirect to the leader
  wire::Change m_change;
  const registry::OperatorFormat* m_format = nullptr; // for the answer
};

struct MemberCall
{
  CallId m_callId = 0;
  std::string m_target; // of the HTTP request, for a redirect to the leader
  registry::MemberRequest m_request;
};

// An order of a rollout, or of its end. The answer to it has the form of the
// result of a change.
struct RolloutCall
{
  CallId m_callId = 0;
  std::string m_target; // of the HTTP request, for a redirect to the leader
  rollout::OrderRequest m_request;
  bool m_stops = false; // the rollout of the service; only the service is given
  const registry::OperatorFormat* m_format = nullptr; // for the answer
};

using ApiCall = std::variant<ReadCall, AcceptCall, MemberCall, RolloutCall>;

using RegistryViewPtr = std::shared_ptr<const registry::RegistryView>;

struct ReadAnswer
{
  CallId m_callId = 0;
  RegistryViewPtr m_registry;
  registry::ClusterView m_cluster; // m_nodes is empty
};

struct CallAnswer
{
  CallId m_callId = 0;
  registry::ApiReply m_reply;
};

// State of the core for /healthz and /metrics, sent every 100 ms.
struct CoreSummary
{
  TimePoint m_takenAt;
  consensus::Role m_role = consensus::Role::Follower;
  int64_t m_term = 0;
  int64_t m_commitIndex = 0;
  int64_t m_appliedIndex = 0;
  Duration m_freshnessAge{};
  std::optional<Version> m_version;
  bool m_leaseHeld = false;
  size_t m_members = 0;
  uint64_t m_accepted = 0;
  uint64_t m_conflicts = 0;
  size_t m_runningRollouts = 0;
  uint64_t m_fullRollouts = 0; // steps that this VM proposed as the leader
  uint64_t m_completedRollouts = 0;
  uint64_t m_rolledBackRollouts = 0;
};

using HttpMessage = std::variant<ReadAnswer, CallAnswer, CoreSummary>;

// ---- Net to HTTP -----------------------------------------------------------

// State of fleet-wide quotas for /metrics.
struct QuotaSummary
{
  quota::FleetQuotasCounters m_counters;
  size_t m_limitedAccounts = 0;
  int m_fleetNodes = 0;
  double m_share = 1; // of the fleet that is heard from
};

// Sent every 500 ms.
struct NetSummary
{
  TimePoint m_takenAt;
  std::shared_ptr<const std::vector<distribution::NodeInfo>> m_nodes;
  distribution::NodeSessionsCounters m_counters;
  size_t m_currentNodes = 0;
  size_t m_endpoints = 0;
  size_t m_peers = 0;
  QuotaSummary m_quotas;
};

// ---- All channels ----------------------------------------------------------

// Raft keeps at most 8 appends in flight for each of 20 peers, so a capacity of
// 4,096 holds several rounds of messages. Operators' calls are refused while
// 1,024 of them wait for the core.
struct Channels
{
  Channel<CoreMessage> m_netToCore{ 4096 };
  Channel<NetMessage> m_coreToNet{ 4096 };
  Channel<StorageJob> m_coreToStorage{ 4096 };
  Channel<StorageReport> m_storageToCore{ 4096 };
  Channel<ApiCall> m_httpToCore{ 1024 };
  Channel<HttpMessage> m_coreToHttp{ 4096 };
  Channel<NetSummary> m_netToHttp{ 64 };
};

} // namespace wigeonfold::control
