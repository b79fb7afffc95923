// Server for calls from other nodes.
#pragma once

#include "PeerClient.h"
#include "TargetSide.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/net/Connection.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace wigeonfold::node {

// Accepts connections of other nodes and passes their calls to the target side.
// Use only on the thread of the io_context.
class PeerServer
{
public:
  PeerServer(boost::asio::io_context& aIo,
             const PeerIdentity& aIdentity,
             uint64_t aSeed,
             TargetSide& aTarget,
             admission::Link& aLink,
             forwarding::AnswerSendQueue& aLargeAnswers,
             EventLog& aLog,
             std::function<void(const Version&)> aOnPeerVersion);
  ~PeerServer();

  // Fails with ErrorCode::Io if the address can't be bound.
  Status Listen(const SocketAddress& aAddress);

  // Tells the connected nodes to send further calls to other nodes. Calls that
  // still arrive are served.
  void SendGoaway();
  // Accepts no further connections; open ones stay.
  void StopListening();

  // Sends parts of large answers as far as the link is free. Call every 10 ms.
  void Tick(TimePoint aNow);

  // Precondition: Listen() succeeded.
  uint16_t Port() const { return m_listener->Port(); }
  size_t Connections() const { return m_peers.size(); }
  // Calls of all connections that are not answered yet.
  size_t Calls() const;

private:
  struct Peer
  {
    net::ConnectionPtr m_connection;
    int64_t m_epoch = 0;
    bool m_helloReceived = false;
    bool m_goawaySent = false;
    bool m_readsBodyParts = false;
    // Id at the target side of each unanswered call, by the peer's call id.
    std::unordered_map<int64_t, uint64_t> m_calls;
  };

  void OnFrame(const net::ConnectionPtr& aConnection,
               const wire::Frame& aFrame);
  bool OnHello(Peer& aPeer, const wire::Frame& aFrame);
  bool OnRequest(const net::ConnectionPtr& aConnection,
                 Peer& aPeer,
                 const wire::Frame& aFrame);
  bool OnCancel(Peer& aPeer, const wire::Frame& aFrame);
  void Respond(net::Connection* aConnection,
               int64_t aCallId,
               TargetReply aReply);
  template<class T>
  bool Send(net::Connection& aConnection,
            wire::FrameType aType,
            const T& aMessage);
  void Drop(net::Connection* aConnection);

  boost::asio::io_context& m_io;
  const PeerIdentity& m_identity;
  TargetSide& m_target;
  admission::Link& m_link;
  forwarding::AnswerSendQueue& m_largeAnswers;
  EventLog& m_log;
  const std::function<void(const Version&)> m_onPeerVersion;
  int64_t m_lastEpoch; // of the newest connection
  std::unique_ptr<net::Listener> m_listener;
  std::unordered_map<net::Connection*, Peer> m_peers;
  std::shared_ptr<bool> m_alive; // false once this object is destroyed
};

} // namespace wigeonfold::node
