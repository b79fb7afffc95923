// Sessions, heartbeats and freshness. Configuration and endpoint updates are in
// NodeUpdates.cpp.
#include "wigeonfold/distribution/NodeSessions.h"

#include "EncodeShared.h"

#include <algorithm>

namespace wigeonfold::distribution {

using wire::FrameType;

namespace {

// Freshness age reported until this control VM has been confirmed as current
// for the first time.
constexpr std::chrono::hours kNeverCurrentAge{ 24 };

std::optional<Version> ToVersion(bool aIsSet, const wire::WireVersion& aVersion)
{
  return aIsSet ? std::optional<Version>(wire::FromWire(aVersion))
                : std::nullopt;
}

} // namespace

NodeSessions::NodeSessions(NodeSessionsOptions aOptions,
                           discovery::EndpointTable& aTable,
                           uint64_t aSeed,
                           quota::FleetQuotas* aQuotas)
  : m_options(aOptions)
  , m_table(aTable)
  , m_quotas(aQuotas)
  , m_random(aSeed)
  , m_helloLimit(aOptions.m_helloRate, aOptions.m_helloBurst)
  , m_floors(aOptions.m_maxFloors)
{
}

NodeActions NodeSessions::TakeActions()
{
  NodeActions actions;
  actions.swap(m_actions);
  return actions;
}

void NodeSessions::Send(NodeSessionId aSession,
                        wire::FrameType aType,
                        Payload aPayload)
{
  m_counters.m_bytesSent += wire::kFrameHeaderBytes + aPayload->size();
  m_actions.emplace_back(SendToNode{ aSession, aType, std::move(aPayload) });
}

// ---- Connections -----------------------------------------------------------

void NodeSessions::OnOpened(NodeSessionId aSession, TimePoint aNow)
{
  Session session;
  session.m_id = aSession;
  session.m_lastFrame = aNow;
  m_sessions.emplace(aSession, std::move(session));
}

void NodeSessions::RemoveSession(std::map<NodeSessionId, Session>::iterator aAt,
                                 TimePoint aNow)
{
  Session& session = aAt->second;
  ClearConfigInFlight(session);
  ClearEndpointsInFlight(session);
  const auto named = m_byName.find(session.m_info.m_nodeName);
  if (named != m_byName.end() && named->second == session.m_id) {
    m_table.LoseSession(named->first, aNow);
    if (m_quotas != nullptr) {
      m_quotas->ForgetNode(named->first);
    }
    m_byName.erase(named);
  }
  m_sessions.erase(aAt);
}

void NodeSessions::OnClosed(NodeSessionId aSession, TimePoint aNow)
{
  const auto found = m_sessions.find(aSession);
  if (found != m_sessions.end()) {
    RemoveSession(found, aNow);
  }
}

void NodeSessions::Close(NodeSessionId aSession,
                         bool aAfterWrites,
                         std::string aReason,
                         TimePoint aNow)
{
  m_actions.emplace_back(
    CloseNode{ aSession, aAfterWrites, std::move(aReason) });
  OnClosed(aSession, aNow);
}

NodeActions NodeSessions::OnFrame(NodeSessionId aSession,
                                  const wire::Frame& aFrame,
                                  TimePoint aNow)
{
  m_counters.m_bytesReceived +=
    wire::kFrameHeaderBytes + aFrame.m_payload.size();
  const auto found = m_sessions.find(aSession);
  if (found != m_sessions.end()) {
    found->second.m_lastFrame = aNow;
    if (!Dispatch(found->second, aFrame, aNow)) {
      Close(aSession, false, "malformed or unexpected frame", aNow);
    }
  }
  return TakeActions();
}

bool NodeSessions::Dispatch(Session& aSession,
                            const wire::Frame& aFrame,
                            TimePoint aNow)
{
  const std::string& peer = aSession.m_info.m_nodeName;
  switch (aFrame.m_type) {
    case FrameType::NodeHello: {
      const auto hello = wire::Decode<wire::NodeHello>(aFrame.m_payload, peer);
      return hello && Handle(aSession, hello.value(), aNow);
    }
    case FrameType::Announce: {
      const auto message = wire::Decode<wire::Announce>(aFrame.m_payload, peer);
      return message && Handle(aSession, message.value(), aNow);
    }
    case FrameType::NodeStatus: {
      const auto status =
        wire::Decode<wire::NodeStatus>(aFrame.m_payload, peer);
      return status && Handle(aSession, status.value(), aNow);
    }
    default:
      return false;
  }
}

// ---- Hello -----------------------------------------------------------------

bool NodeSessions::Handle(Session& aSession,
                          const wire::NodeHello& aHello,
                          TimePoint aNow)
{
  if (aHello.nodeName.empty()) {
    return false;
  }
  if (!Admit(aSession, aHello, aNow)) {
    return true;
  }
  if (aHello.probe) {
    ++m_counters.m_probes;
    SendHelloReply(aSession, aHello.nodeName, aNow);
    return true;
  }
  Establish(aSession, aHello, aNow);
  return true;
}

bool NodeSessions::Admit(Session& aSession,
                         const wire::NodeHello& aHello,
                         TimePoint aNow)
{
  ++m_counters.m_hellos;
  std::optional<Duration> wait = m_helloLimit.Acquire(aNow);
  const bool known = m_byName.count(aHello.nodeName) > 0;
  const bool sessionsFull =
    !known && m_byName.size() >= m_options.m_maxSessions;
  const bool transfersFull =
    !aHello.probe && FullTransfers() >= m_options.m_maxFullTransfers &&
    (!aHello.__isset.held || aHello.endpointSource != m_table.Source());
  if (!wait && (sessionsFull || transfersFull)) {
    wait = m_helloLimit.NextSlot(aNow);
  }
  if (!wait) {
    return true;
  }
  ++m_counters.m_shedHellos;
  const NodeSessionId id = aSession.m_id;
  SendRetryLater(id, *wait);
  Close(id, true, "no capacity", aNow);
  return false;
}

void NodeSessions::SendRetryLater(NodeSessionId aSession, Duration aAfter)
{
  wire::RetryLater retry;
  retry.afterMs = ToMilliseconds(aAfter);
  Send(aSession, FrameType::RetryLater, EncodeShared(retry));
}

void NodeSessions::Supersede(const std::string& aNodeName, NodeSessionId aBy)
{
  const auto named = m_byName.find(aNodeName);
  if (named == m_byName.end() || named->second == aBy) {
    return;
  }
  const auto old = m_sessions.find(named->second);
  m_actions.emplace_back(CloseNode{ named->second, false, "superseded" });
  ClearConfigInFlight(old->second);
  ClearEndpointsInFlight(old->second);
  m_sessions.erase(old);
}

void NodeSessions::Establish(Session& aSession,
                             const wire::NodeHello& aHello,
                             TimePoint aNow)
{
  Supersede(aHello.nodeName, aSession.m_id);
  m_byName[aHello.nodeName] = aSession.m_id;
  ClearConfigInFlight(aSession);
  ClearEndpointsInFlight(aSession);
  aSession.m_established = true;
  aSession.m_info = NodeInfo();
  aSession.m_info.m_nodeName = aHello.nodeName;
  aSession.m_info.m_nodeEpoch = aHello.nodeEpoch;
  aSession.m_info.m_reportedAt = aNow;
  aSession.m_info.m_availabilityZone = aHello.availabilityZone;
  aSession.m_confirmed = ToVersion(aHello.__isset.held, aHello.held);
  aSession.m_info.m_inForce = aSession.m_confirmed;
  aSession.m_fullRequested = false;
  aSession.m_endpointSource = aHello.endpointSource;
  aSession.m_endpointCursor = aHello.endpointCursor;
  aSession.m_nextEndpoints = aNow;
  // A random first delay keeps nodes that connected together from getting all
  // their heartbeats at the same time.
  const auto fraction = static_cast<double>(m_random() % 1000) / 1000;
  aSession.m_nextHeartbeat = aNow + std::chrono::duration_cast<Duration>(
                                      m_options.m_heartbeat * fraction);
  m_table.RenewSession(aHello.nodeName);
  SendHelloReply(aSession, aHello.nodeName, aNow);
  // Before the confirmation that makes the node ready.
  aSession.m_crashesSent = 0;
  SendCrashes(aSession, aNow);
  if (aSession.m_confirmed) {
    m_floors.Raise(aHello.nodeName, *aSession.m_confirmed);
  }
  SendUpdates(aSession, aNow);
}

void NodeSessions::SendHelloReply(const Session& aSession,
                                  const std::string& aNodeName,
                                  TimePoint aNow)
{
  wire::HelloReply reply;
  reply.memberId = m_options.m_memberId;
  if (const auto floor = m_floors.Find(aNodeName)) {
    reply.__set_floor(wire::ToWire(*floor));
  }
  reply.freshnessAgeMs = ToMilliseconds(FreshnessAge(aNow));
  reply.greatestNodeEpoch = m_table.GreatestEpoch(aNodeName);
  reply.controlVms = m_controlVms;
  const wire::EndpointRecord* record = m_table.Find(aNodeName);
  if (record != nullptr && record->__isset.leaving) {
    reply.__set_leaving(record->leaving);
  }
  reply.storesLeaving = true;
  Send(aSession.m_id, FrameType::HelloReply, EncodeShared(reply));
}

// ---- Announcements and status ----------------------------------------------

bool NodeSessions::Handle(Session& aSession,
                          const wire::Announce& aMessage,
                          TimePoint aNow)
{
  if (!aSession.m_established ||
      aMessage.endpoint.nodeName != aSession.m_info.m_nodeName ||
      aMessage.endpoint.serviceName.empty()) {
    return false;
  }
  m_table.Announce(aMessage.endpoint, aNow);
  return true;
}

bool NodeSessions::Handle(Session& aSession,
                          const wire::NodeStatus& aStatus,
                          TimePoint aNow)
{
  if (!aSession.m_established) {
    return false;
  }
  NodeInfo& info = aSession.m_info;
  info.m_bytesReceived = aStatus.controlBytesReceived;
  info.m_bytesSent = aStatus.controlBytesSent;
  info.m_reportedAt = aNow;
  info.m_belowFloor = aStatus.belowFloor;
  info.m_inForce = ToVersion(aStatus.__isset.inForce, aStatus.inForce);
  RecordRefusal(aSession, aStatus);
  ReportLeaving(aSession, aStatus, aNow);
  ReportRollouts(aSession, aStatus);
  if (aStatus.__isset.crashes) {
    m_crashes.Merge(aStatus.crashes, aNow);
    ShareCrashes(aNow);
  }
  if (m_quotas != nullptr && aStatus.__isset.usage) {
    m_quotas->OnUsage(info.m_nodeName, aStatus.usage, aNow);
  }
  if (info.m_inForce) {
    m_floors.Raise(info.m_nodeName, *info.m_inForce);
  }
  UpdateConfirmed(aSession, aStatus);
  SendUpdates(aSession, aNow);
  if (aStatus.__isset.confirm) {
    SendConfirmation(aSession, aStatus.confirm, aNow);
  }
  return true;
}

void NodeSessions::SendConfirmation(const Session& aSession,
                                    int64_t aNumber,
                                    TimePoint aNow)
{
  wire::Heartbeat beat = MakeHeartbeat(aNow);
  beat.__set_confirm(aNumber);
  if (m_tree && m_currentAsOf) {
    // Ages of other fields are rounded down; this one bounds a permission.
    beat.__set_currentAgeMs(ToMilliseconds(aNow - *m_currentAsOf) + 1);
  }
  AddLeaving(beat, aSession.m_info.m_nodeName);
  Send(aSession.m_id, FrameType::Heartbeat, EncodeShared(beat));
}

void NodeSessions::RecordRefusal(Session& aSession,
                                 const wire::NodeStatus& aStatus)
{
  NodeInfo& info = aSession.m_info;
  const auto refused = ToVersion(aStatus.__isset.refused, aStatus.refused);
  if (refused && refused != info.m_refused) {
    ++m_counters.m_refusals;
    m_actions.emplace_back(
      NodeRefused{ info.m_nodeName, *refused, aStatus.refusal });
  }
  info.m_refused = refused;
  info.m_refusal = aStatus.refusal;
}

void NodeSessions::ReportLeaving(const Session& aSession,
                                 const wire::NodeStatus& aStatus,
                                 TimePoint aNow)
{
  const std::string& node = aSession.m_info.m_nodeName;
  const StoredLeaving& stored = LeavingOf(node);
  bool isStored = false;
  for (TargetStart& start : wire::FromWire(aStatus.leaving)) {
    if (Covers(stored.m_starts, start)) {
      isStored = !stored.m_isPending;
    } else {
      m_actions.emplace_back(LeavingReported{ node, std::move(start) });
    }
  }
  if (isStored) {
    // The heartbeat that said so was lost with an earlier session.
    SendLeaving(aSession, aNow);
  }
}

void NodeSessions::ReportRollouts(const Session& aSession,
                                  const wire::NodeStatus& aStatus)
{
  if (!m_rolloutReports) {
    return;
  }
  wire::RolloutReport report;
  report.nodeName = aSession.m_info.m_nodeName;
  report.nodeEpoch = aSession.m_info.m_nodeEpoch;
  report.stats = aStatus.versionStats;
  if (aStatus.__isset.inForce) {
    report.__set_inForce(aStatus.inForce);
  }
  m_actions.emplace_back(RolloutReported{ std::move(report) });
}

void NodeSessions::SendLeaving(const Session& aSession, TimePoint aNow)
{
  wire::Heartbeat beat = MakeHeartbeat(aNow);
  AddLeaving(beat, aSession.m_info.m_nodeName);
  Send(aSession.m_id, FrameType::Heartbeat, EncodeShared(beat));
}

void NodeSessions::AddLeaving(wire::Heartbeat& aBeat,
                              const std::string& aNodeName) const
{
  const StoredLeaving& leaving = LeavingOf(aNodeName);
  aBeat.__set_leaving(wire::ToWire(leaving.m_starts));
  aBeat.leavingPending = leaving.m_isPending;
}

const StoredLeaving& NodeSessions::LeavingOf(const std::string& aNodeName) const
{
  static const StoredLeaving kNone;
  const auto found = m_leaving.find(aNodeName);
  return found == m_leaving.end() ? kNone : found->second;
}

NodeActions NodeSessions::SetLeaving(const std::string& aNodeName,
                                     StoredLeaving aLeaving,
                                     TimePoint aNow)
{
  if (aLeaving.m_starts.empty()) {
    m_leaving.erase(aNodeName);
    return {};
  }
  m_leaving[aNodeName] = std::move(aLeaving);
  const auto named = m_byName.find(aNodeName);
  if (named != m_byName.end()) {
    SendLeaving(m_sessions.at(named->second), aNow);
  }
  return TakeActions();
}

// ---- Requests that may have ended targets ----------------------------------

NodeActions NodeSessions::MergeCrashes(
  const std::vector<wire::CrashRecord>& aRecords,
  TimePoint aNow)
{
  m_crashes.Merge(aRecords, aNow);
  ShareCrashes(aNow);
  return TakeActions();
}

void NodeSessions::ShareCrashes(TimePoint aNow)
{
  for (auto& [id, session] : m_sessions) {
    if (session.m_established) {
      SendCrashes(session, aNow);
    }
  }
}

void NodeSessions::SendCrashes(Session& aSession, TimePoint aNow)
{
  if (aSession.m_crashesSent == m_crashes.Revision()) {
    return;
  }
  wire::Heartbeat beat = MakeHeartbeat(aNow);
  beat.__set_crashes(m_crashes.Since(aSession.m_crashesSent, aNow));
  aSession.m_crashesSent = m_crashes.Revision();
  Send(aSession.m_id, FrameType::Heartbeat, EncodeShared(beat));
}

// ---- Confirmation of updates -----------------------------------------------

void NodeSessions::UpdateConfirmed(Session& aSession,
                                   const wire::NodeStatus& aStatus)
{
  aSession.m_confirmed = aSession.m_info.m_inForce;
  aSession.m_endpointSource = aStatus.endpointSource;
  aSession.m_endpointCursor = aStatus.endpointCursor;
  const auto& info = aSession.m_info;
  if (aStatus.resync) {
    ++m_counters.m_resyncs;
    aSession.m_fullRequested = aSession.m_fullRequested || aStatus.resyncFull;
    ClearConfigInFlight(aSession);
    ClearEndpointsInFlight(aSession);
    return;
  }
  const auto& config = aSession.m_configInFlight;
  if (config && (info.m_inForce >= config->m_target ||
                 info.m_refused == config->m_target)) {
    aSession.m_fullRequested = false;
    ClearConfigInFlight(aSession);
  }
  const auto& endpoints = aSession.m_endpointsInFlight;
  if (endpoints && aStatus.endpointSource == m_table.Source() &&
      aStatus.endpointCursor >= endpoints->m_cursor) {
    ClearEndpointsInFlight(aSession);
  }
}

// ---- Time and state --------------------------------------------------------

void NodeSessions::SetControlVms(std::vector<wire::ControlEndpoint> aVms)
{
  if (aVms != m_controlVms) {
    m_controlVms = std::move(aVms);
    ++m_controlVmsVersion;
  }
}

wire::Heartbeat NodeSessions::MakeHeartbeat(TimePoint aNow) const
{
  wire::Heartbeat beat;
  beat.freshnessAgeMs = ToMilliseconds(FreshnessAge(aNow));
  beat.newest = wire::ToWire(Newest().value_or(Version{}));
  return beat;
}

void NodeSessions::TickQuotas(TimePoint aNow)
{
  if (m_quotas == nullptr) {
    return;
  }
  m_quotas->SetSessions(static_cast<int>(m_byName.size()), aNow);
  if (m_quotas->Tick(aNow)) {
    for (auto& [id, session] : m_sessions) {
      session.m_nextHeartbeat = aNow;
    }
  }
}

NodeActions NodeSessions::OnTick(TimePoint aNow)
{
  m_crashes.Tick(aNow);
  TickQuotas(aNow);
  wire::Heartbeat beat = MakeHeartbeat(aNow);
  const Payload payload = EncodeShared(beat);
  Payload withVms; // encoded for the first session that needs the list
  std::vector<NodeSessionId> silent;
  for (auto& [id, session] : m_sessions) {
    if (aNow - session.m_lastFrame > m_options.m_silence) {
      silent.push_back(id);
      continue;
    }
    if (!session.m_established) {
      continue;
    }
    if (aNow >= session.m_nextHeartbeat) {
      session.m_nextHeartbeat = aNow + m_options.m_heartbeat;
      const bool knowsVms = session.m_controlVmsSent == m_controlVmsVersion;
      if (!knowsVms && !withVms) {
        beat.__set_controlVms(m_controlVms);
        withVms = EncodeShared(beat);
      }
      session.m_controlVmsSent = m_controlVmsVersion;
      if (m_quotas != nullptr && m_quotas->IsActive()) {
        wire::Heartbeat own = MakeHeartbeat(aNow);
        if (!knowsVms) {
          own.__set_controlVms(m_controlVms);
        }
        m_quotas->Fill(own, session.m_info.m_nodeName);
        Send(id, FrameType::Heartbeat, EncodeShared(own));
      } else {
        Send(id, FrameType::Heartbeat, knowsVms ? payload : withVms);
      }
    }
    SendUpdates(session, aNow);
  }
  for (const NodeSessionId id : silent) {
    Close(id, false, "silent", aNow);
  }
  return TakeActions();
}

NodeActions NodeSessions::SetTree(const settings::Tree& aTree, TimePoint aNow)
{
  if (m_tree && aTree.TreeVersion() <= m_tree->TreeVersion()) {
    return {};
  }
  m_tree = aTree;
  m_configCache.clear();
  for (auto& [id, session] : m_sessions) {
    SendUpdates(session, aNow);
  }
  return TakeActions();
}

NodeActions NodeSessions::SetFreshness(Duration aAge, TimePoint aNow)
{
  const bool isCurrent = aAge < kNeverCurrentAge;
  const bool regained =
    isCurrent && aAge + m_options.m_heartbeat < FreshnessAge(aNow);
  m_freshnessAge = aAge;
  m_freshnessAgeAt = aNow;
  m_hasBeenCurrent |= isCurrent;
  if (!regained) {
    return {};
  }
  for (auto& [id, session] : m_sessions) {
    session.m_nextHeartbeat = aNow;
  }
  return OnTick(aNow);
}

void NodeSessions::SetCurrentAsOf(std::optional<TimePoint> aTime)
{
  m_currentAsOf = std::max(m_currentAsOf, aTime);
}

Duration NodeSessions::FreshnessAge(TimePoint aNow) const
{
  if (m_freshnessAge > kNeverCurrentAge) {
    return kNeverCurrentAge;
  }
  return m_freshnessAge + std::max(aNow - m_freshnessAgeAt, Duration::zero());
}

NodeActions NodeSessions::CloseAll(Duration aSpread)
{
  const auto spread = std::max<int64_t>(ToMilliseconds(aSpread), 1);
  for (const auto& [id, session] : m_sessions) {
    const auto wait = static_cast<int64_t>(m_random() % spread);
    SendRetryLater(id, std::chrono::milliseconds(wait));
    m_actions.emplace_back(CloseNode{ id, true, "shutdown" });
  }
  m_sessions.clear();
  m_byName.clear();
  m_fullConfigs = 0;
  m_fullEndpoints = 0;
  return TakeActions();
}

// ---- Queries ---------------------------------------------------------------

std::optional<Version> NodeSessions::Newest() const
{
  return m_tree ? std::optional<Version>(m_tree->TreeVersion()) : std::nullopt;
}

std::vector<NodeInfo> NodeSessions::Nodes() const
{
  std::vector<NodeInfo> nodes;
  nodes.reserve(m_byName.size());
  for (const auto& [name, id] : m_byName) {
    nodes.push_back(m_sessions.at(id).m_info);
    nodes.back().m_updateInFlight =
      m_sessions.at(id).m_configInFlight.has_value();
  }
  return nodes;
}

size_t NodeSessions::UpToDateNodes() const
{
  const auto newest = Newest();
  return static_cast<size_t>(
    std::count_if(m_byName.begin(), m_byName.end(), [&](const auto& aNamed) {
      return newest && m_sessions.at(aNamed.second).m_info.m_inForce == newest;
    }));
}

} // namespace wigeonfold::distribution
