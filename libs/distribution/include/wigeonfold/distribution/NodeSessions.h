// Control VM side of distribution: what is sent to which node, and when.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/Floors.h"
#include "wigeonfold/distribution/HelloLimit.h"
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

// A control VM with a greater freshness age is not current.
inline constexpr std::chrono::seconds kMaxFreshnessAge{ 3 };

struct NodeSessionsOptions
{
  int64_t m_memberId = 0;
  // The data folder was empty at the start. Until it has caught up once, such a
  // control VM holds an arbitrarily old tree, so it sends none.
  bool m_startedEmpty = false;
  // After a start it does not know which of its last log entries were
  // committed, so its tree may be older than what nodes had in force. In this
  // time it sends none unless it was confirmed as current; later a zone that is
  // cut off has to go on with what it has.
  Duration m_unconfirmedWait{};
  TimePoint m_startedAt{};
  Duration m_heartbeat = std::chrono::seconds(1);
  // A session without a frame for this long is closed.
  Duration m_silence = std::chrono::seconds(4);
  // Endpoint changes to one node are gathered for this long.
  Duration m_endpointInterval = std::chrono::milliseconds(200);
  // An update that is not confirmed in this time is computed and sent anew.
  Duration m_confirmTimeout = std::chrono::seconds(5);
  // Full transfers of one kind that may be unconfirmed at the same time: 16
  // endpoint tables of 21,000 records (about 1.5 MB each) stay below 32 MB.
  size_t m_maxFullTransfers = 16;
  // Sessions; the design size is about 1,000 nodes for one control VM.
  size_t m_maxSessions = 4000;
  // Hellos taken a second, and in one burst.
  double m_helloRate = 500;
  double m_helloBurst = 200;
  // Node names whose floor is kept; twice the nodes of the design size.
  size_t m_maxFloors = 42000;
};

// ---- Actions ---------------------------------------------------------------

// Number of a connection, given by the caller; never reused.
using NodeSessionId = uint64_t;

struct SendToNode
{
  NodeSessionId m_session = 0;
  wire::FrameType m_type = wire::FrameType::Heartbeat;
  std::shared_ptr<const std::string> m_payload; // shared by many sessions
};

// Close the connection; no OnClosed follows.
struct CloseNode
{
  NodeSessionId m_session = 0;
  bool m_afterWrites = false; // a farewell is queued
  std::string m_reason;
};

// A node reports that it refuses a version, once per version and session.
struct NodeRefused
{
  std::string m_nodeName;
  Version m_version;
  std::string m_reason;
};

using NodeAction = std::variant<SendToNode, CloseNode, NodeRefused>;
using NodeActions = std::vector<NodeAction>;

// ---- Bookkeeping -----------------------------------------------------------

// State of one node as last reported.
struct NodeInfo
{
  std::string m_nodeName;
  std::string m_availabilityZone;
  std::optional<Version> m_inForce;
  std::optional<Version> m_refused;
  std::string m_refusal;
  int64_t m_bytesReceived = 0; // by the node, of control traffic
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
  // Most full transfers that were unconfirmed at the same time.
  size_t m_peakFullTransfers = 0;
};

// ---- Machine ---------------------------------------------------------------

// Each node has at most one unconfirmed configuration update and one
// unconfirmed endpoint update. The next one is computed from what the node has
// confirmed, so a slow node receives the newest state and not a queue of
// states. Deterministic; not thread safe. Every input returns the actions to
// carry out in order. Call OnTick every 50 to 100 ms.
class NodeSessions
{
public:
  // aTable must outlive the object; announcements are written to it. The caller
  // ticks it.
  NodeSessions(NodeSessionsOptions aOptions,
               discovery::EndpointTable& aTable,
               uint64_t aSeed);

  // ---- Connections ----
  void OnOpened(NodeSessionId aSession, TimePoint aNow);
  void OnClosed(NodeSessionId aSession, TimePoint aNow);
  // A malformed or unexpected frame closes the session.
  NodeActions OnFrame(NodeSessionId aSession,
                      const wire::Frame& aFrame,
                      TimePoint aNow);
  NodeActions OnTick(TimePoint aNow);

  // ---- State to distribute ----
  // The newest committed tree. An older one than the present is ignored.
  NodeActions SetTree(const settings::Tree& aTree, TimePoint aNow);
  // Time since this control VM was last confirmed as current. Nodes are told at
  // once when it has become current again.
  NodeActions SetFreshness(Duration aAge, TimePoint aNow);
  // Control VMs that are members; told to the nodes with the next heartbeat.
  void SetControlVms(std::vector<wire::ControlEndpoint> aVms);
  // While false, nodes keep the endpoints they have: a control VM that has just
  // started does not know the other control VMs' records yet.
  void SetEndpointsComplete(bool aComplete) { m_endpointsComplete = aComplete; }

  // Graceful shutdown: sends every node away, spread over aSpread.
  NodeActions CloseAll(Duration aSpread);

  // ---- Queries ----
  std::vector<NodeInfo> Nodes() const;
  size_t Count() const { return m_byName.size(); }
  const NodeSessionsCounters& Counters() const { return m_counters; }
  std::optional<Version> Newest() const;
  Duration FreshnessAge(TimePoint aNow) const;
  // Nodes whose reported version is the newest.
  size_t UpToDateNodes() const;

private:
  // An update that the node has not confirmed yet.
  struct InFlight
  {
    TimePoint m_sentAt;
    bool m_full = false;
  };
  struct ConfigFlight : InFlight
  {
    Version m_target;
  };
  struct EndpointFlight : InFlight
  {
    int64_t m_cursor = 0;
  };
  struct Session
  {
    uint64_t m_controlVmsSent = 0; // version of the list that the node has
    NodeSessionId m_id = 0;
    bool m_greeted = false;
    NodeInfo m_info;
    std::optional<Version> m_confirmed;
    bool m_wantsFull = false;
    std::optional<ConfigFlight> m_config;
    std::optional<EndpointFlight> m_endpoints;
    int64_t m_endpointSource = 0;
    int64_t m_endpointCursor = 0;
    TimePoint m_nextEndpoints;
    TimePoint m_nextHeartbeat;
    TimePoint m_lastFrame;
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

  bool Dispatch(Session& aSession, const wire::Frame& aFrame, TimePoint aNow);
  bool Handle(Session& aSession, const wire::NodeHello& aHello, TimePoint aNow);
  bool Handle(Session& aSession,
              const wire::Announce& aMessage,
              TimePoint aNow);
  bool Handle(Session& aSession,
              const wire::NodeStatus& aStatus,
              TimePoint aNow);
  bool Admit(Session& aSession, const wire::NodeHello& aHello, TimePoint aNow);
  void Greet(Session& aSession, const wire::NodeHello& aHello, TimePoint aNow);
  void Reply(const Session& aSession,
             const std::string& aNodeName,
             TimePoint aNow);
  void SendRetryLater(NodeSessionId aSession, Duration aAfter);
  void Supersede(const std::string& aNodeName, NodeSessionId aBy);
  void NoteRefusal(Session& aSession, const wire::NodeStatus& aStatus);
  void Confirm(Session& aSession, const wire::NodeStatus& aStatus);

  wire::Heartbeat MakeHeartbeat(TimePoint aNow) const;
  void SendUpdates(Session& aSession, TimePoint aNow);
  void SendConfig(Session& aSession, TimePoint aNow);
  void SendEndpoints(Session& aSession, TimePoint aNow);
  bool NeedsConfig(const Session& aSession, TimePoint aNow) const;
  bool NeedsFullEndpoints(const Session& aSession) const;
  const EncodedConfig& ConfigFrom(const std::optional<Version>& aBase);
  const EncodedEndpoints& EndpointsFrom(int64_t aSource, int64_t aCursor);
  size_t FullTransfers() const;
  void NoteFull(size_t& aCount);
  void EndConfig(Session& aSession);
  void EndEndpoints(Session& aSession);
  void Send(NodeSessionId aSession, wire::FrameType aType, Payload aPayload);
  void Close(NodeSessionId aSession,
             bool aAfterWrites,
             std::string aReason,
             TimePoint aNow);
  void Forget(std::map<NodeSessionId, Session>::iterator aAt, TimePoint aNow);
  NodeActions Take();

  const NodeSessionsOptions m_options;
  discovery::EndpointTable& m_table;
  std::mt19937_64 m_random;
  HelloLimit m_helloLimit;
  Floors m_floors;
  NodeActions m_actions;

  std::map<NodeSessionId, Session> m_sessions;
  std::map<std::string, NodeSessionId> m_byName;

  std::optional<settings::Tree> m_tree;
  Duration m_age = Duration::max();
  bool m_wasCurrent = false; // confirmed as current at least once
  TimePoint m_ageAt;
  std::vector<wire::ControlEndpoint> m_controlVms;
  uint64_t m_controlVmsVersion = 1;
  bool m_endpointsComplete = true;

  // Nodes that confirmed the same state receive the same bytes.
  std::map<std::optional<Version>, EncodedConfig> m_configCache;
  std::map<int64_t, EncodedEndpoints> m_endpointCache; // by base cursor
  int64_t m_endpointCacheCursor = -1;

  size_t m_fullConfigs = 0;
  size_t m_fullEndpoints = 0;
  NodeSessionsCounters m_counters;
};

} // namespace wigeonfold::distribution
