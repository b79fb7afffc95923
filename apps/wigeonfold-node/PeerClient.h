// Calls to other nodes.
#pragma once

#include "wigeonfold/base/Version.h"
#include "wigeonfold/forwarding/CallTable.h"
#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/net/Connection.h"
#include "wigeonfold/routing/View.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::node {

// Identity sent in PeerHello.
struct PeerIdentity
{
  std::string m_nodeName;
  int64_t m_nodeEpoch = 0;
  std::optional<Version> m_inForce;
};

wire::PeerHello MakeHello(const PeerIdentity& aIdentity, int64_t aEpoch);

// Identifies an attempt under way, for Cancel().
struct PeerTicket
{
  uint64_t m_link = 0;
  int64_t m_callId = 0;
};

// What the client reports. Send() itself calls only m_onWritten.
struct PeerClientHandlers
{
  // The frame was handed to the socket.
  std::function<void(const forwarding::AttemptKey&)> m_onWritten;
  // The response is empty unless the peer sent one.
  std::function<void(const forwarding::AttemptKey&,
                     forwarding::Outcome,
                     wire::CallResponse)>
    m_onEnded;
  // The node takes no further calls.
  std::function<void(const std::string& aNodeName)> m_onGoaway;
  std::function<void(const Version&)> m_onPeerVersion;
  // The node could not be connected to, or its connection fell silent.
  std::function<void(const std::string& aNodeName)> m_onUnreachable;
  // A node that was unreachable has answered.
  std::function<void(const std::string& aNodeName)> m_onReachable;
  // The attempt's connection is silent; the answer may still come. The attempt
  // may be withdrawn from inside the call.
  std::function<void(const forwarding::AttemptKey&)> m_onSilent;
};

// One multiplexed connection to each node that is called, opened on demand.
// Runs on the thread of the io_context.
class PeerClient
{
public:
  PeerClient(boost::asio::io_context& aIo,
             const PeerIdentity& aIdentity,
             Duration aConnectTimeout,
             uint64_t aSeed,
             PeerClientHandlers aHandlers);
  ~PeerClient();

  // Sends now, or as soon as the connection is open. The request's call id and
  // deadline are set here, so the same object serves several attempts. Nothing
  // when the request can't be sent; it was then not written.
  std::optional<PeerTicket> Send(const routing::Endpoint& aEndpoint,
                                 std::shared_ptr<wire::CallRequest> aRequest,
                                 TimePoint aDeadline,
                                 const forwarding::AttemptKey& aKey);
  // Opens a connection to the node without a call, so that both hear which
  // version the other one has in force.
  void Connect(const routing::Endpoint& aEndpoint);
  // Withdraws an attempt; it is not reported any more.
  void Cancel(const PeerTicket& aTicket);

  // Heartbeats, lost and idle connections. Call each 50 ms.
  void Tick(TimePoint aNow);
  void CloseAll();

  size_t Links() const { return m_links.size(); }

private:
  struct Waiting
  {
    int64_t m_callId = 0;
    forwarding::AttemptKey m_key;
    std::shared_ptr<wire::CallRequest> m_request;
    TimePoint m_deadline{};
  };
  struct Link
  {
    std::string m_nodeName;
    int64_t m_nodeEpoch = 0;
    SocketAddress m_address;
    net::ConnectionPtr m_connection; // null while connecting
    forwarding::CallTable m_calls;
    std::vector<Waiting> m_waiting;
    TimePoint m_lastReceived{};
    TimePoint m_lastUsed{};
    bool m_leaving = false; // takes no further calls
    bool m_silent = false;  // nothing received for kSilenceLimit
  };

  // A node that could not be reached, and when it is asked again.
  struct Probe
  {
    routing::Endpoint m_endpoint;
    TimePoint m_next{};
    TimePoint m_end{};
  };

  uint64_t LinkTo(const routing::Endpoint& aEndpoint);
  void OnConnected(uint64_t aLink, Result<net::ConnectionPtr> aConnection);
  void OnFrame(uint64_t aLink, const wire::Frame& aFrame);
  bool OnResponse(Link& aLink, const wire::Frame& aFrame);
  bool Write(Link& aLink, const Waiting& aCall);
  void RetireIfDone(uint64_t aLink);
  void Lose(uint64_t aLink);
  void LeaveSilent(uint64_t aLink);
  void Leave(uint64_t aLink);
  void NoteUnreachable(const Link& aLink);
  void SendProbes(TimePoint aNow);

  boost::asio::io_context& m_io;
  const PeerIdentity& m_identity;
  const Duration m_connectTimeout;
  PeerClientHandlers m_handlers;
  int64_t m_lastEpoch;
  uint64_t m_lastLink = 0;
  std::unordered_map<uint64_t, Link> m_links;
  std::unordered_map<std::string, uint64_t> m_current; // by node name
  std::unordered_map<std::string, Probe> m_probes;     // by node name
  std::shared_ptr<bool> m_alive; // false once this object is destroyed
};

} // namespace wigeonfold::node
