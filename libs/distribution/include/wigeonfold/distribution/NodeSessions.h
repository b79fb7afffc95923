// Control VM side of distribution: decides which updates are sent to which
// node, and when.
#pragma once

#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/CrashLedger.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/Floors.h"
#include "wigeonfold/distribution/HelloLimit.h"
#include "wigeonfold/quota/FleetQuotas.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/Frame.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wigeonfold::distribution {

// ---- Options ---------------------------------------------------------------

// A control VM whose freshness age is greater is not current.
inline constexpr std::chrono::seconds kMaxFreshnessAge{ 3 };

struct NodeSessionsOptions
{
  int64_t m_memberId = 0;
  // The data folder was empty at the start. Until such a control VM has caught
  // up once, its tree may be arbitrarily old, so it sends no configuration.
  bool m_startedEmpty = false;
  // Time after m_startedAt in which no configuration is sent unless this
  // control VM was confirmed as current. After a start it does not know which
  // of its last log entries were committed, so its tree may be older than what
  // nodes had in force. After this time it sends its tree anyway, so that nodes
  // in an isolated availability zone can still be served.
  Duration m_unconfirmedWait{};
  TimePoint m_startedAt{};
  Duration m_heartbeat = std::chrono::seconds(1);
  // A session without a frame for this long is closed.
  Duration m_silence = std::chrono::seconds(4);
  // Minimum time between two endpoint updates to one node; changes in between
  // are batched.
  Duration m_endpointInterval = std::chrono::milliseconds(200);
  // An update that is not confirmed in this time is recomputed and sent again.
  Duration m_confirmTimeout = std::chrono::seconds(5);
  // Maximum number of unconfirmed full transfers, counted separately for
  // configuration and endpoints. 16 endpoint tables of 21,000 records (about
  // 1.5 MB each) stay below 32 MB.
  size_t m_maxFullTransfers = 16;
  // The design size is about 1,000 nodes per control VM.
  size_t m_maxSessions = 4000;
  // Hellos accepted per second, and in one burst.
  double m_helloRate = 500;
  double m_helloBurst = 200;
  // Node names whose version floor is kept: twice the number of nodes in the
  // design size.
  size_t m_maxFloors = 42000;
};

// ---- Actions ---------------------------------------------------------------

// Identifies a connection. Assigned by the caller; never reused.
using NodeSessionId = uint64_t;

struct SendToNode
{
  NodeSessionId m_session = 0;
  wire::FrameType m_type = wire::FrameType::Heartbeat;
  std::shared_ptr<const std::string> m_payload; // shared between sessions
};

// Close the connection; the caller must not call OnClosed for it.
struct CloseNode
{
  NodeSessionId m_session = 0;
  bool m_afterWrites = false; // first write out the queued frames
  std::string m_reason;
};

// A node refused a version. Emitted once per version and session.
struct NodeRefused
{
  std::string m_nodeName;
  Version m_version;
  std::string m_reason;
};

// A node says that this start of its target leaves, and the start is not
// stored. Emitted for each status of the node until SetLeaving names the start.
struct LeavingReported
{
  std::string m_nodeName;
  TargetStart m_start;
};

// What a node says of the services with a running rollout. Emitted for each
// status of a node while SetRolloutReports is true.
struct RolloutReported
{
  wire::RolloutReport m_report;
};

// The leaving starts of a node's targets that the control VMs have stored.
struct StoredLeaving
{
  std::vector<TargetStart> m_starts; // oldest first
  // The group may still lose the newest together with a disk. They hold for a
  // node that starts, but no target is told yet that its leave is stored.
  bool m_isPending = false;
};

using NodeAction = std::
  variant<SendToNode, CloseNode, NodeRefused, LeavingReported, RolloutReported>;
using NodeActions = std::vector<NodeAction>;

// ---- Status ----------------------------------------------------------------

// State of one node as last reported.
struct NodeInfo
{
  std::string m_nodeName;
  int64_t m_nodeEpoch = 0;
  std::string m_availabilityZone;
  std::optional<Version> m_inForce;
  std::optional<Version> m_refused;
  std::string m_refusal;
  int64_t m_bytesReceived = 0; // control traffic, as counted by the node
  int64_t m_bytesSent = 0;
  bool m_belowFloor = false;
  bool m_updateInFlight = false;
  TimePoint m_reportedAt;
};

struct NodeSessionsCounters
{
  uint64_t m_hellos = 0;
  uint64_t m_shedHellos = 0;
  uint64_t m_probes = 0;
  uint64_t m_configDeltas = 0;
  uint64_t m_configFulls = 0;
  uint64_t m_endpointDeltas = 0;
  uint64_t m_endpointFulls = 0;
  uint64_t m_resyncs = 0;
  uint64_t m_refusals = 0;
  uint64_t m_bytesSent = 0; // payloads and frame headers
  uint64_t m_bytesReceived = 0;
  // Greatest number of full transfers of one kind unconfirmed at the same time.
  size_t m_peakFullTransfers = 0;
};

// ---- State machine ---------------------------------------------------------

// Each node has at most one unconfirmed configuration update and one
// unconfirmed endpoint update. The next one is computed from what the node has
// confirmed, so a slow node receives the newest state and not a backlog of
// intermediate ones. Deterministic; not thread safe. Every input returns the
// actions to execute, in order. Call OnTick every 50 to 100 ms.
class NodeSessions
{
public:
  // aTable and aQuotas must outlive the object. Announcements are written to
  // aTable; the caller calls its Tick. aQuotas gets the number of sessions and
  // the nodes' reports, and is ticked here; nullptr: there are no quotas.
  NodeSessions(NodeSessionsOptions aOptions,
               discovery::EndpointTable& aTable,
               uint64_t aSeed,
               quota::FleetQuotas* aQuotas = nullptr);

  // ---- Connections ----
  void OnOpened(NodeSessionId aSession, TimePoint aNow);
  void OnClosed(NodeSessionId aSession, TimePoint aNow);
  // A malformed or unexpected frame closes the session. Frames of unknown
  // sessions are ignored.
  NodeActions OnFrame(NodeSessionId aSession,
                      const wire::Frame& aFrame,
                      TimePoint aNow);
  NodeActions OnTick(TimePoint aNow);

  // ---- State to distribute ----
  // Sets the newest committed tree. A tree that is not newer than the one held
  // is ignored.
  NodeActions SetTree(const settings::Tree& aTree, TimePoint aNow);
  // Sets the freshness age: the time since this control VM was last confirmed
  // as current, Duration::max() if it never was. When the age drops by more
  // than a heartbeat interval, all nodes get a heartbeat at once.
  NodeActions SetFreshness(Duration aAge, TimePoint aNow);
  // Sets the time for which there is proof that the tree set last contains all
  // that was committed before it; see consensus::Raft::CurrentAsOf(). Nodes
  // that ask for a confirmation get its age, by which they extend the lease on
  // their configuration. An earlier time, or nothing, leaves the last one in
  // place.
  void SetCurrentAsOf(std::optional<TimePoint> aTime);
  // Sets the leaving starts of a node's targets that are stored. Call it for an
  // applied start before the SetFreshness that covers its entry: a node relies
  // on knowing all of them once it is confirmed.
  NodeActions SetLeaving(const std::string& aNodeName,
                         StoredLeaving aLeaving,
                         TimePoint aNow);
  // Takes over what another control VM knows of requests that may have ended
  // targets, and passes it on to the nodes.
  NodeActions MergeCrashes(const std::vector<wire::CrashRecord>& aRecords,
                           TimePoint aNow);
  // Whether a rollout is running, so that what nodes say of it is wanted.
  void SetRolloutReports(bool aWanted) { m_rolloutReports = aWanted; }
  // Sets the control VMs that are members. Nodes receive the list in the reply
  // to their hello and, after a change, with their next heartbeat.
  void SetControlVms(std::vector<wire::ControlEndpoint> aVms);
  // While false, no endpoint updates are sent and nodes keep the endpoints they
  // have. A control VM that has just started does not know the other control
  // VMs' records yet.
  void SetEndpointsComplete(bool aComplete) { m_endpointsComplete = aComplete; }

  // Graceful shutdown: closes every session after telling the node to reconnect
  // after a random delay shorter than aSpread.
  NodeActions CloseAll(Duration aSpread);

  // ---- Queries ----
  std::vector<NodeInfo> Nodes() const;
  // Nodes with an established session.
  size_t Count() const { return m_byName.size(); }
  const NodeSessionsCounters& Counters() const { return m_counters; }
  std::optional<Version> Newest() const;
  Duration FreshnessAge(TimePoint aNow) const;
  // Number of nodes that reported the newest version in force.
  size_t UpToDateNodes() const;
  // What the nodes and other control VMs reported.
  const discovery::CrashLedger& Crashes() const { return m_crashes; }

private:
  // An update that the node has not confirmed yet.
  struct InFlight
  {
    TimePoint m_sentAt;
    bool m_full = false;
  };
  struct ConfigInFlight : InFlight
  {
    Version m_target;
  };
  struct EndpointsInFlight : InFlight
  {
    int64_t m_cursor = 0;
  };
  struct Session
  {
    uint64_t m_controlVmsSent = 0; // m_controlVmsVersion that was sent last
    NodeSessionId m_id = 0;
    bool m_established = false; // hello accepted
    NodeInfo m_info;
    std::optional<Version> m_confirmed; // base of the next update
    bool m_fullRequested = false;
    std::optional<ConfigInFlight> m_configInFlight;
    std::optional<EndpointsInFlight> m_endpointsInFlight;
    // Endpoint update that the node has confirmed.
    int64_t m_endpointSource = 0;
    int64_t m_endpointCursor = 0;
    TimePoint m_nextEndpoints;
    TimePoint m_nextHeartbeat;
    TimePoint m_lastFrame;
    uint64_t m_crashesSent = 0; // revision of m_crashes
  };
  using Payload = std::shared_ptr<const std::string>;
  struct EncodedConfig
  {
    bool m_full = false;
    Payload m_payload;
  };
  struct EncodedEndpoints
  {
    bool m_full = false;
    int64_t m_cursor = 0;
    Payload m_payload;
  };

  // Dispatch and Handle return false when the session has to be closed because
  // of an invalid frame.
  bool Dispatch(Session& aSession, const wire::Frame& aFrame, TimePoint aNow);
  bool Handle(Session& aSession, const wire::NodeHello& aHello, TimePoint aNow);
  bool Handle(Session& aSession,
              const wire::Announce& aMessage,
              TimePoint aNow);
  bool Handle(Session& aSession,
              const wire::NodeStatus& aStatus,
              TimePoint aNow);
  // Sheds load: a node that can't be served now is told when to try again. That
  // is cheaper for both sides than a session whose first update has to wait.
  // Returns false when the session was closed.
  bool Admit(Session& aSession, const wire::NodeHello& aHello, TimePoint aNow);
  void Establish(Session& aSession,
                 const wire::NodeHello& aHello,
                 TimePoint aNow);
  void SendHelloReply(const Session& aSession,
                      const std::string& aNodeName,
                      TimePoint aNow);
  void SendRetryLater(NodeSessionId aSession, Duration aAfter);
  // Drops the older session of a node that has reconnected before the loss of
  // that session was noticed here.
  void Supersede(const std::string& aNodeName, NodeSessionId aBy);
  void RecordRefusal(Session& aSession, const wire::NodeStatus& aStatus);
  void ReportLeaving(const Session& aSession,
                     const wire::NodeStatus& aStatus,
                     TimePoint aNow);
  void ReportRollouts(const Session& aSession, const wire::NodeStatus& aStatus);
  void SendLeaving(const Session& aSession, TimePoint aNow);
  // Send what the sessions, or one of them, were not sent yet.
  void ShareCrashes(TimePoint aNow);
  void SendCrashes(Session& aSession, TimePoint aNow);
  void AddLeaving(wire::Heartbeat& aBeat, const std::string& aNodeName) const;
  const StoredLeaving& LeavingOf(const std::string& aNodeName) const;
  void UpdateConfirmed(Session& aSession, const wire::NodeStatus& aStatus);

  wire::Heartbeat MakeHeartbeat(TimePoint aNow) const;
  // Brings the heartbeats forward if an account became limited.
  void TickQuotas(TimePoint aNow);
  void SendConfirmation(const Session& aSession,
                        int64_t aNumber,
                        TimePoint aNow);
  void SendUpdates(Session& aSession, TimePoint aNow);
  void SendConfig(Session& aSession, TimePoint aNow);
  void SendEndpoints(Session& aSession, TimePoint aNow);
  bool NeedsConfig(const Session& aSession, TimePoint aNow) const;
  bool NeedsFullEndpoints(const Session& aSession) const;
  // Cached updates; a full one when there is no delta from the given base.
  const EncodedConfig& ConfigFrom(const std::optional<Version>& aBase);
  const EncodedEndpoints& EndpointsFrom(int64_t aSource, int64_t aCursor);
  // Unconfirmed full transfers; of the two kinds, the one that has more.
  size_t FullTransfers() const;
  void CountFullTransfer(size_t& aCount);
  void ClearConfigInFlight(Session& aSession);
  void ClearEndpointsInFlight(Session& aSession);
  void Send(NodeSessionId aSession, wire::FrameType aType, Payload aPayload);
  void Close(NodeSessionId aSession,
             bool aAfterWrites,
             std::string aReason,
             TimePoint aNow);
  void RemoveSession(std::map<NodeSessionId, Session>::iterator aAt,
                     TimePoint aNow);
  NodeActions TakeActions();

  const NodeSessionsOptions m_options;
  discovery::EndpointTable& m_table;
  quota::FleetQuotas* const m_quotas;
  std::mt19937_64 m_random;
  HelloLimit m_helloLimit;
  Floors m_floors;
  NodeActions m_actions;

  std::map<NodeSessionId, Session> m_sessions;
  std::map<std::string, NodeSessionId> m_byName;

  std::optional<settings::Tree> m_tree;
  Duration m_freshnessAge = Duration::max();
  bool m_hasBeenCurrent = false; // confirmed as current at least once
  TimePoint m_freshnessAgeAt;    // time of the call that set m_freshnessAge
  std::optional<TimePoint> m_currentAsOf; // see SetCurrentAsOf()
  std::vector<wire::ControlEndpoint> m_controlVms;
  uint64_t m_controlVmsVersion = 1;
  std::map<std::string, StoredLeaving> m_leaving; // by node name
  discovery::CrashLedger m_crashes;
  bool m_endpointsComplete = true;
  bool m_rolloutReports = false;

  // Encoded updates by the state they start from: nodes that confirmed the same
  // state receive the same bytes.
  std::map<std::optional<Version>, EncodedConfig> m_configCache;
  std::map<int64_t, EncodedEndpoints> m_endpointCache; // by base cursor
  int64_t m_endpointCacheCursor = -1; // table cursor the cache was built for

  size_t m_fullConfigs = 0; // unconfirmed full transfers
  size_t m_fullEndpoints = 0;
  NodeSessionsCounters m_counters;
};

} // namespace wigeonfold::distribution
