#include "DataPlane.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::node {

using namespace std::chrono_literals;

namespace {

// Deadlines and queue timeouts are noticed with a delay of up to this.
constexpr Duration kTickInterval = 10ms;
constexpr int kTicksPerSecond = 100;
constexpr int kTicksPerQuotaTick = 10;
// Maximum number of nodes that are asked for their version before this node is
// ready. More than one, since some may have stopped or just started too.
constexpr size_t kMaxQueriedPeers = 8;
constexpr int kTicksPerPeerCheck = 5;
// Callers' requests that are not answered yet, together. Bodies of a few KiB
// don't count.
constexpr size_t kMaxUnansweredBytes = size_t{ 32 } << 20;
// Time after the linger time to wait for idle peers to close their connections.
constexpr Duration kPeerCloseWait = 2s;

uint64_t SeedOf(const NodeSettings& aSettings, int64_t aNodeEpoch)
{
  return static_cast<uint64_t>(aNodeEpoch) ^
         std::hash<std::string>{}(aSettings.m_name);
}

// Limits on callers apply to all services, so they are set at the tree's root.
net::CallerLimits ReadCallerLimits(const settings::Tree& aTree)
{
  const auto bytes = [&aTree](const char* aKey) {
    return static_cast<size_t>(aTree.Integer("", aKey));
  };
  net::CallerLimits limits;
  limits.m_headBytes = bytes("caller.header-bytes");
  limits.m_bodyBytes = std::min(bytes("caller.body-bytes"), net::kMaxBodyBytes);
  limits.m_headTimeout = aTree.Time("", "caller.header-timeout");
  limits.m_idleTimeout = aTree.Time("", "caller.idle-timeout");
  return limits;
}

} // namespace

DataPlane::DataPlane(boost::asio::io_context& aIo,
                     const NodeSettings& aSettings,
                     std::unique_ptr<forwarding::Dialect> aDialect,
                     int64_t aNodeEpoch,
                     NodeMetrics& aMetrics,
                     EventLog& aLog,
                     Hooks aHooks)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_metrics(aMetrics)
  , m_log(aLog)
  , m_decisionLog(aLog)
  , m_hooks(std::move(aHooks))
  , m_dialect(std::move(aDialect))
  , m_identity{ aSettings.m_name, aNodeEpoch, std::nullopt }
  , m_link(aSettings.m_linkRate)
  , m_largeAnswers(m_link)
  , m_brokenAnswers(aMetrics, m_decisionLog)
  , m_target({ aSettings.m_name,
               aSettings.m_announceLease,
               aSettings.m_service,
               aSettings.m_maxReportDelay },
             admission::MakeQueue(aSettings.m_queue),
             MakeTargetPool(aIo, aSettings.m_targetConnectTimeout),
             *m_dialect,
             m_link,
             m_largeAnswers,
             m_crashLedger,
             m_brokenAnswers,
             m_decisionLog,
             [this] { AnnounceEndpoint(); })
  , m_rolloutSide(m_versionStats, aLog, m_hooks.m_onVersionStats)
  , m_peerClient(aIo,
                 m_identity,
                 aSettings.m_peerConnectTimeout,
                 SeedOf(aSettings, aNodeEpoch),
                 MakePeerClientHandlers())
  , m_quotas(SeedOf(aSettings, aNodeEpoch),
             aMetrics,
             m_decisionLog,
             [this](const QuotaStep::Usage& aUsage) {
               return !m_hooks.m_onUsage || m_hooks.m_onUsage(aUsage);
             })
  , m_authenticator(aSettings.m_keyLease,
                    m_target,
                    *m_dialect,
                    aMetrics,
                    m_decisionLog)
  , m_callerSide(
      aSettings.m_name,
      routing::Chooser(
        aSettings.m_availabilityZone,
        routing::MakePickStrategy(aSettings.m_pickStrategy,
                                  aSettings.m_availabilityZone,
                                  SeedOf(aSettings, aNodeEpoch)),
        routing::OwnTarget{ aSettings.m_name,
                            [this] { return m_target.HasFreeSlot(); } },
        routing::VersionFilter(SeedOf(aSettings, aNodeEpoch))),
      m_target,
      m_peerClient,
      *m_dialect,
      aMetrics,
      m_authenticator,
      m_link,
      m_crashLedger,
      m_versionStats,
      m_quotas,
      m_brokenAnswers,
      m_decisionLog)
  , m_peerServer(aIo,
                 m_identity,
                 SeedOf(aSettings, aNodeEpoch),
                 m_target,
                 m_link,
                 m_largeAnswers,
                 aLog,
                 [this](const Version& aVersion) { OnPeerVersion(aVersion); })
  , m_random(SeedOf(aSettings, aNodeEpoch))
  , m_tickTimer(aIo)
  , m_lingerTimer(aIo)
{
}

DataPlane::~DataPlane()
{
  *m_alive = false;
}

PeerClientHandlers DataPlane::MakePeerClientHandlers()
{
  PeerClientHandlers handlers;
  handlers.m_onWritten = [this](const forwarding::AttemptKey& aKey) {
    m_callerSide.OnWritten(aKey);
  };
  handlers.m_onEnded = [this](const forwarding::AttemptKey& aKey,
                              forwarding::Outcome aOutcome,
                              wire::CallResponse aResponse) {
    m_callerSide.OnPeerAnswer(aKey, aOutcome, std::move(aResponse));
  };
  handlers.m_onGoaway = [this](const std::string& aNodeName) {
    m_callerSide.OnGoaway(aNodeName);
  };
  handlers.m_onRejected = [this](const std::string& aNodeName,
                                 const std::string& aStep) {
    m_log.Record(EventId::ConnectionRejected,
                 { { "peer", aNodeName }, { "step", aStep } });
  };
  handlers.m_onUnreachable = [this](const std::string& aNodeName) {
    m_callerSide.OnUnreachable(aNodeName);
  };
  handlers.m_onReachable = [this](const std::string& aNodeName) {
    m_callerSide.OnReachable(aNodeName);
  };
  handlers.m_onSilent = [this](const forwarding::AttemptKey& aKey) {
    m_callerSide.OnSilent(aKey);
  };
  handlers.m_onPeerVersion = [this](const Version& aVersion) {
    OnPeerVersion(aVersion);
  };
  return handlers;
}

Status DataPlane::Start()
{
  net::UseLinkFaults(m_io, m_settings.m_linkFaults);
  if (auto status = m_peerServer.Listen(m_settings.m_peerListen); !status) {
    return status;
  }
  net::HttpLimits limits;
  limits.m_requestBudget =
    std::make_shared<net::ByteBudget>(kMaxUnansweredBytes);
  auto server = net::ServeHttp(
    m_io,
    m_settings.m_callerListen,
    [this](net::HttpRequest aRequest,
           net::HttpRespond aRespond,
           const net::HttpOnAbandon& aOnAbandon) {
      m_callerSide.OnRequest(
        std::move(aRequest), std::move(aRespond), aOnAbandon);
    },
    m_dialect->RejectFields(),
    limits,
    [this](const Error& aError) {
      m_log.Record(EventId::HandlerFailed, { { "error", aError.ToString() } });
    });
  if (!server) {
    return server.error();
  }
  m_callerServer = std::move(server.value());
  Tick();
  return Ok();
}

// ---- Inputs from other threads ---------------------------------------------

void DataPlane::OnView(const ViewUpdate& aUpdate)
{
  for (const KnownLeaving& leaving : aUpdate.m_leaving) {
    OnKnownLeaving(leaving);
  }
  m_crashLedger.Merge(aUpdate.m_crashes, Clock::now());
  if (aUpdate.m_view) {
    m_view = aUpdate.m_view;
    m_digest = aUpdate.m_digest;
    m_identity.m_inForce = m_view->Settings().TreeVersion();
    m_target.SetView(m_view, Clock::now());
    m_callerSide.SetView(m_view);
    m_authenticator.OnInForce(m_view->Settings().TreeVersion());
    m_quotas.SetView(m_view, Clock::now());
    m_rolloutSide.SetView(*m_view, Clock::now());
    m_callerServer->SetCallerLimits(ReadCallerLimits(m_view->Settings()));
  }
  if (aUpdate.m_currentAsOf) {
    m_callerSide.SetCurrentAsOf(*aUpdate.m_currentAsOf);
    m_rolloutSide.SetCurrentAsOf(*aUpdate.m_currentAsOf);
  }
  if (aUpdate.m_quotas) {
    m_quotas.OnNotice(*aUpdate.m_quotas, Clock::now());
  }
  if (aUpdate.m_confirmation) {
    m_authenticator.OnConfirmed(*aUpdate.m_confirmation);
  }
  if (aUpdate.m_ready && !m_ready) {
    m_ready = true;
    m_target.SetUsable(aUpdate.m_confirmed, Clock::now());
    m_callerSide.SetReady();
    m_log.Record(EventId::NodeReady, {});
  }
}

void DataPlane::OnKnownLeaving(const KnownLeaving& aLeaving)
{
  m_target.NoteLeaving(aLeaving.m_start, Clock::now());
  if (aLeaving.m_stored) {
    Answer(m_leaveAnswers.OnStored(aLeaving.m_start), true);
  }
}

void DataPlane::Answer(const std::vector<uint64_t>& aIds, bool aAcknowledged)
{
  for (const uint64_t id : aIds) {
    m_hooks.m_onAnswer({ id, aAcknowledged });
  }
}

void DataPlane::OnAnnouncement(const Announcement& aAnnouncement, uint64_t aId)
{
  const auto result = m_target.Announce(aAnnouncement, Clock::now());
  if (result != discovery::ReportResult::Applied) {
    m_log.Record(EventId::TargetReportIgnored,
                 { { "instance", aAnnouncement.m_instance },
                   { "sequence", std::to_string(aAnnouncement.m_sequence) },
                   { "reason", discovery::ToString(result) } });
  }
  const auto leaving = m_target.LeavingStartOf(aAnnouncement);
  if (!leaving || m_leaveAnswers.IsStored(*leaving)) {
    Answer({ aId }, true);
    return;
  }
  m_leaveAnswers.Wait(aId, *leaving, Clock::now());
  m_hooks.m_onLeaving(*leaving);
}

StatusReport DataPlane::Report(uint64_t aId) const
{
  StatusReport report;
  report.m_id = aId;
  report.m_ready = m_ready;
  report.m_stopping = m_stopping;
  report.m_calls = m_callerSide.ActiveCalls();
  report.m_peers = m_peerClient.Links() + m_peerServer.Connections();
  report.m_target = m_target.Status();
  if (m_view) {
    report.m_inForce = m_view->Settings().TreeVersion();
    report.m_digest = m_digest;
    report.m_services = m_view->Settings().Children("services").size();
    report.m_endpoints = m_view->EndpointCount();
  }
  return report;
}

// ---- The node's own endpoint ------------------------------------------------

void DataPlane::AnnounceEndpoint()
{
  const auto& target = m_target.Announced();
  if (!target) {
    return;
  }
  const TargetState state = m_target.State();
  wire::EndpointRecord record;
  record.serviceName = target->m_service;
  record.availabilityZone = m_settings.m_availabilityZone;
  record.nodeAddress = ToString(m_settings.m_peerAddress);
  record.slots = target->m_slots;
  if (!target->m_softwareVersion.empty()) {
    record.__set_softwareVersion(target->m_softwareVersion);
  }
  record.state = state == TargetState::Ready ? wire::EndpointState::Ready
                                             : wire::EndpointState::Draining;
  if (const auto leaving = m_target.LastLeaving()) {
    record.__set_leaving(wire::ToWire(*leaving));
    if (!m_leaveAnswers.IsStored(*leaving)) {
      m_hooks.m_onLeaving(*leaving);
    }
  }
  if (state != m_lastTargetState) {
    m_lastTargetState = state;
    m_log.Record(EventId::TargetStateChanged,
                 { { "service", target->m_service },
                   { "state", ToString(state) },
                   { "instance", target->m_instance } });
  }
  m_announcePending = !m_hooks.m_onEndpoint(std::move(record));
}

void DataPlane::OnPeerVersion(const Version& aVersion)
{
  const bool isNewer = !m_identity.m_inForce ||
                       std::less<Version>()(*m_identity.m_inForce, aVersion);
  if (isNewer) {
    m_hooks.m_onPeerVersion(aVersion);
  }
}

void DataPlane::ShareCrashes(TimePoint aNow)
{
  const uint64_t revision = m_crashLedger.Revision();
  if (revision != m_sharedCrashes && m_hooks.m_onCrashes &&
      m_hooks.m_onCrashes(m_crashLedger.Since(m_sharedCrashes, aNow))) {
    m_sharedCrashes = revision;
  }
}

// After a restart, a node must not serve an older version than before. A
// control VM that has just started may not know the newest version yet, so
// other nodes are asked too: connecting to a node exchanges versions.
void DataPlane::QueryPeerVersions()
{
  if (m_ready || !m_view) {
    return;
  }
  std::vector<const routing::Endpoint*> others;
  for (const std::string& name : m_view->Settings().Children("services")) {
    for (const routing::Endpoint& endpoint : m_view->Find(name)->m_endpoints) {
      if (endpoint.m_nodeName != m_settings.m_name &&
          m_queriedPeers.count(endpoint.m_nodeName) == 0) {
        others.push_back(&endpoint);
      }
    }
  }
  std::shuffle(others.begin(), others.end(), m_random);
  for (const routing::Endpoint* endpoint : others) {
    if (m_queriedPeers.size() >= kMaxQueriedPeers) {
      return;
    }
    m_queriedPeers.insert(endpoint->m_nodeName);
    m_peerClient.Connect(*endpoint);
  }
}

// ---- Timers ----------------------------------------------------------------

void DataPlane::Tick()
{
  const TimePoint now = Clock::now();
  m_target.Tick(now);
  m_callerSide.Tick(now);
  m_peerServer.Tick(now);
  Answer(m_leaveAnswers.TakeExpired(now), false);
  ShareCrashes(now);
  m_rolloutSide.Tick(now);
  if (m_announcePending) {
    AnnounceEndpoint();
  }
  ++m_ticks;
  if (m_ticks % kTicksPerPeerCheck == 0) {
    m_peerClient.Tick(now);
    QueryPeerVersions();
  }
  if (m_ticks % kTicksPerQuotaTick == 0) {
    m_quotas.Tick(now);
  }
  if (m_ticks % kTicksPerSecond == 0) {
    EverySecond();
  }
  FinishIfDrained(now);
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait(
    [this, alive = m_alive](boost::system::error_code aCode) {
      if (!aCode && *alive) {
        Tick();
      }
    });
}

void DataPlane::EverySecond()
{
  m_target.Sweep();
  m_crashLedger.Tick(Clock::now());
  if (m_view) {
    m_authenticator.CheckLease(*m_view, Clock::now());
  }
  const TargetStatus status = m_target.Status();
  m_metrics.SetTargetLoad(status.m_running, status.m_queued, status.m_slots);
  m_metrics.SetTargetRequestLimit(status.m_requestLimit.value_or(0));
  m_metrics.SetTargetCrashes(status.m_crashes);
}

// ---- Graceful shutdown -----------------------------------------------------

void DataPlane::Drain(std::function<void()> aDone)
{
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_onDrained = std::move(aDone);
  m_drainEnd = Clock::now() + m_settings.m_drainLimit;
  m_log.Record(EventId::ProcessStopping, {});
  m_target.BeginStopping();
  m_callerSide.BeginStopping();
  m_peerServer.SendGoaway();
  m_callerServer->Drain(m_settings.m_drainLinger,
                        [this] { m_callersDone = true; });
  m_lingerTimer.expires_after(m_settings.m_drainLinger);
  m_lingerTimer.async_wait(
    [this, alive = m_alive](boost::system::error_code aCode) {
      if (!aCode && *alive) {
        OnLingerOver();
      }
    });
}

// Sends goaway to the nodes that connected since the shutdown began. A peer
// closes its connection after the answer to its last call, so no call is lost
// in transit.
void DataPlane::OnLingerOver()
{
  m_lingerOver = true;
  m_lingerEnd = Clock::now();
  m_target.RejectNew();
  m_peerServer.StopListening();
  m_peerServer.SendGoaway();
}

void DataPlane::FinishIfDrained(TimePoint aNow)
{
  if (!m_onDrained) {
    return;
  }
  // Peers close their connections after the goaway. Connections without calls
  // that stay open delay the end by at most kPeerCloseWait.
  const bool peersDone =
    m_peerServer.Connections() == 0 ||
    (m_peerServer.Calls() == 0 && aNow >= m_lingerEnd + kPeerCloseWait);
  const bool finished = m_lingerOver && m_callersDone &&
                        m_callerSide.ActiveCalls() == 0 &&
                        m_target.Active() == 0 && peersDone;
  if (!finished && aNow < m_drainEnd) {
    return;
  }
  if (!finished) {
    m_log.Record(EventId::DrainCutShort,
                 { { "calls", std::to_string(m_callerSide.ActiveCalls()) },
                   { "served", std::to_string(m_target.Active()) } });
  }
  m_peerClient.CloseAll();
  std::exchange(m_onDrained, nullptr)();
}

} // namespace wigeonfold::node
