#include "PeerClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>

namespace wigeonfold::node {

using forwarding::AttemptKey;
using forwarding::Outcome;
using wire::FrameType;
using namespace std::chrono_literals;

namespace {

// A peer that has said nothing for this long is asked for a sign of life.
constexpr Duration kHeartbeatAfter = 150ms;
// A connection with calls under way but without a frame for this long gets no
// further ones, and idempotent calls on it try another target. Three heartbeats
// fit. Lost packets and a busy peer cause such pauses too, so the others wait
// on.
constexpr Duration kSilenceLimit = 500ms;
// After this silence the connection is taken as lost: a VM that vanished sends
// no reset.
constexpr Duration kLossLimit = 1500ms;
// An unreachable node is asked this often whether it is back, so that no
// request has to find out.
constexpr Duration kProbePause = 500ms;
constexpr Duration kProbeLimit = 30s;
constexpr Duration kIdleLimit = 60s;
// A peer that reads more slowly than this is not given further calls.
constexpr size_t kMaxQueuedBytes = size_t{ 4 } << 20;

} // namespace

wire::PeerHello MakeHello(const PeerIdentity& aIdentity, int64_t aEpoch)
{
  wire::PeerHello hello;
  hello.nodeName = aIdentity.m_nodeName;
  hello.nodeEpoch = aIdentity.m_nodeEpoch;
  hello.epoch = aEpoch;
  if (aIdentity.m_inForce) {
    hello.__set_inForce(wire::ToWire(*aIdentity.m_inForce));
  }
  return hello;
}

PeerClient::PeerClient(boost::asio::io_context& aIo,
                       const PeerIdentity& aIdentity,
                       Duration aConnectTimeout,
                       uint64_t aSeed,
                       PeerClientHandlers aHandlers)
  : m_io(aIo)
  , m_identity(aIdentity)
  , m_connectTimeout(aConnectTimeout)
  , m_handlers(std::move(aHandlers))
  , m_lastEpoch(static_cast<int64_t>(aSeed >> 1))
  , m_alive(std::make_shared<bool>(true))
{
}

PeerClient::~PeerClient()
{
  *m_alive = false;
  CloseAll();
}

// ---- Calls -----------------------------------------------------------------

std::optional<PeerTicket> PeerClient::Send(
  const routing::Endpoint& aEndpoint,
  std::shared_ptr<wire::CallRequest> aRequest,
  TimePoint aDeadline,
  const AttemptKey& aKey)
{
  const uint64_t id = LinkTo(aEndpoint);
  Link& link = m_links.at(id);
  const TimePoint now = Clock::now();
  if (link.m_calls.Size() == 0) {
    link.m_lastReceived = now; // silence counts only while calls wait
  }
  link.m_lastUsed = now;
  Waiting call{ link.m_calls.Open(aKey), aKey, std::move(aRequest), aDeadline };
  const PeerTicket ticket{ id, call.m_callId };
  if (link.m_connection && link.m_connection->QueuedBytes() > kMaxQueuedBytes) {
    link.m_calls.Cancel(ticket.m_callId);
    return std::nullopt;
  }
  if (!link.m_connection) {
    link.m_waiting.push_back(std::move(call));
    return ticket;
  }
  if (!Write(link, call)) {
    link.m_calls.Cancel(ticket.m_callId);
    return std::nullopt;
  }
  return ticket;
}

void PeerClient::Connect(const routing::Endpoint& aEndpoint)
{
  m_links.at(LinkTo(aEndpoint)).m_lastUsed = Clock::now();
}

void PeerClient::Cancel(const PeerTicket& aTicket)
{
  const auto found = m_links.find(aTicket.m_link);
  if (found == m_links.end()) {
    return;
  }
  Link& link = found->second;
  if (link.m_calls.Cancel(aTicket.m_callId)) {
    wire::CallCancel cancel;
    cancel.callId = aTicket.m_callId;
    link.m_connection->Send(FrameType::CallCancel, cancel);
  }
  const auto end = std::remove_if(
    link.m_waiting.begin(), link.m_waiting.end(), [&](const Waiting& aCall) {
      return aCall.m_callId == aTicket.m_callId;
    });
  link.m_waiting.erase(end, link.m_waiting.end());
  RetireIfDone(aTicket.m_link);
}

// Hands the frame to the socket; false when it was not taken.
bool PeerClient::Write(Link& aLink, const Waiting& aCall)
{
  wire::CallRequest& request = *aCall.m_request;
  request.callId = aCall.m_callId;
  request.deadlineUs = ToMicroseconds(aCall.m_deadline - Clock::now());
  if (!aLink.m_connection->Send(FrameType::CallRequest, request)) {
    return false;
  }
  aLink.m_calls.MarkWritten(aCall.m_callId);
  m_handlers.m_onWritten(aCall.m_key);
  return true;
}

// ---- Links -----------------------------------------------------------------

// Link for a new call; opens one if needed.
uint64_t PeerClient::LinkTo(const routing::Endpoint& aEndpoint)
{
  const auto current = m_current.find(aEndpoint.m_nodeName);
  if (current != m_current.end()) {
    Link& link = m_links.at(current->second);
    const bool same = link.m_nodeEpoch == aEndpoint.m_nodeEpoch &&
                      link.m_address == aEndpoint.m_nodeAddress;
    if (same && !link.m_leaving) {
      return current->second;
    }
    const uint64_t old = current->second;
    Leave(old);
    RetireIfDone(old);
  }
  const uint64_t id = ++m_lastLink;
  Link& link = m_links[id];
  link.m_nodeName = aEndpoint.m_nodeName;
  link.m_nodeEpoch = aEndpoint.m_nodeEpoch;
  link.m_address = aEndpoint.m_nodeAddress;
  m_current[aEndpoint.m_nodeName] = id;
  net::ConnectionHandlers handlers;
  handlers.m_onFrame = [this, id, alive = m_alive](const net::ConnectionPtr&,
                                                   const wire::Frame& aFrame) {
    if (*alive) {
      OnFrame(id, aFrame);
    }
  };
  handlers.m_onClose = [this, id, alive = m_alive](const net::ConnectionPtr&,
                                                   const Error&) {
    if (*alive) {
      Lose(id);
    }
  };
  net::Connect(m_io,
               aEndpoint.m_nodeAddress,
               m_connectTimeout,
               std::move(handlers),
               [this, id, alive = m_alive](Result<net::ConnectionPtr> aResult) {
                 if (*alive) {
                   OnConnected(id, std::move(aResult));
                 } else if (aResult) {
                   aResult.value()->Close();
                 }
               });
  return id;
}

void PeerClient::OnConnected(uint64_t aLink,
                             Result<net::ConnectionPtr> aConnection)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end()) {
    if (aConnection) {
      aConnection.value()->Close();
    }
    return;
  }
  if (!aConnection) {
    NoteUnreachable(found->second);
    Lose(aLink);
    return;
  }
  Link& link = found->second;
  link.m_connection = std::move(aConnection.value());
  link.m_lastReceived = Clock::now();
  link.m_connection->Send(FrameType::PeerHello,
                          MakeHello(m_identity, ++m_lastEpoch));
  std::vector<AttemptKey> failed;
  for (const Waiting& call : std::exchange(link.m_waiting, {})) {
    if (!Write(link, call)) {
      link.m_calls.Cancel(call.m_callId);
      failed.push_back(call.m_key);
    }
  }
  for (const AttemptKey& key : failed) {
    m_handlers.m_onEnded(key, Outcome::PeerNotWritten, {});
  }
}

void PeerClient::OnFrame(uint64_t aLink, const wire::Frame& aFrame)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end()) {
    return;
  }
  Link& link = found->second;
  link.m_lastReceived = Clock::now();
  if (m_probes.erase(link.m_nodeName) > 0) {
    m_handlers.m_onReachable(std::string(link.m_nodeName));
  }
  switch (aFrame.m_type) {
    case FrameType::CallResponse:
      if (OnResponse(link, aFrame)) {
        RetireIfDone(aLink);
      } else {
        Lose(aLink);
      }
      break;
    case FrameType::PeerGoaway: {
      const std::string name = link.m_nodeName;
      Leave(aLink);
      m_handlers.m_onGoaway(name);
      RetireIfDone(aLink);
      break;
    }
    case FrameType::PeerHello: {
      const auto hello =
        wire::Decode<wire::PeerHello>(aFrame.m_payload, link.m_nodeName);
      if (hello && hello.value().__isset.inForce) {
        m_handlers.m_onPeerVersion(wire::FromWire(hello.value().inForce));
      }
      break;
    }
    default:
      Lose(aLink);
      break;
  }
}

// False when the frame is malformed.
bool PeerClient::OnResponse(Link& aLink, const wire::Frame& aFrame)
{
  auto decoded =
    wire::Decode<wire::CallResponse>(aFrame.m_payload, aLink.m_nodeName);
  if (!decoded) {
    return false;
  }
  wire::CallResponse& response = decoded.value();
  const auto key = aLink.m_calls.Answer(response.callId);
  if (key) {
    const Outcome outcome =
      forwarding::OutcomeFromPeer(response.run, response.reason);
    m_handlers.m_onEnded(*key, outcome, std::move(response));
  }
  return true;
}

// Closes a link that takes no further calls once it has none left.
void PeerClient::RetireIfDone(uint64_t aLink)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end() || !found->second.m_leaving ||
      found->second.m_calls.Size() > 0) {
    return;
  }
  if (found->second.m_connection) {
    found->second.m_connection->CloseAfterWrites();
  }
  m_links.erase(found);
}

// Ends a link and everything on it.
void PeerClient::Lose(uint64_t aLink)
{
  auto node = m_links.extract(aLink);
  if (node.empty()) {
    return;
  }
  Link& link = node.mapped();
  const auto current = m_current.find(link.m_nodeName);
  if (current != m_current.end() && current->second == aLink) {
    m_current.erase(current);
  }
  if (link.m_connection) {
    link.m_connection->Close();
  }
  for (const forwarding::OutstandingAttempt& lost : link.m_calls.TakeAll()) {
    m_handlers.m_onEnded(lost.m_key,
                         lost.m_written ? Outcome::PeerLost
                                        : Outcome::PeerNotWritten,
                         {});
  }
}

// New calls to the node open another connection.
void PeerClient::Leave(uint64_t aLink)
{
  Link& link = m_links.at(aLink);
  link.m_leaving = true;
  const auto current = m_current.find(link.m_nodeName);
  if (current != m_current.end() && current->second == aLink) {
    m_current.erase(current);
  }
}

// A connection may be silent for good while new ones work, so it is left.
void PeerClient::LeaveSilent(uint64_t aLink)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end()) {
    return; // ended by what followed from another link
  }
  Link& link = found->second;
  link.m_silent = true;
  Leave(aLink);
  const auto calls = link.m_calls.Outstanding();
  NoteUnreachable(link);
  for (const forwarding::OutstandingAttempt& call : calls) {
    m_handlers.m_onSilent(call.m_key);
  }
}

// ---- Unreachable nodes -----------------------------------------------------

void PeerClient::NoteUnreachable(const Link& aLink)
{
  const TimePoint now = Clock::now();
  Probe probe;
  probe.m_endpoint.m_nodeName = aLink.m_nodeName;
  probe.m_endpoint.m_nodeEpoch = aLink.m_nodeEpoch;
  probe.m_endpoint.m_nodeAddress = aLink.m_address;
  probe.m_next = now + kProbePause;
  probe.m_end = now + kProbeLimit;
  m_probes.try_emplace(aLink.m_nodeName, probe);
  m_handlers.m_onUnreachable(std::string(aLink.m_nodeName));
}

// The node stays unreachable until it answers, so its state is renewed with
// each probe.
void PeerClient::SendProbes(TimePoint aNow)
{
  std::erase_if(m_probes,
                [aNow](const auto& aOne) { return aNow >= aOne.second.m_end; });
  std::vector<routing::Endpoint> due;
  for (auto& [name, probe] : m_probes) {
    if (aNow >= probe.m_next) {
      probe.m_next = aNow + kProbePause;
      due.push_back(probe.m_endpoint);
    }
  }
  for (const routing::Endpoint& endpoint : due) {
    m_handlers.m_onUnreachable(endpoint.m_nodeName);
    const auto current = m_current.find(endpoint.m_nodeName);
    if (current != m_current.end()) {
      const uint64_t id = current->second;
      if (!m_links.at(id).m_connection) {
        continue; // still connecting
      }
      Leave(id);
      RetireIfDone(id);
    }
    Link& link = m_links.at(LinkTo(endpoint));
    link.m_lastUsed = aNow;
  }
}

void PeerClient::Tick(TimePoint aNow)
{
  std::vector<uint64_t> lost;
  std::vector<uint64_t> silent;
  std::vector<uint64_t> idle;
  for (auto& [id, link] : m_links) {
    if (!link.m_connection) {
      continue;
    }
    const Duration silence = aNow - link.m_lastReceived;
    if (link.m_calls.Size() == 0) {
      if (aNow - link.m_lastUsed > kIdleLimit) {
        idle.push_back(id);
      }
    } else if (silence > kLossLimit) {
      lost.push_back(id);
    } else if (silence > kSilenceLimit) {
      if (!link.m_silent) {
        silent.push_back(id);
      }
    } else if (silence > kHeartbeatAfter) {
      link.m_connection->Send(FrameType::PeerHello,
                              MakeHello(m_identity, m_lastEpoch));
    }
  }
  for (const uint64_t id : silent) {
    LeaveSilent(id);
  }
  for (const uint64_t id : lost) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      // First, so that the calls that are lost do not choose the node again.
      NoteUnreachable(found->second);
      Lose(id);
    }
  }
  for (const uint64_t id : idle) {
    Lose(id); // no calls on it, so nothing is reported
  }
  SendProbes(aNow);
}

void PeerClient::CloseAll()
{
  for (auto& [id, link] : m_links) {
    if (link.m_connection) {
      link.m_connection->Close();
    }
  }
  m_links.clear();
  m_current.clear();
}

} // namespace wigeonfold::node
