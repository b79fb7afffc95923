// Node side of distribution: keeps one session with a control VM and decides
// which configuration and endpoints are applied.
#pragma once

#include "wigeonfold/base/Backoff.h"
#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/Endpoints.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/Frame.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wigeonfold::distribution {

// ---- State -----------------------------------------------------------------

// What a node holds: settings and endpoints that were applied together.
struct NodeState
{
  settings::Tree m_tree;
  discovery::Endpoints m_endpoints;
};
using NodeStatePtr = std::shared_ptr<const NodeState>;

// ---- Options ---------------------------------------------------------------

struct ControlVm
{
  SocketAddress m_address;
  std::string m_availabilityZone;
};

struct SubscriberOptions
{
  std::string m_nodeName;
  // Greater than the epoch of every earlier start of this node; the start time
  // in microseconds will do.
  int64_t m_nodeEpoch = 0;
  std::string m_availabilityZone;
  std::vector<ControlVm> m_controlVms;

  Duration m_backoffBase = std::chrono::milliseconds(50);
  Duration m_backoffMax = std::chrono::seconds(5);
  // A control VM with a greater freshness age is left for a fresher one.
  Duration m_maxFreshnessAge = std::chrono::seconds(3);
  // Time after the first HelloReply in which version floors are collected.
  Duration m_floorWait = std::chrono::seconds(1);
  // Time after the first configuration, which names other nodes, in which these
  // are asked for their versions.
  Duration m_peerFloorWait = std::chrono::milliseconds(300);
  // Time without a fresh control VM after which a node below its floor serves.
  Duration m_floorTimeout = std::chrono::seconds(10);
  // A session without a frame for this long is closed.
  Duration m_silence = std::chrono::seconds(4);
  // Time after which an announcement must have come back with the endpoints.
  Duration m_announceTimeout = std::chrono::seconds(5);
  // Pause between two resync requests in one session.
  Duration m_resyncInterval = std::chrono::seconds(1);
};

// ---- Actions ---------------------------------------------------------------

// Identifies one connection attempt and the connection that follows from it.
using SessionId = uint64_t;

// Connect at m_at, then call OnConnected or OnClosed with the id.
struct ConnectTo
{
  SessionId m_session = 0;
  SocketAddress m_address;
  TimePoint m_at;
};

struct SendFrame
{
  SessionId m_session = 0;
  wire::FrameType m_type = wire::FrameType::NodeHello;
  std::string m_payload;
};

// Close the connection, or give up the attempt; no OnClosed follows.
struct CloseSession
{
  SessionId m_session = 0;
};

// Put this state in force with one pointer swap.
struct ApplyState
{
  NodeStatePtr m_state;
};

// A version failed its checks; the state in force is unchanged.
struct ReportRefusal
{
  Version m_version;
  std::string m_reason;
};

// Callers' traffic may be accepted from now on. m_belowFloor is set when no
// fresh control VM answered and the version held is below the floor.
struct BecomeReady
{
  std::optional<Version> m_floor;
  bool m_belowFloor = false;
};

using SubscriberAction = std::variant<ConnectTo,
                                      SendFrame,
                                      CloseSession,
                                      ApplyState,
                                      ReportRefusal,
                                      BecomeReady>;
using SubscriberActions = std::vector<SubscriberAction>;

// ---- Machine ---------------------------------------------------------------

// Checks a whole candidate before it is applied (schema, routing view). The
// error's detail is reported to the control VM.
using StateCheck = std::function<Status(const NodeState&)>;

// Deterministic; not thread safe. Every input returns the actions to carry out
// in order. Call OnTick every 100 ms.
class Subscriber
{
public:
  Subscriber(SubscriberOptions aOptions, StateCheck aCheck, uint64_t aSeed);

  SubscriberActions Start(TimePoint aNow);
  SubscriberActions OnConnected(SessionId aSession, TimePoint aNow);
  // The attempt failed or the peer closed the connection.
  SubscriberActions OnClosed(SessionId aSession, TimePoint aNow);
  // Frames of sessions that were closed meanwhile are ignored. A malformed
  // frame closes the session.
  SubscriberActions OnFrame(SessionId aSession,
                            const wire::Frame& aFrame,
                            TimePoint aNow);
  SubscriberActions OnTick(TimePoint aNow);

  // The node's own endpoint. nodeName, nodeEpoch, sequence and owner are filled
  // in here; a call with unchanged content sends nothing.
  SubscriberActions Announce(wire::EndpointRecord aEndpoint, TimePoint aNow);

  // Further control VMs to try, such as seeds of a changed settings file. Known
  // addresses are left as they are.
  void AddControlVms(const std::vector<ControlVm>& aVms);

  // Version that another node reported in PeerHello.
  SubscriberActions OnPeerVersion(const Version& aVersion, TimePoint aNow);

  // ---- Queries ----
  // Nullptr before the first configuration was applied.
  const NodeStatePtr& State() const { return m_state; }
  std::optional<Version> InForce() const;
  const std::optional<Version>& Floor() const { return m_floor; }
  bool IsReady() const { return m_ready; }
  bool HasSession() const { return m_main && m_main->m_established; }
  // Age that the control VM reported last, or absent without a session.
  std::optional<Duration> FreshnessAge() const;
  // Address of the control VM of the session, or of the attempt in progress.
  std::optional<SocketAddress> ControlAddress() const;
  const std::optional<Version>& Refused() const { return m_refused; }
  const std::string& Refusal() const { return m_refusal; }
  // Frame bytes of all sessions since the start.
  uint64_t ControlBytesReceived() const { return m_bytesReceived; }
  uint64_t ControlBytesSent() const { return m_bytesSent; }

private:
  struct Session
  {
    SessionId m_id = 0;
    size_t m_vm = 0; // index in m_candidates
    bool m_connected = false;
    bool m_established = false; // HelloReply received
    TimePoint m_lastFrame;
    Duration m_freshnessAge{};
    std::optional<TimePoint> m_lastResync;
    std::optional<TimePoint> m_lastFullResync;
  };
  struct Candidate
  {
    ControlVm m_vm;
    int m_failures = 0; // attempts that failed since the last session
    TimePoint m_lastProbe;
  };

  template<class T>
  void Send(const Session& aSession, wire::FrameType aType, const T& aMessage);
  void SendHello(const Session& aSession, bool aProbe);
  wire::NodeStatus MakeStatus() const;
  void SendStatus(TimePoint aNow);
  void AskResync(bool aFull, TimePoint aNow);
  void SendAnnouncement(TimePoint aNow);
  void CheckAnnouncement(TimePoint aNow);

  size_t ChooseVm(std::optional<size_t> aExcept);
  void Learn(const std::vector<wire::ControlEndpoint>& aVms);
  void ConnectMain(Duration aDelay, TimePoint aNow);
  void StartProbe(TimePoint aNow);
  void DropProbe(TimePoint aNow);
  void LoseMain(TimePoint aNow);

  void HandleMain(const wire::Frame& aFrame, TimePoint aNow);
  void HandleProbe(const wire::Frame& aFrame, TimePoint aNow);
  void Handle(const wire::HelloReply& aReply, TimePoint aNow);
  // Takes the branches out of aUpdate.
  void Handle(wire::ConfigUpdate& aUpdate, TimePoint aNow);
  void Handle(const wire::EndpointUpdate& aUpdate, TimePoint aNow);
  void Handle(const wire::Heartbeat& aBeat, TimePoint aNow);
  void Handle(const wire::RetryLater& aRetry, TimePoint aNow);
  template<class T>
  bool Dispatch(const wire::Frame& aFrame, TimePoint aNow);
  void RefuseDelta(const wire::ConfigUpdate& aUpdate,
                   const Error& aError,
                   TimePoint aNow);
  void Refuse(const Version& aVersion,
              const std::string& aReason,
              TimePoint aNow);
  void Apply(NodeState aState);
  void RaiseFloor(const Version& aVersion);
  bool IsConfirmed(const wire::Heartbeat& aBeat) const;
  void CheckReady(TimePoint aNow);
  void CheckFreshness(TimePoint aNow);
  void NoteFreshness(TimePoint aNow);
  SubscriberActions Take();

  const SubscriberOptions m_options;
  const StateCheck m_check;
  std::mt19937_64 m_random;
  Backoff m_backoff;
  Backoff m_probeBackoff;
  SubscriberActions m_actions;

  SessionId m_lastSession = 0;
  std::optional<Session> m_main;
  std::optional<Session> m_probe;
  TimePoint m_nextProbe;
  std::vector<Candidate> m_candidates;
  int64_t m_nodeEpoch = 0; // grows when the clock had gone back

  NodeStatePtr m_state;
  // Endpoints that arrived before the first configuration.
  discovery::Endpoints m_earlyEndpoints;
  int64_t m_endpointSource = 0;
  int64_t m_endpointCursor = 0;
  std::optional<Version> m_refused;
  std::string m_refusal;
  std::optional<wire::EndpointRecord> m_announced;
  int64_t m_sequence = 0;
  TimePoint m_nextAnnouncementCheck;

  std::optional<Version> m_floor;
  std::optional<TimePoint> m_floorEnd;
  std::optional<TimePoint> m_configuredAt; // first configuration
  // The state includes every version that was committed before the start, so
  // no earlier run of this node had a newer one.
  bool m_confirmed = false;
  TimePoint m_started;
  TimePoint m_lastFresh;
  bool m_ready = false;
  bool m_belowFloor = false;

  uint64_t m_bytesReceived = 0;
  uint64_t m_bytesSent = 0;
};

} // namespace wigeonfold::distribution
