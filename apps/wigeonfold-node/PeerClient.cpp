#include "PeerClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>

namespace wigeonfold::node {

using forwarding::AnswerAssembly;
using forwarding::AttemptKey;
using forwarding::Outcome;
using forwarding::PeerCondition;
using wire::FrameType;
using namespace std::chrono_literals;

namespace {

// Interval of the probes of an unreachable node. They show when it is reachable
// again, so that no request has to be risked for that.
constexpr Duration kProbeInterval = 500ms;
// Probing stops after this time.
constexpr Duration kProbeDuration = 30s;
// A connection without calls is closed after this time.
constexpr Duration kIdleLimit = 60s;
// A connection with more unsent bytes gets no further calls: the peer reads too
// slowly.
constexpr size_t kMaxQueuedBytes = size_t{ 4 } << 20;
constexpr const char* kReadStep = "read answer"; // for logs

} // namespace

wire::PeerHello MakeHello(const PeerIdentity& aIdentity, int64_t aEpoch)
{
  wire::PeerHello hello;
  hello.nodeName = aIdentity.m_nodeName;
  hello.nodeEpoch = aIdentity.m_nodeEpoch;
  hello.epoch = aEpoch;
  hello.readsBodyParts = true;
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
  const uint64_t id = GetOrOpenLink(aEndpoint);
  Link& link = m_links.at(id);
  link.m_lastUsed = Clock::now();
  PendingCall call{
    link.m_calls.Open(aKey), aKey, std::move(aRequest), aDeadline
  };
  const PeerTicket ticket{ id, call.m_callId };
  if (link.m_connection && link.m_connection->QueuedBytes() > kMaxQueuedBytes) {
    link.m_calls.Cancel(ticket.m_callId);
    return std::nullopt;
  }
  if (!link.m_connection) {
    link.m_pendingCalls.push_back(std::move(call));
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
  m_links.at(GetOrOpenLink(aEndpoint)).m_lastUsed = Clock::now();
}

void PeerClient::Cancel(const PeerTicket& aTicket)
{
  const auto found = m_links.find(aTicket.m_link);
  if (found == m_links.end()) {
    return;
  }
  Link& link = found->second;
  link.m_answers.Forget(aTicket.m_callId);
  if (link.m_calls.Cancel(aTicket.m_callId)) {
    wire::CallCancel cancel;
    cancel.callId = aTicket.m_callId;
    link.m_connection->Send(FrameType::CallCancel, cancel);
  }
  const auto end = std::remove_if(link.m_pendingCalls.begin(),
                                  link.m_pendingCalls.end(),
                                  [&](const PendingCall& aCall) {
                                    return aCall.m_callId == aTicket.m_callId;
                                  });
  link.m_pendingCalls.erase(end, link.m_pendingCalls.end());
  CloseIfDrained(aTicket.m_link);
}

// Passes the frame to the socket; false if the socket didn't accept it.
bool PeerClient::Write(Link& aLink, const PendingCall& aCall)
{
  wire::CallRequest& request = *aCall.m_request;
  request.callId = aCall.m_callId;
  request.deadlineUs = ToMicroseconds(aCall.m_deadline - Clock::now());
  m_hints.Fill(aLink.m_nodeName, request);
  if (!aLink.m_connection->Send(FrameType::CallRequest, request)) {
    return false;
  }
  aLink.m_calls.MarkWritten(aCall.m_callId);
  m_handlers.m_onWritten(aCall.m_key);
  return true;
}

// ---- Links -----------------------------------------------------------------

// Returns the link for a new call to the node.
uint64_t PeerClient::GetOrOpenLink(const routing::Endpoint& aEndpoint)
{
  const auto current = m_current.find(aEndpoint.m_nodeName);
  if (current != m_current.end()) {
    Link& link = m_links.at(current->second);
    const bool same = link.m_nodeEpoch == aEndpoint.m_nodeEpoch &&
                      link.m_address == aEndpoint.m_nodeAddress;
    if (same && !link.m_draining) {
      return current->second;
    }
    const uint64_t old = current->second;
    BeginDraining(old);
    CloseIfDrained(old);
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
                                                   const Error& aError) {
    if (!*alive) {
      return;
    }
    if (aError.m_code == ErrorCode::Protocol) {
      Reject(id, aError.m_step);
    } else {
      Abort(id);
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
    ReportUnreachable(found->second);
    Abort(aLink);
    return;
  }
  Link& link = found->second;
  link.m_connection = std::move(aConnection.value());
  link.m_connection->Send(FrameType::PeerHello,
                          MakeHello(m_identity, ++m_lastEpoch));
  std::vector<AttemptKey> failed;
  for (const PendingCall& call : std::exchange(link.m_pendingCalls, {})) {
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
  if (m_probes.erase(link.m_nodeName) > 0) {
    m_handlers.m_onReachable(std::string(link.m_nodeName));
  }
  switch (aFrame.m_type) {
    case FrameType::CallResponse:
    case FrameType::CallBodyPart: {
      const bool valid = aFrame.m_type == FrameType::CallResponse
                           ? OnResponse(link, aFrame)
                           : OnBodyPart(link, aFrame);
      if (valid) {
        CloseIfDrained(aLink);
      } else {
        Reject(aLink, kReadStep);
      }
      break;
    }
    case FrameType::PeerGoaway: {
      const std::string name = link.m_nodeName;
      BeginDraining(aLink);
      m_handlers.m_onGoaway(name);
      CloseIfDrained(aLink);
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
      Reject(aLink, kReadStep);
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
  const bool inParts = response.__isset.bodyBytes;
  if (inParts && !aLink.m_calls.Contains(response.callId)) {
    return true; // cancelled meanwhile, so the rest of the answer may not come
  }
  return Deliver(aLink, aLink.m_answers.OnResponse(std::move(response)));
}

bool PeerClient::OnBodyPart(Link& aLink, const wire::Frame& aFrame)
{
  auto decoded =
    wire::Decode<wire::CallBodyPart>(aFrame.m_payload, aLink.m_nodeName);
  return decoded &&
         Deliver(aLink, aLink.m_answers.OnPart(std::move(decoded.value())));
}

// Reports the answer that is complete, if any; false when aResult is Invalid.
bool PeerClient::Deliver(Link& aLink, AnswerAssembly::Result aResult)
{
  if (aResult != AnswerAssembly::Result::Complete) {
    return aResult == AnswerAssembly::Result::Incomplete;
  }
  wire::CallResponse response = aLink.m_answers.TakeComplete();
  m_hints.OnAnswer(aLink.m_nodeName, response);
  const auto key = aLink.m_calls.Answer(response.callId);
  if (key) {
    const Outcome outcome =
      forwarding::OutcomeFromPeer(response.run, response.reason);
    m_handlers.m_onEnded(*key, outcome, std::move(response));
  }
  return true;
}

// Closes a draining link once it has no calls left.
void PeerClient::CloseIfDrained(uint64_t aLink)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end() || !found->second.m_draining ||
      found->second.m_calls.Size() > 0) {
    return;
  }
  if (found->second.m_connection) {
    found->second.m_connection->CloseAfterWrites();
  }
  m_links.erase(found);
}

// Closes a link on which the node sent a malformed frame or message.
void PeerClient::Reject(uint64_t aLink, const std::string& aStep)
{
  const auto found = m_links.find(aLink);
  if (found != m_links.end()) {
    m_handlers.m_onRejected(std::string(found->second.m_nodeName), aStep);
    Abort(aLink);
  }
}

// Closes a link at once and reports all its calls as ended.
void PeerClient::Abort(uint64_t aLink)
{
  auto entry = m_links.extract(aLink);
  if (entry.empty()) {
    return;
  }
  Link& link = entry.mapped();
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

// Gives the link no further calls; new calls to the node open another one.
void PeerClient::BeginDraining(uint64_t aLink)
{
  Link& link = m_links.at(aLink);
  link.m_draining = true;
  const auto current = m_current.find(link.m_nodeName);
  if (current != m_current.end() && current->second == aLink) {
    m_current.erase(current);
  }
}

// A connection may stay silent although new ones to the same node work, so it
// gets no further calls.
void PeerClient::OnSilence(uint64_t aLink)
{
  const auto found = m_links.find(aLink);
  if (found == m_links.end()) {
    return; // closed by a handler called for another silent link
  }
  Link& link = found->second;
  link.m_silent = true;
  BeginDraining(aLink);
  const auto calls = link.m_calls.Outstanding();
  ReportUnreachable(link);
  for (const forwarding::OutstandingAttempt& call : calls) {
    m_handlers.m_onSilent(call.m_key);
  }
}

// ---- Unreachable nodes -----------------------------------------------------

void PeerClient::ReportUnreachable(const Link& aLink)
{
  const TimePoint now = Clock::now();
  Probe probe;
  probe.m_endpoint.m_nodeName = aLink.m_nodeName;
  probe.m_endpoint.m_nodeEpoch = aLink.m_nodeEpoch;
  probe.m_endpoint.m_nodeAddress = aLink.m_address;
  probe.m_next = now + kProbeInterval;
  probe.m_end = now + kProbeDuration;
  m_probes.try_emplace(aLink.m_nodeName, probe);
  m_handlers.m_onUnreachable(std::string(aLink.m_nodeName));
}

// Opens a new connection to each unreachable node whose probe is due. Reports
// the node as unreachable with each probe, since that state expires.
void PeerClient::SendProbes(TimePoint aNow)
{
  std::erase_if(m_probes, [aNow](const auto& aProbe) {
    return aNow >= aProbe.second.m_end;
  });
  std::vector<routing::Endpoint> due;
  for (auto& [name, probe] : m_probes) {
    if (aNow >= probe.m_next) {
      probe.m_next = aNow + kProbeInterval;
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
      BeginDraining(id);
      CloseIfDrained(id);
    }
    Link& link = m_links.at(GetOrOpenLink(endpoint));
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
    const bool hasCalls = link.m_calls.Size() > 0;
    if (!hasCalls && aNow - link.m_lastUsed > kIdleLimit) {
      idle.push_back(id);
    }
    switch (link.m_liveness.Check(
      link.m_connection->BytesReceived(), hasCalls, aNow)) {
      case PeerCondition::Alive:
        break;
      case PeerCondition::Quiet:
        link.m_connection->Send(FrameType::PeerHello,
                                MakeHello(m_identity, m_lastEpoch));
        break;
      case PeerCondition::Silent:
        if (!link.m_silent) {
          silent.push_back(id);
        }
        break;
      case PeerCondition::Lost:
        lost.push_back(id);
        break;
    }
  }
  for (const uint64_t id : silent) {
    OnSilence(id);
  }
  for (const uint64_t id : lost) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      // Before the calls end, so that their retries don't choose the node
      // again.
      ReportUnreachable(found->second);
      Abort(id);
    }
  }
  for (const uint64_t id : idle) {
    Abort(id); // it has no calls, so none is reported
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
