// Client for calls to other nodes.
#pragma once

#include "wigeonfold/base/Version.h"
#include "wigeonfold/forwarding/AnswerParts.h"
#include "wigeonfold/forwarding/CallTable.h"
#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/forwarding/PeerLiveness.h"
#include "wigeonfold/forwarding/TargetHints.h"
#include "wigeonfold/net/Connection.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/routing/View.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::node {

// What this node reports of itself in PeerHello.
struct PeerIdentity
{
  std::string m_nodeName;
  int64_t m_nodeEpoch = 0;
  std::optional<Version> m_inForce; // nothing before the first view
};

// aEpoch distinguishes the connections of this process.
wire::PeerHello MakeHello(const PeerIdentity& aIdentity, int64_t aEpoch);

// Identifies an attempt in progress, for Cancel().
struct PeerTicket
{
  uint64_t m_link = 0;
  int64_t m_callId = 0;
};

// Events of the client. Send() itself calls only m_onWritten.
struct PeerClientHandlers
{
  // The attempt's frame was passed to the socket.
  std::function<void(const forwarding::AttemptKey&)> m_onWritten;
  // The attempt ended. The response is empty unless the peer sent one.
  std::function<void(const forwarding::AttemptKey&,
                     forwarding::Outcome,
                     wire::CallResponse)>
    m_onEnded;
  // The node announced that it accepts no further calls.
  std::function<void(const std::string& aNodeName)> m_onGoaway;
  // The node sent a malformed frame or message, so its connection was closed.
  std::function<void(const std::string& aNodeName, const std::string& aStep)>
    m_onRejected;
  // A peer reported the version that it has in force.
  std::function<void(const Version&)> m_onPeerVersion;
  // Connecting to the node failed, or nothing was received from it for a while
  // although calls were in progress. Repeated with each probe.
  std::function<void(const std::string& aNodeName)> m_onUnreachable;
  // A frame arrived from a node that was reported as unreachable and is still
  // probed.
  std::function<void(const std::string& aNodeName)> m_onReachable;
  // Nothing has been received on the attempt's connection for a while; the
  // answer may still come. The handler may cancel the attempt.
  std::function<void(const forwarding::AttemptKey&)> m_onSilent;
};

// Keeps one multiplexed connection to each called node, opened on demand. Use
// only on the thread of the io_context.
class PeerClient
{
public:
  PeerClient(boost::asio::io_context& aIo,
             const PeerIdentity& aIdentity,
             Duration aConnectTimeout,
             uint64_t aSeed,
             PeerClientHandlers aHandlers);
  ~PeerClient();

  // Sends the request now, or once the connection is open. Sets the request's
  // call id and deadline, so one object can be used for several attempts.
  // Returns nothing if the request can't be sent; no byte of it was written
  // then, and m_onEnded is not called.
  std::optional<PeerTicket> Send(const routing::Endpoint& aEndpoint,
                                 std::shared_ptr<wire::CallRequest> aRequest,
                                 TimePoint aDeadline,
                                 const forwarding::AttemptKey& aKey);
  // Opens a connection to the node without a call, so that both nodes learn
  // which version the other one has in force.
  void Connect(const routing::Endpoint& aEndpoint);
  // Cancels an attempt; nothing is reported for it any more.
  void Cancel(const PeerTicket& aTicket);

  // Sends heartbeats and probes, closes lost and idle connections. Call every
  // 50 ms.
  void Tick(TimePoint aNow);
  // Closes all connections without reporting their calls.
  void CloseAll();

  size_t Links() const { return m_links.size(); }

private:
  // A call that waits for its connection to open.
  struct PendingCall
  {
    int64_t m_callId = 0;
    forwarding::AttemptKey m_key;
    std::shared_ptr<wire::CallRequest> m_request;
    TimePoint m_deadline{};
  };
  // A connection to a node, open or being opened.
  struct Link
  {
    std::string m_nodeName;
    int64_t m_nodeEpoch = 0;
    SocketAddress m_address;
    net::ConnectionPtr m_connection; // null while connecting
    forwarding::CallTable m_calls;
    forwarding::AnswerAssembly m_answers{ net::kMaxBodyBytes };
    std::vector<PendingCall> m_pendingCalls;
    forwarding::PeerLiveness m_liveness;
    TimePoint m_lastUsed{};
    bool m_draining = false; // gets no further calls
    bool m_silent = false;   // was reported with m_onSilent
  };

  // An unreachable node and its next connection attempt.
  struct Probe
  {
    routing::Endpoint m_endpoint;
    TimePoint m_next{};
    TimePoint m_end{}; // no probes from then on
  };

  uint64_t GetOrOpenLink(const routing::Endpoint& aEndpoint);
  void OnConnected(uint64_t aLink, Result<net::ConnectionPtr> aConnection);
  void OnFrame(uint64_t aLink, const wire::Frame& aFrame);
  bool OnResponse(Link& aLink, const wire::Frame& aFrame);
  bool OnBodyPart(Link& aLink, const wire::Frame& aFrame);
  bool Deliver(Link& aLink, forwarding::AnswerAssembly::Result aResult);
  bool Write(Link& aLink, const PendingCall& aCall);
  void CloseIfDrained(uint64_t aLink);
  void Reject(uint64_t aLink, const std::string& aStep);
  void Abort(uint64_t aLink);
  void OnSilence(uint64_t aLink);
  void BeginDraining(uint64_t aLink);
  void ReportUnreachable(const Link& aLink);
  void SendProbes(TimePoint aNow);

  boost::asio::io_context& m_io;
  const PeerIdentity& m_identity;
  const Duration m_connectTimeout;
  PeerClientHandlers m_handlers;
  int64_t m_lastEpoch; // of the newest connection
  uint64_t m_lastLink = 0;
  std::unordered_map<uint64_t, Link> m_links;
  // Link for new calls, by node name.
  std::unordered_map<std::string, uint64_t> m_current;
  std::unordered_map<std::string, Probe> m_probes; // by node name
  forwarding::TargetHints m_hints;
  std::shared_ptr<bool> m_alive; // false once this object is destroyed
};

} // namespace wigeonfold::node
