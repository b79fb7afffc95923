#include "Network.h"

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kSummaryInterval = 500ms;
constexpr Duration kRolloutReportInterval = 200ms;
// A sync without changes is sent too, so that the others know that this VM is
// running.
constexpr Duration kSyncInterval = 1s;
// After this time nodes receive endpoints even if not all other control VMs
// were reached, since some may be down for long.
constexpr Duration kCompleteTimeout = 2s;
// Longer than an election in which one of three voters is slow to return.
constexpr Duration kUnconfirmedWait = 5s;
// When this VM stops, the reconnects of its nodes are spread over this time.
constexpr Duration kCloseSpread = 500ms;

std::vector<wire::ControlEndpoint> ToControlEndpoints(
  const wire::Membership& aMembership)
{
  std::vector<wire::ControlEndpoint> vms;
  for (const wire::Member& member : aMembership.members) {
    if (!member.nodeAddress.empty()) {
      wire::ControlEndpoint& vm = vms.emplace_back();
      vm.nodeAddress = member.nodeAddress;
      vm.availabilityZone = member.availabilityZone;
    }
  }
  return vms;
}

} // namespace

Network::Network(boost::asio::io_context& aIo,
                 const ControlSettings& aSettings,
                 int64_t aMemberId,
                 int64_t aIncarnation,
                 bool aStartedEmpty,
                 uint64_t aSeed,
                 Channels& aChannels,
                 EventLog& aLog)
  : m_io(aIo)
  , m_timer(aIo)
  , m_settings(aSettings)
  , m_channels(aChannels)
  , m_log(aLog)
  , m_table(aMemberId, aIncarnation, aSettings.m_endpoints)
  , m_quotas(aMemberId, aIncarnation, aLog)
  , m_sessions(
      [&] {
        auto options = aSettings.m_nodes;
        options.m_memberId = aMemberId;
        options.m_startedEmpty = aStartedEmpty;
        options.m_unconfirmedWait = kUnconfirmedWait;
        options.m_startedAt = Clock::now();
        return options;
      }(),
      m_table,
      aSeed,
      &m_quotas.Quotas())
  , m_peers(aIo,
            aSettings,
            aMemberId,
            aSeed + 1,
            aLog,
            PeerHandlers{
              [this](const wire::ControlHello& aHello,
                     std::optional<TimePoint> aDialedAt) {
                m_channels.m_netToCore.Push(HelloReceived{ aHello, aDialedAt });
              },
              [this](wire::RaftMessage aMessage) {
                m_channels.m_netToCore.TryPush(
                  RaftReceived{ std::move(aMessage) });
              },
              [this](const wire::EndpointSync& aSync,
                     const net::ConnectionPtr& aConnection) {
                OnSync(aSync, aConnection);
              },
              [this](const wire::LeavingReport& aReport) {
                m_channels.m_netToCore.TryPush(LeavingReceived{
                  aReport.nodeName, wire::FromWire(aReport.start), true });
              },
              [this](wire::RolloutReport aReport) {
                m_channels.m_netToCore.TryPush(
                  RolloutReportsReceived{ { std::move(aReport) }, true });
              },
              [this](const wire::QuotaSync& aSync) {
                m_quotas.Quotas().OnSync(aSync, Clock::now());
              } })
{
  m_sessions.SetEndpointsComplete(false);
}

Status Network::Start()
{
  m_startedAt = Clock::now();
  net::UseLinkFaults(m_io, m_settings.m_linkFaults);
  BOOST_OUTCOME_TRYV(m_peers.Start());
  BOOST_OUTCOME_TRYV(ListenForNodes());
  Schedule();
  return Ok();
}

void Network::Stop()
{
  m_stopped = true;
  m_timer.cancel();
  if (m_listener) {
    m_listener->Stop();
  }
  Execute(m_sessions.CloseAll(kCloseSpread));
  m_peers.Stop();
}

void Network::Schedule()
{
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode && !m_stopped) {
      Tick(Clock::now());
      Schedule();
    }
  });
}

void Network::Tick(TimePoint aNow)
{
  m_peers.Tick(aNow);
  m_table.Tick(aNow);
  SyncWithPeers(aNow);
  CheckEndpointsComplete(aNow);
  Execute(m_sessions.OnTick(aNow));
  PublishRollouts(aNow);
  m_quotas.Tick(m_peers, aNow);
  if (aNow >= m_nextSummary) {
    m_nextSummary = aNow + kSummaryInterval;
    PublishSummary(aNow);
    ReportShedNodes();
  }
  m_channels.m_netToCore.Flush();
}

void Network::Handle(NetMessage aMessage)
{
  if (auto* raft = std::get_if<SendRaft>(&aMessage)) {
    m_peers.SendRaft(std::move(raft->m_message));
  } else if (auto* peers = std::get_if<SetPeers>(&aMessage)) {
    m_peers.SetMembership(peers->m_membership);
    m_peers.SetClusterId(peers->m_clusterId);
    m_peers.SetLog(peers->m_hasLog, peers->m_formation);
    m_sessions.SetControlVms(ToControlEndpoints(peers->m_membership));
    m_quotas.SetMembers(peers->m_membership);
  } else if (auto* seeds = std::get_if<AddSeeds>(&aMessage)) {
    m_peers.AddSeeds(seeds->m_seeds);
  } else if (auto* tree = std::get_if<DistributeTree>(&aMessage)) {
    m_rolloutRunning = !rollout::RunningOrders(*tree->m_tree).empty();
    m_sessions.SetRolloutReports(m_rolloutRunning);
    m_quotas.SetTree(*tree->m_tree, Clock::now());
    Execute(m_sessions.SetTree(*tree->m_tree, Clock::now()));
  } else if (auto* age = std::get_if<SetFreshness>(&aMessage)) {
    m_sessions.SetCurrentAsOf(age->m_currentAsOf);
    Execute(m_sessions.SetFreshness(age->m_freshnessAge, age->m_measuredAt));
  } else if (auto* leaving = std::get_if<SetLeaving>(&aMessage)) {
    Execute(m_sessions.SetLeaving(
      leaving->m_nodeName,
      { std::move(leaving->m_starts), leaving->m_isPending },
      Clock::now()));
  } else if (auto* forward = std::get_if<ForwardLeaving>(&aMessage)) {
    m_peers.SendLeaving(forward->m_toMember, forward->m_report);
  } else if (auto* rollouts = std::get_if<ForwardRollouts>(&aMessage)) {
    for (const wire::RolloutReport& report : rollouts->m_reports) {
      m_peers.SendRollout(rollouts->m_toMember, report);
    }
  } else if (std::holds_alternative<AnnounceStopping>(aMessage)) {
    m_peers.SetStopping();
  }
}

// ---- Endpoint exchange -----------------------------------------------------

void Network::StartSync(int64_t aMember, const net::ConnectionPtr& aConnection)
{
  for (const wire::EndpointSync& sync : m_table.FullSyncFor(aMember)) {
    aConnection->Send(wire::FrameType::EndpointSync, sync);
  }
}

void Network::OnSync(const wire::EndpointSync& aSync,
                     const net::ConnectionPtr& aConnection)
{
  const TimePoint now = Clock::now();
  if (aSync.__isset.crashes) {
    Execute(m_sessions.MergeCrashes(aSync.crashes, now));
  }
  const auto answer = m_table.OnSync(aSync, now);
  if (!answer) {
    return;
  }
  if (answer->request) {
    m_log.Record(EventId::EndpointResync, { { "peer", aConnection->Peer() } });
  }
  aConnection->Send(wire::FrameType::EndpointSync, *answer);
}

// Endpoints and crash records.
void Network::SyncWithPeers(TimePoint aNow)
{
  const auto members = m_peers.MemberConnections();
  std::erase_if(m_syncs, [&members](const auto& aSync) {
    return members.count(aSync.first) == 0;
  });
  const discovery::CrashLedger& crashes = m_sessions.Crashes();
  for (const auto& [member, connection] : members) {
    SyncState& state = m_syncs[member];
    const bool newCrashes = state.m_crashes != crashes.Revision();
    if (state.m_connection != connection.get()) {
      state.m_connection = connection.get();
      state.m_crashes = 0;
      StartSync(member, connection);
    } else if (state.m_cursor != m_table.SyncCursor() || newCrashes ||
               aNow >= state.m_nextSync) {
      wire::EndpointSync sync = m_table.SyncSince(state.m_cursor);
      if (newCrashes) {
        sync.__set_crashes(crashes.Since(state.m_crashes, aNow));
        state.m_crashes = crashes.Revision();
      }
      connection->Send(wire::FrameType::EndpointSync, sync);
    } else {
      continue;
    }
    state.m_cursor = m_table.SyncCursor();
    state.m_nextSync = aNow + kSyncInterval;
  }
}

void Network::CheckEndpointsComplete(TimePoint aNow)
{
  // A peer's records arrive right after its hello. Waiting for at least one
  // summary interval gives them time.
  const bool timedOut = aNow - m_startedAt >= kCompleteTimeout;
  const bool allConnected =
    aNow - m_startedAt >= kSummaryInterval && m_peers.AllConnected();
  if (!m_endpointsComplete && (timedOut || allConnected)) {
    m_endpointsComplete = true;
    m_sessions.SetEndpointsComplete(true);
  }
}

void Network::PublishSummary(TimePoint aNow)
{
  NetSummary summary;
  summary.m_takenAt = aNow;
  summary.m_nodes = std::make_shared<const std::vector<distribution::NodeInfo>>(
    m_sessions.Nodes());
  summary.m_counters = m_sessions.Counters();
  summary.m_currentNodes = m_sessions.UpToDateNodes();
  summary.m_endpoints = m_table.Size();
  summary.m_peers = m_peers.MemberConnections().size();
  summary.m_quotas = m_quotas.Summary();
  m_channels.m_netToHttp.TryPush(std::move(summary));
  ConnectedPeers connected;
  for (const auto& [id, connection] : m_peers.MemberConnections()) {
    connected.m_ids.insert(id);
  }
  m_channels.m_netToCore.TryPush(std::move(connected));
}

void Network::ReportShedNodes()
{
  const uint64_t shed = m_sessions.Counters().m_shedHellos;
  if (shed != m_reportedShedHellos) {
    m_log.Record(EventId::NodesShed,
                 { { "count", std::to_string(shed - m_reportedShedHellos) } });
    m_reportedShedHellos = shed;
  }
}

// ---- Nodes -----------------------------------------------------------------

Status Network::ListenForNodes()
{
  auto listener = net::Listen(m_io,
                              m_settings.m_nodeListen,
                              NodeHandlers(),
                              [this](const net::ConnectionPtr& aConnection) {
                                const auto id = ++m_lastSessionId;
                                m_nodeConnections[id] = aConnection;
                                m_sessionIds[aConnection.get()] = id;
                                m_sessions.OnOpened(id, Clock::now());
                              });
  if (!listener) {
    return listener.error();
  }
  m_listener = std::move(listener.value());
  return Ok();
}

distribution::NodeSessionId Network::FindSessionId(
  const net::Connection* aConnection) const
{
  const auto found = m_sessionIds.find(aConnection);
  return found == m_sessionIds.end() ? 0 : found->second;
}

net::ConnectionHandlers Network::NodeHandlers()
{
  net::ConnectionHandlers handlers;
  handlers.m_onFrame = [this](const net::ConnectionPtr& aConnection,
                              const wire::Frame& aFrame) {
    const TimePoint now = Clock::now();
    const uint64_t crashes = m_sessions.Crashes().Revision();
    Execute(m_sessions.OnFrame(FindSessionId(aConnection.get()), aFrame, now));
    if (m_sessions.Crashes().Revision() != crashes) {
      SyncWithPeers(now);
    }
  };
  handlers.m_onClose = [this](const net::ConnectionPtr& aConnection,
                              const Error& aError) {
    const auto id = FindSessionId(aConnection.get());
    if (aError.m_code == ErrorCode::Protocol) {
      m_log.Record(EventId::ConnectionRejected,
                   { { "error", aError.ToString() } });
    }
    m_sessions.OnClosed(id, Clock::now());
    m_nodeConnections.erase(id);
    m_sessionIds.erase(aConnection.get());
  };
  return handlers;
}

void Network::Execute(const distribution::NodeActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aTyped) { Execute(aTyped); }, action);
  }
}

void Network::Execute(const distribution::SendToNode& aAction)
{
  const auto found = m_nodeConnections.find(aAction.m_session);
  if (found != m_nodeConnections.end()) {
    // A refused frame needs no handling: a connection that can't send is closed
    // once its node is silent for too long.
    found->second->SendFrame(aAction.m_type, *aAction.m_payload);
  }
}

void Network::Execute(const distribution::CloseNode& aAction)
{
  const auto found = m_nodeConnections.find(aAction.m_session);
  if (found != m_nodeConnections.end()) {
    m_sessionIds.erase(found->second.get());
    if (aAction.m_afterWrites) {
      found->second->CloseAfterWrites();
    } else {
      found->second->Close();
    }
    m_nodeConnections.erase(found);
  }
}

void Network::Execute(const distribution::LeavingReported& aAction)
{
  m_channels.m_netToCore.TryPush(
    LeavingReceived{ aAction.m_nodeName, aAction.m_start, false });
}

void Network::Execute(const distribution::RolloutReported& aAction)
{
  m_rolloutReports[aAction.m_report.nodeName] = aAction.m_report;
}

// Counts are cumulative, so a newer report of a node replaces an older one.
void Network::PublishRollouts(TimePoint aNow)
{
  if (!m_rolloutRunning) {
    m_rolloutReports.clear();
    return;
  }
  if (aNow >= m_nextFleet) {
    m_nextFleet = aNow + kSummaryInterval;
    m_channels.m_netToCore.TryPush(
      FleetObserved{ rollout::MakeFleet(m_table.Records()) });
  }
  if (m_rolloutReports.empty() || aNow < m_nextRolloutReports) {
    return;
  }
  m_nextRolloutReports = aNow + kRolloutReportInterval;
  RolloutReportsReceived received;
  for (auto& [node, report] : m_rolloutReports) {
    received.m_reports.push_back(std::move(report));
  }
  m_rolloutReports.clear();
  m_channels.m_netToCore.TryPush(std::move(received));
}

void Network::Execute(const distribution::NodeRefused& aAction)
{
  m_log.Record(EventId::NodeRefusedVersion,
               { { "node", aAction.m_nodeName },
                 { "version", ToString(aAction.m_version) },
                 { "reason", aAction.m_reason } });
}

} // namespace wigeonfold::control
