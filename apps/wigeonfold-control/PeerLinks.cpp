#include "PeerLinks.h"

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;
using wire::FrameType;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kBackoffBase = 50ms;
// Short enough that a VM that comes back takes part again within an election
// timeout.
constexpr Duration kBackoffMax = 1s;
// Interval of the hellos that are sent as keepalives.
constexpr Duration kKeepaliveInterval = 500ms;
// Three keepalives fit, so that a VM that is busy or behind a lossy link is
// heard in time.
constexpr Duration kSilenceTimeout = 2s;
// A longer gap between ticks means that this process was paused itself, so it
// can't tell whether the connections were silent.
constexpr Duration kMaxTickGap = 500ms;
// Raft messages are dropped beyond this backlog. It is twice the 8 appends of
// 256 KiB that Raft keeps in flight for a peer.
constexpr size_t kCongestedBytes = size_t{ 4 } << 20;

} // namespace

wire::ControlHello MakeHello(const ControlSettings& aSettings,
                             int64_t aMemberId)
{
  wire::ControlHello hello;
  hello.memberId = aMemberId;
  hello.name = aSettings.m_name;
  hello.availabilityZone = aSettings.m_availabilityZone;
  hello.peerAddress = ToString(aSettings.m_peerAddress);
  hello.apiAddress = ToString(aSettings.m_apiAddress);
  hello.nodeAddress = ToString(aSettings.m_nodeAddress);
  hello.operatorAddress =
    aSettings.m_operatorListen ? ToString(*aSettings.m_operatorListen) : "";
  hello.mayBootstrap = aSettings.m_bootstrap && aSettings.m_isSeed;
  return hello;
}

PeerLinks::PeerLinks(boost::asio::io_context& aIo,
                     const ControlSettings& aSettings,
                     int64_t aMemberId,
                     uint64_t aSeed,
                     EventLog& aLog,
                     PeerHandlers aHandlers)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_memberId(aMemberId)
  , m_seed(aSeed)
  , m_log(aLog)
  , m_handlers(std::move(aHandlers))
{
  AddSeeds(m_settings.m_seeds);
}

Status PeerLinks::Start()
{
  auto listener = net::Listen(m_io,
                              m_settings.m_peerListen,
                              MakeConnectionHandlers(),
                              [this](const net::ConnectionPtr& aConnection) {
                                AddLink(aConnection, false);
                                SendHello(aConnection);
                              });
  if (!listener) {
    return listener.error();
  }
  m_listener = std::move(listener.value());
  return Ok();
}

SocketAddress PeerLinks::Address() const
{
  return { m_settings.m_peerListen.m_host, m_listener->Port() };
}

void PeerLinks::Stop()
{
  m_stopped = true;
  if (m_listener) {
    m_listener->Stop();
  }
  for (auto& [key, link] : m_links) {
    link.m_connection->CloseAfterWrites();
  }
  m_links.clear();
}

// ---- Addresses -------------------------------------------------------------

void PeerLinks::AddDialer(const SocketAddress& aAddress)
{
  const std::string key = ToString(aAddress);
  if (m_dialers.count(key) == 0) {
    m_dialers.emplace(
      key,
      Dialer{ aAddress, Backoff(kBackoffBase, kBackoffMax, m_seed++), {} });
  }
}

void PeerLinks::AddSeeds(const std::vector<SocketAddress>& aSeeds)
{
  for (const SocketAddress& seed : aSeeds) {
    AddDialer(seed);
  }
}

void PeerLinks::SetMembership(const wire::Membership& aMembership)
{
  for (const wire::Member& member : aMembership.members) {
    const auto address = ParseSocketAddress(member.peerAddress);
    if (member.memberId != m_memberId && address) {
      AddDialer(address.value());
    }
  }
}

void PeerLinks::SetLog(bool aHasLog,
                       const std::optional<wire::Membership>& aFormation)
{
  if (m_hasLog != aHasLog || m_formation != aFormation) {
    m_hasLog = aHasLog;
    m_formation = aFormation;
    SendHelloToAll();
  }
}

void PeerLinks::SetStopping()
{
  m_announcesStopping = true;
  SendHelloToAll();
}

void PeerLinks::SendHelloToAll()
{
  for (const auto& [key, link] : m_links) {
    SendHello(link.m_connection);
  }
}

void PeerLinks::SetClusterId(const std::string& aClusterId)
{
  if (aClusterId == m_clusterId) {
    return;
  }
  m_clusterId = aClusterId;
  for (const auto& [key, link] : m_links) {
    SendHello(link.m_connection);
  }
}

// ---- Outgoing connections --------------------------------------------------

PeerLinks::Link& PeerLinks::AddLink(const net::ConnectionPtr& aConnection,
                                    bool aOutgoing)
{
  Link& link = m_links[aConnection.get()];
  link.m_connection = aConnection;
  link.m_outgoing = aOutgoing;
  link.m_lastReceived = Clock::now();
  link.m_lastKeepalive = link.m_lastReceived;
  return link;
}

void PeerLinks::CheckLinks(TimePoint aNow)
{
  const bool wasPaused = aNow - m_lastTick > kMaxTickGap;
  m_lastTick = aNow;
  std::vector<net::ConnectionPtr> silent;
  for (auto& [key, link] : m_links) {
    if (wasPaused) {
      link.m_lastReceived = aNow;
    }
    if (aNow - link.m_lastReceived > kSilenceTimeout) {
      silent.push_back(link.m_connection);
    } else if (link.m_outgoing &&
               aNow - link.m_lastKeepalive >= kKeepaliveInterval) {
      link.m_lastKeepalive = aNow;
      SendHello(link.m_connection);
    }
  }
  for (const net::ConnectionPtr& connection : silent) {
    Drop(connection);
  }
}

void PeerLinks::Tick(TimePoint aNow)
{
  CheckLinks(aNow);
  for (auto& [key, dialer] : m_dialers) {
    if (!dialer.m_active && !dialer.m_isSelf && aNow >= dialer.m_nextAttempt &&
        !m_stopped) {
      Connect(dialer);
    }
  }
}

void PeerLinks::Connect(Dialer& aDialer)
{
  aDialer.m_active = true;
  aDialer.m_attemptedAt = Clock::now();
  const std::string key = ToString(aDialer.m_address);
  net::Connect(m_io,
               aDialer.m_address,
               kConnectTimeout,
               MakeConnectionHandlers(),
               [this, key](Result<net::ConnectionPtr> aResult) {
                 OnConnected(key, std::move(aResult));
               });
}

void PeerLinks::OnConnected(const std::string& aKey,
                            Result<net::ConnectionPtr> aResult)
{
  Dialer& dialer = m_dialers.at(aKey);
  if (!aResult || m_stopped) {
    if (aResult) {
      aResult.value()->Close();
    }
    ScheduleRetry(dialer);
    return;
  }
  Link& link = AddLink(aResult.value(), true);
  link.m_dialedAddress = aKey;
  link.m_dialedAt = dialer.m_attemptedAt;
  dialer.m_connection = link.m_connection.get();
  SendHello(link.m_connection);
}

void PeerLinks::ScheduleRetry(Dialer& aDialer)
{
  aDialer.m_active = false;
  aDialer.m_connection = nullptr;
  aDialer.m_nextAttempt = Clock::now() + aDialer.m_backoff.Next();
}

PeerLinks::Dialer* PeerLinks::FindDialer(const net::Connection* aConnection)
{
  for (auto& [key, dialer] : m_dialers) {
    if (dialer.m_connection == aConnection) {
      return &dialer;
    }
  }
  return nullptr;
}

// ---- Frames ----------------------------------------------------------------

net::ConnectionHandlers PeerLinks::MakeConnectionHandlers()
{
  net::ConnectionHandlers handlers;
  handlers.m_onFrame = [this](const net::ConnectionPtr& aConnection,
                              const wire::Frame& aFrame) {
    OnFrame(aConnection, aFrame);
  };
  handlers.m_onClose = [this](const net::ConnectionPtr& aConnection,
                              const Error& aError) {
    if (aError.m_code == ErrorCode::Protocol) {
      m_log.Record(EventId::ConnectionRejected,
                   { { "error", aError.ToString() } });
    }
    OnClosed(aConnection);
  };
  return handlers;
}

void PeerLinks::SendHello(const net::ConnectionPtr& aConnection)
{
  wire::ControlHello hello = MakeHello(m_settings, m_memberId);
  hello.clusterId = m_clusterId;
  hello.hasLog = m_hasLog;
  hello.readsPackedEntries = true;
  hello.readsLeavingReports = true;
  hello.readsReports = true;
  hello.stopping = m_announcesStopping;
  if (m_formation) {
    hello.__set_formation(*m_formation);
  }
  aConnection->Send(FrameType::ControlHello, hello);
}

void PeerLinks::OnFrame(const net::ConnectionPtr& aConnection,
                        const wire::Frame& aFrame)
{
  const auto found = m_links.find(aConnection.get());
  if (found == m_links.end()) {
    return;
  }
  const std::string& peer = aConnection->Peer();
  found->second.m_lastReceived = Clock::now();
  const bool identified = found->second.m_memberId != 0;
  bool valid = false;
  if (aFrame.m_type == FrameType::ControlHello) {
    const auto hello = wire::Decode<wire::ControlHello>(aFrame.m_payload, peer);
    valid = static_cast<bool>(hello);
    if (valid) {
      OnHello(aConnection, hello.value());
    }
  } else if (aFrame.m_type == FrameType::Raft && identified) {
    auto message = wire::Decode<wire::RaftMessage>(aFrame.m_payload, peer);
    valid = message && wire::UnpackEntries(message.value(), peer);
    if (valid) {
      m_handlers.m_onRaft(std::move(message.value()));
    }
  } else if (aFrame.m_type == FrameType::EndpointSync && identified) {
    const auto sync = wire::Decode<wire::EndpointSync>(aFrame.m_payload, peer);
    valid = static_cast<bool>(sync);
    if (valid) {
      m_handlers.m_onSync(sync.value(), aConnection);
    }
  } else if (aFrame.m_type == FrameType::LeavingReport && identified) {
    const auto report =
      wire::Decode<wire::LeavingReport>(aFrame.m_payload, peer);
    valid = static_cast<bool>(report);
    if (valid) {
      m_handlers.m_onLeaving(report.value());
    }
  } else if (aFrame.m_type == FrameType::RolloutReport && identified) {
    auto report = wire::Decode<wire::RolloutReport>(aFrame.m_payload, peer);
    valid = static_cast<bool>(report);
    if (valid) {
      m_handlers.m_onRollout(std::move(report.value()));
    }
  } else if (aFrame.m_type == FrameType::QuotaSync && identified) {
    const auto sync = wire::Decode<wire::QuotaSync>(aFrame.m_payload, peer);
    valid = static_cast<bool>(sync);
    if (valid) {
      m_handlers.m_onQuotaSync(sync.value());
    }
  }
  if (!valid) {
    m_log.Record(EventId::ConnectionRejected, { { "peer", peer } });
    Drop(aConnection);
  }
}

void PeerLinks::OnHello(const net::ConnectionPtr& aConnection,
                        const wire::ControlHello& aHello)
{
  Dialer* dialer = FindDialer(aConnection.get());
  if (aHello.memberId == m_memberId) {
    if (dialer) {
      dialer->m_isSelf = true;
    }
    Drop(aConnection);
    return;
  }
  const bool otherCluster = !aHello.clusterId.empty() && !m_clusterId.empty() &&
                            aHello.clusterId != m_clusterId;
  if (otherCluster || aHello.memberId == 0) {
    m_log.Record(EventId::PeerRejected,
                 { { "peer", aConnection->Peer() },
                   { "name", aHello.name },
                   { "cluster", aHello.clusterId } });
    Drop(aConnection);
    return;
  }
  Link& link = m_links.at(aConnection.get());
  if (link.m_memberId == 0) {
    m_log.Record(EventId::PeerConnected,
                 { { "name", aHello.name },
                   { "member", std::to_string(aHello.memberId) },
                   { "peer", aConnection->Peer() } });
  }
  if (link.m_memberId != 0 && !link.m_outgoing) {
    SendHello(aConnection); // answers a keepalive
  }
  link.m_memberId = aHello.memberId;
  link.m_name = aHello.name;
  link.m_readsPackedEntries = aHello.readsPackedEntries;
  link.m_readsLeavingReports = aHello.readsLeavingReports;
  link.m_readsReports = aHello.readsReports;
  if (dialer) {
    dialer->m_backoff.Reset();
  }
  const bool answersAtItsAddress =
    link.m_outgoing && link.m_dialedAddress == aHello.peerAddress;
  m_handlers.m_onHello(aHello,
                       answersAtItsAddress ? std::optional(link.m_dialedAt)
                                           : std::nullopt);
}

void PeerLinks::Drop(const net::ConnectionPtr& aConnection)
{
  aConnection->Close();
  OnClosed(aConnection);
}

void PeerLinks::OnClosed(const net::ConnectionPtr& aConnection)
{
  if (Dialer* dialer = FindDialer(aConnection.get())) {
    ScheduleRetry(*dialer);
  }
  const auto found = m_links.find(aConnection.get());
  if (found == m_links.end()) {
    return;
  }
  if (found->second.m_memberId != 0) {
    m_log.Record(
      EventId::PeerLost,
      { { "name", found->second.m_name }, { "peer", aConnection->Peer() } });
  }
  m_links.erase(found);
}

// ---- Messages --------------------------------------------------------------

std::map<int64_t, net::ConnectionPtr> PeerLinks::MemberConnections() const
{
  std::map<int64_t, net::ConnectionPtr> members;
  for (const auto& [key, link] : m_links) {
    if (link.m_memberId != 0 &&
        (link.m_outgoing || members.count(link.m_memberId) == 0)) {
      members[link.m_memberId] = link.m_connection;
    }
  }
  return members;
}

net::ConnectionPtr PeerLinks::UsableConnection(int64_t aMember) const
{
  const auto members = MemberConnections();
  const auto found = members.find(aMember);
  return found == members.end() ||
             found->second->QueuedBytes() >= kCongestedBytes
           ? nullptr
           : found->second;
}

void PeerLinks::SendRaft(wire::RaftMessage aMessage)
{
  const net::ConnectionPtr connection = UsableConnection(aMessage.toMember);
  if (!connection) {
    return;
  }
  if (m_links.at(connection.get()).m_readsPackedEntries) {
    m_packer.Pack(aMessage);
  }
  connection->Send(FrameType::Raft, aMessage);
}

void PeerLinks::SendLeaving(int64_t aToMember,
                            const wire::LeavingReport& aReport)
{
  const net::ConnectionPtr connection = UsableConnection(aToMember);
  if (connection && m_links.at(connection.get()).m_readsLeavingReports) {
    connection->Send(FrameType::LeavingReport, aReport);
  }
}

void PeerLinks::SendRollout(int64_t aToMember,
                            const wire::RolloutReport& aReport)
{
  const net::ConnectionPtr connection = UsableConnection(aToMember);
  if (connection && m_links.at(connection.get()).m_readsReports) {
    connection->Send(FrameType::RolloutReport, aReport);
  }
}

void PeerLinks::SendQuotaSync(const wire::QuotaSync& aSync)
{
  for (const auto& [member, connection] : MemberConnections()) {
    if (connection->QueuedBytes() < kCongestedBytes &&
        m_links.at(connection.get()).m_readsReports) {
      connection->Send(FrameType::QuotaSync, aSync);
    }
  }
}

bool PeerLinks::AllConnected() const
{
  for (const auto& [key, dialer] : m_dialers) {
    const auto link =
      dialer.m_connection ? m_links.find(dialer.m_connection) : m_links.end();
    if (!dialer.m_isSelf &&
        (link == m_links.end() || link->second.m_memberId == 0)) {
      return false;
    }
  }
  return true;
}

} // namespace wigeonfold::control
