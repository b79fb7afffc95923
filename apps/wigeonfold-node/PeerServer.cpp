#include "PeerServer.h"

#include "wigeonfold/wire/Codec.h"

#include <utility>

#include <algorithm>

namespace wigeonfold::node {

using wire::FrameType;

namespace {

// Placeholder in Peer::m_calls until TargetSide::Serve() returns the id.
constexpr uint64_t kNoServedId = 0;

} // namespace

PeerServer::PeerServer(boost::asio::io_context& aIo,
                       const PeerIdentity& aIdentity,
                       uint64_t aSeed,
                       TargetSide& aTarget,
                       admission::Link& aLink,
                       forwarding::AnswerSendQueue& aLargeAnswers,
                       EventLog& aLog,
                       std::function<void(const Version&)> aOnPeerVersion)
  : m_io(aIo)
  , m_identity(aIdentity)
  , m_target(aTarget)
  , m_link(aLink)
  , m_largeAnswers(aLargeAnswers)
  , m_log(aLog)
  , m_onPeerVersion(std::move(aOnPeerVersion))
  , m_lastEpoch(static_cast<int64_t>(aSeed >> 1))
  , m_alive(std::make_shared<bool>(true))
{
}

PeerServer::~PeerServer()
{
  *m_alive = false;
  for (auto& [connection, peer] : m_peers) {
    peer.m_connection->Close();
  }
}

Status PeerServer::Listen(const SocketAddress& aAddress)
{
  net::ConnectionHandlers handlers;
  handlers.m_onFrame = [this,
                        alive = m_alive](const net::ConnectionPtr& aConnection,
                                         const wire::Frame& aFrame) {
    if (*alive) {
      OnFrame(aConnection, aFrame);
    }
  };
  handlers.m_onClose = [this,
                        alive = m_alive](const net::ConnectionPtr& aConnection,
                                         const Error& aError) {
    if (!*alive) {
      return;
    }
    if (aError.m_code == ErrorCode::Protocol) {
      m_log.Record(EventId::ConnectionRejected,
                   { { "peer", aError.m_peer }, { "step", aError.m_step } });
    }
    Drop(aConnection.get());
  };
  auto listener =
    net::Listen(m_io,
                aAddress,
                std::move(handlers),
                [this](const net::ConnectionPtr& aConnection) {
                  Peer peer;
                  peer.m_connection = aConnection;
                  peer.m_epoch = ++m_lastEpoch;
                  m_peers.emplace(aConnection.get(), std::move(peer));
                });
  if (!listener) {
    return listener.error();
  }
  m_listener = std::move(listener.value());
  return Ok();
}

void PeerServer::SendGoaway()
{
  wire::PeerGoaway goaway;
  goaway.reason = "stopping";
  for (auto& [connection, peer] : m_peers) {
    if (peer.m_helloReceived && !peer.m_goawaySent) {
      peer.m_goawaySent = true;
      peer.m_connection->Send(FrameType::PeerGoaway, goaway);
    }
  }
}

void PeerServer::StopListening()
{
  m_listener->Stop();
}

size_t PeerServer::Calls() const
{
  size_t calls = 0;
  for (const auto& [connection, peer] : m_peers) {
    calls += peer.m_calls.size();
  }
  return calls;
}

// ---- Frames ----------------------------------------------------------------

void PeerServer::OnFrame(const net::ConnectionPtr& aConnection,
                         const wire::Frame& aFrame)
{
  const auto found = m_peers.find(aConnection.get());
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  bool valid = peer.m_helloReceived || aFrame.m_type == FrameType::PeerHello;
  if (valid) {
    switch (aFrame.m_type) {
      case FrameType::PeerHello:
        valid = OnHello(peer, aFrame);
        break;
      case FrameType::CallRequest:
        valid = OnRequest(aConnection, peer, aFrame);
        break;
      case FrameType::CallCancel:
        valid = OnCancel(peer, aFrame);
        break;
      default:
        valid = false;
        break;
    }
  }
  if (!valid) {
    m_log.Record(EventId::ConnectionRejected,
                 { { "peer", aConnection->Peer() }, { "step", "read call" } });
    aConnection->Close();
    Drop(aConnection.get());
  }
}

// The first hello opens the connection; later ones are heartbeats. Each is
// answered.
bool PeerServer::OnHello(Peer& aPeer, const wire::Frame& aFrame)
{
  const auto hello =
    wire::Decode<wire::PeerHello>(aFrame.m_payload, aPeer.m_connection->Peer());
  if (!hello) {
    return false;
  }
  aPeer.m_helloReceived = true;
  aPeer.m_readsBodyParts = hello.value().readsBodyParts;
  if (hello.value().__isset.inForce) {
    m_onPeerVersion(wire::FromWire(hello.value().inForce));
  }
  aPeer.m_connection->Send(FrameType::PeerHello,
                           MakeHello(m_identity, aPeer.m_epoch));
  return true;
}

bool PeerServer::OnRequest(const net::ConnectionPtr& aConnection,
                           Peer& aPeer,
                           const wire::Frame& aFrame)
{
  auto decoded =
    wire::Decode<wire::CallRequest>(aFrame.m_payload, aConnection->Peer());
  if (!decoded) {
    return false;
  }
  auto request =
    std::make_shared<wire::CallRequest>(std::move(decoded.value()));
  const int64_t callId = request->callId;
  if (!aPeer.m_calls.emplace(callId, kNoServedId).second) {
    return false; // call ids are unique per connection
  }
  const TimePoint now = Clock::now();
  const TimePoint deadline =
    now + std::chrono::microseconds(request->deadlineUs);
  if (request->__isset.leaving) {
    m_target.NoteLeaving(wire::FromWire(request->leaving), now);
  }
  if (request->__isset.limit) {
    m_target.NoteLimit(
      wire::FromWire(request->limit.start), request->limit.perSecond, now);
  }
  net::Connection* connection = aConnection.get();
  const uint64_t servedId = m_target.Serve(
    std::move(request), deadline, now, [this, connection, callId](auto aReply) {
      Respond(connection, callId, std::move(aReply));
    });
  // Serve() may have sent the reply already, or dropped the connection.
  const auto peer = m_peers.find(connection);
  if (peer != m_peers.end()) {
    const auto call = peer->second.m_calls.find(callId);
    if (call != peer->second.m_calls.end()) {
      call->second = servedId;
    }
  }
  return true;
}

bool PeerServer::OnCancel(Peer& aPeer, const wire::Frame& aFrame)
{
  const auto cancel = wire::Decode<wire::CallCancel>(
    aFrame.m_payload, aPeer.m_connection->Peer());
  if (!cancel) {
    return false;
  }
  // An unknown id was answered before the cancellation arrived.
  const auto call = aPeer.m_calls.find(cancel.value().callId);
  if (call != aPeer.m_calls.end()) {
    const uint64_t servedId = call->second;
    aPeer.m_calls.erase(call);
    m_largeAnswers.DropCall(aPeer.m_connection.get(), cancel.value().callId);
    m_target.Cancel(servedId, Clock::now());
  }
  return true;
}

// aConnection may have been dropped meanwhile; then it isn't in m_peers. An
// entry of m_peers owns its connection, so the address of a connection in the
// table can't belong to another one.
void PeerServer::Respond(net::Connection* aConnection,
                         int64_t aCallId,
                         TargetReply aReply)
{
  const auto peer = m_peers.find(aConnection);
  if (peer == m_peers.end()) {
    return;
  }
  auto& calls = peer->second.m_calls;
  const auto call = calls.find(aCallId);
  if (call == calls.end()) {
    return;
  }
  wire::CallResponse& response = aReply.m_response;
  response.callId = aCallId;
  if (response.body.size() > forwarding::kPartBytes &&
      peer->second.m_readsBodyParts) {
    // The call stays in the table until its last part is sent.
    m_largeAnswers.Add({ aConnection, std::move(response) });
    Tick(Clock::now());
    return;
  }
  calls.erase(call);
  Send(*aConnection, FrameType::CallResponse, response);
}

// False if the peer doesn't read its answers. The connection is then closed,
// and its calls end there as lost, outcome unknown.
template<class T>
bool PeerServer::Send(net::Connection& aConnection,
                      wire::FrameType aType,
                      const T& aMessage)
{
  const std::string payload = wire::Encode(aMessage);
  m_link.OnSent(payload.size(), Clock::now());
  if (aConnection.SendFrame(aType, payload)) {
    return true;
  }
  aConnection.Close();
  Drop(&aConnection);
  return false;
}

void PeerServer::Tick(TimePoint aNow)
{
  while (const auto part = m_largeAnswers.Next(aNow)) {
    const auto peer =
      std::find_if(m_peers.begin(), m_peers.end(), [&part](const auto& aPeer) {
        return aPeer.first == part->m_connection;
      });
    if (peer == m_peers.end()) {
      continue;
    }
    if (part->m_last) {
      peer->second.m_calls.erase(part->m_callId);
    }
    net::Connection& connection = *peer->second.m_connection;
    if (part->m_head) {
      Send(connection, FrameType::CallResponse, *part->m_head);
    } else {
      Send(connection, FrameType::CallBodyPart, *part->m_part);
    }
  }
}

// Removes a closed connection and cancels its calls.
void PeerServer::Drop(net::Connection* aConnection)
{
  auto entry = m_peers.extract(aConnection);
  if (entry.empty()) {
    return;
  }
  m_largeAnswers.DropConnection(aConnection);
  const TimePoint now = Clock::now();
  for (const auto& [callId, servedId] : entry.mapped().m_calls) {
    m_target.Cancel(servedId, now);
  }
}

} // namespace wigeonfold::node
