// Node side of distribution: keeps a session with one control VM and decides
// which configuration and endpoints to apply.
#pragma once

#include "wigeonfold/base/Backoff.h"
#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/CrashLedger.h"
#include "wigeonfold/discovery/Endpoints.h"
#include "wigeonfold/distribution/RolloutReports.h"
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

// ---- State -----------------------------------------------------------------

// The settings and endpoints of a node. They are applied together.
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
  // Must be greater than the epoch of every earlier start of this node, such as
  // the start time in microseconds.
  int64_t m_nodeEpoch = 0;
  std::string m_availabilityZone;
  std::vector<ControlVm> m_controlVms;

  Duration m_backoffBase = std::chrono::milliseconds(50);
  Duration m_backoffMax = std::chrono::seconds(5);
  // When the freshness age of the control VM exceeds this, the node looks for a
  // fresher one.
  Duration m_maxFreshnessAge = std::chrono::seconds(3);
  // Time after the first HelloReply in which version floors are collected. The
  // version floor is the newest version that an earlier run of this node may
  // have had in force; until m_floorTimeout the node does not serve with an
  // older one.
  Duration m_floorWait = std::chrono::seconds(1);
  // Time after the first configuration to wait for the versions of the nodes
  // that it names.
  Duration m_peerFloorWait = std::chrono::milliseconds(300);
  // A node that is below its floor, or knows no floor and isn't confirmed,
  // starts to serve after this time without a fresh control VM.
  Duration m_floorTimeout = std::chrono::seconds(10);
  // A session without a frame for this long is closed.
  Duration m_silence = std::chrono::seconds(4);
  // An announcement that has not come back with the endpoints after this time
  // is sent again.
  Duration m_announceTimeout = std::chrono::seconds(5);
  // Minimum time between two resync requests of one kind (delta or full) in a
  // session.
  Duration m_resyncInterval = std::chrono::seconds(1);
  // The state in force bounds permissions: each status asks the control VM for
  // proof of how current it is, and NoteCurrent is based on nothing else.
  bool m_proveCurrent = false;
};

// ---- Actions ---------------------------------------------------------------

// Identifies a connection attempt and the connection that results from it.
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

// Close the connection or cancel the attempt. The caller must not call OnClosed
// for it.
struct CloseSession
{
  SessionId m_session = 0;
};

// Put this state in force by swapping one pointer.
struct ApplyState
{
  NodeStatePtr m_state;
};

// A version failed its checks; the state in force did not change.
struct ReportRefusal
{
  Version m_version;
  std::string m_reason;
};

// The node may accept callers' traffic from now on. m_belowFloor is set when
// the version held is below the floor, or nobody could name one, and no control
// VM was fresh for m_floorTimeout.
struct BecomeReady
{
  std::optional<Version> m_floor;
  bool m_belowFloor = false;
  // A control VM that was current after this node's start confirmed it; all
  // starts whose leave was acknowledged before are known.
  bool m_confirmed = false;
};

// This start of the node's target leaves, as the node announced it before it
// was restarted. Precedes the first ApplyState of the session, and BecomeReady.
struct NoteLeaving
{
  TargetStart m_start;
  // The control VMs store it, so that no restart makes it forgotten.
  bool m_stored = false;
};

// Requests may have ended targets, as other nodes report.
struct NoteCrashes
{
  std::vector<wire::CrashRecord> m_records;
};

// A heartbeat with the size of the fleet and the limits of client accounts near
// their quotas, which replace the limits before.
struct NoteQuotas
{
  int m_nodes = 0;
  std::vector<wire::AccountLimit> m_limits;
};

// A state of at least this version contains all that was committed up to
// m_currentAsOf. With m_proveCurrent that is proven; otherwise it is an
// estimate by the heartbeat's arrival.
struct NoteCurrent
{
  TimePoint m_currentAsOf;
  Version m_version;
};

using SubscriberAction = std::variant<ConnectTo,
                                      SendFrame,
                                      CloseSession,
                                      ApplyState,
                                      ReportRefusal,
                                      BecomeReady,
                                      NoteLeaving,
                                      NoteCrashes,
                                      NoteQuotas,
                                      NoteCurrent>;
using SubscriberActions = std::vector<SubscriberAction>;

// ---- State machine ---------------------------------------------------------

// Checks a candidate state as a whole before it is applied (schema, routing
// view). The detail of the error is reported to the control VM.
using StateCheck = std::function<Status(const NodeState&)>;

// Deterministic; not thread safe. Every input returns the actions to execute,
// in order. Call OnTick every 100 ms.
//
// The main session receives the updates. While its control VM is not fresh, the
// node probes the others one at a time and moves to a fresher one.
class Subscriber
{
public:
  Subscriber(SubscriberOptions aOptions, StateCheck aCheck, uint64_t aSeed);

  // Call once. At least one control VM must be known by then.
  SubscriberActions Start(TimePoint aNow);
  SubscriberActions OnConnected(SessionId aSession, TimePoint aNow);
  // The connection attempt failed, or the peer closed the connection.
  SubscriberActions OnClosed(SessionId aSession, TimePoint aNow);
  // Frames of closed sessions are ignored. A malformed or unexpected frame
  // closes the session.
  SubscriberActions OnFrame(SessionId aSession,
                            const wire::Frame& aFrame,
                            TimePoint aNow);
  SubscriberActions OnTick(TimePoint aNow);

  // Announces the node's own endpoint. nodeName, nodeEpoch and sequence are
  // filled in here and owner is cleared. Nothing is sent if the content is
  // unchanged.
  SubscriberActions Announce(wire::EndpointRecord aEndpoint, TimePoint aNow);

  // A start of the node's target leaves. It is reported until the control VMs
  // have stored it, which a NoteLeaving says.
  SubscriberActions StoreLeaving(const TargetStart& aStart, TimePoint aNow);

  // Requests may have ended targets, as this node has seen. Sent to the control
  // VM of each session from now on.
  SubscriberActions ReportCrashes(
    const std::vector<wire::CrashRecord>& aRecords,
    TimePoint aNow);

  // The counts of all services with a running rollout since the node's start.
  // Call every 250 ms while one runs; a status is sent each time.
  SubscriberActions ReportVersionStats(
    std::vector<wire::VersionRouteStats> aStats,
    TimePoint aNow);

  // Requests of client accounts with a quota at this node. Added up and sent
  // with the next status.
  void AddUsage(const std::vector<wire::AccountUsage>& aUsage);

  // Adds control VMs to connect to, such as seeds from a changed settings file.
  // Known addresses are skipped. Beyond a maximum, the unused control VM with
  // the most failures is replaced.
  void AddControlVms(const std::vector<ControlVm>& aVms);

  // Raises the floor to a version that another node reported in PeerHello.
  SubscriberActions OnPeerVersion(const Version& aVersion, TimePoint aNow);

  // ---- Queries ----
  // Nullptr until the first configuration is applied.
  const NodeStatePtr& State() const { return m_state; }
  std::optional<Version> InForce() const;
  // Version floor as known when the node became ready, or so far.
  const std::optional<Version>& Floor() const { return m_floor; }
  bool IsReady() const { return m_ready; }
  bool HasSession() const { return m_main && m_main->m_established; }
  // Freshness age that the control VM reported last; nothing without a session.
  std::optional<Duration> FreshnessAge() const;
  // Address of the control VM that the node is connected or connecting to.
  std::optional<SocketAddress> ControlAddress() const;
  // Version refused last, with the reason in Refusal; cleared when a version is
  // applied.
  const std::optional<Version>& Refused() const { return m_refused; }
  const std::string& Refusal() const { return m_refusal; }
  // Requests that may have ended targets, as this node and others report.
  const discovery::CrashLedger& Crashes() const { return m_crashes; }
  // See RolloutReports.
  const std::optional<TimePoint>& CurrentAsOf() const
  {
    return m_rolloutReports.CurrentAsOf();
  }
  // Bytes of the frames of all sessions since the start, headers included.
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
    int m_failures = 0; // failures since its last session
    TimePoint m_lastProbe;
  };

  template<class T>
  void Send(const Session& aSession, wire::FrameType aType, const T& aMessage);
  void SendHello(const Session& aSession, bool aProbe);
  wire::NodeStatus MakeStatus() const;
  void AddCrashes(wire::NodeStatus& aStatus, TimePoint aNow);
  void MoveUsage(wire::NodeStatus& aStatus);
  void SendStatus(TimePoint aNow);
  void RequestResync(bool aFull, TimePoint aNow);
  void SendAnnouncement(TimePoint aNow);
  void OnStoredLeaving(std::vector<TargetStart> aStarts, bool aIsPending);
  // Reports all starts as stored if the control VM stores none.
  void SkipStoringLeaving();
  void CheckAnnouncement(TimePoint aNow);

  // Index of the candidate with the fewest failures. Among equals, those in the
  // node's own availability zone are preferred; the rest is random.
  size_t ChooseVm(std::optional<size_t> aExcept);
  void AddReportedVms(const std::vector<wire::ControlEndpoint>& aVms);
  void ConnectMain(Duration aDelay, TimePoint aNow);
  void StartProbe(TimePoint aNow);
  // Closes the probe, if there is one, and schedules the next.
  void CloseProbe(TimePoint aNow);
  // Counts a failure of the main session and schedules a new attempt.
  void ReconnectMain(TimePoint aNow);

  void HandleMain(const wire::Frame& aFrame, TimePoint aNow);
  void HandleProbe(const wire::Frame& aFrame, TimePoint aNow);
  void Handle(const wire::HelloReply& aReply, TimePoint aNow);
  // Moves the branches out of aUpdate.
  void Handle(wire::ConfigUpdate& aUpdate, TimePoint aNow);
  void Handle(const wire::EndpointUpdate& aUpdate, TimePoint aNow);
  void Handle(const wire::Heartbeat& aBeat, TimePoint aNow);
  void Handle(const wire::RetryLater& aRetry, TimePoint aNow);
  template<class T>
  bool Dispatch(const wire::Frame& aFrame, TimePoint aNow);
  void HandleBadUpdate(const wire::ConfigUpdate& aUpdate,
                       const Error& aError,
                       TimePoint aNow);
  void Refuse(const Version& aVersion,
              const std::string& aReason,
              TimePoint aNow);
  void Apply(NodeState aState);
  void RaiseFloor(const Version& aVersion);
  void NoteConfirmation(const wire::Heartbeat& aBeat);
  void NoteCurrentAsOf(const wire::Heartbeat& aBeat, TimePoint aNow);
  bool KnowsFloor(TimePoint aNow) const;
  void CheckReady(TimePoint aNow);
  void CheckFreshness(TimePoint aNow);
  void RecordFreshness(TimePoint aNow);
  SubscriberActions TakeActions();

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
  int64_t m_nodeEpoch = 0; // raised when the clock was set back

  NodeStatePtr m_state;
  // Endpoints that arrived before the first configuration.
  discovery::Endpoints m_earlyEndpoints;
  int64_t m_endpointSource = 0;
  int64_t m_endpointCursor = 0;
  std::optional<Version> m_refused;
  std::string m_refusal;
  // Own endpoint; epoch, sequence and owner are 0.
  std::optional<wire::EndpointRecord> m_announced;
  // Sent with announcements that name no leaving start themselves.
  std::optional<wire::TargetStart> m_leaving;
  std::vector<TargetStart> m_unstoredLeaving; // oldest first
  std::vector<TargetStart> m_storedLeaving;   // as the control VMs said last
  bool m_controlStoresLeaving = true;         // the session's control VM
  discovery::CrashLedger m_crashes;
  uint64_t m_crashesSent = 0; // revision of m_crashes, in this session
  RolloutReports m_rolloutReports;
  std::map<int32_t, wire::AccountUsage> m_usage; // not sent, by account hash
  int64_t m_sequence = 0;
  TimePoint m_nextAnnouncementCheck;

  std::optional<Version> m_floor;
  std::optional<TimePoint> m_floorWaitEnd;
  std::optional<TimePoint> m_configuredAt; // first configuration applied
  // A state with this version includes every one that was committed before the
  // start, so no earlier run of this node had a newer one in force.
  std::optional<Version> m_confirming;
  TimePoint m_startedAt;
  TimePoint m_lastFreshAt; // last report of a fresh control VM
  bool m_ready = false;
  bool m_belowFloor = false;

  uint64_t m_bytesReceived = 0;
  uint64_t m_bytesSent = 0;
};

} // namespace wigeonfold::distribution
