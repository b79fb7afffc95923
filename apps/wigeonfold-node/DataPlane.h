// Everything that runs on a node's data thread.
#pragma once

#include "CallerSide.h"
#include "Messages.h"
#include "NodeSettings.h"
#include "PeerServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace wigeonfold::node {

// Owns callers, peers and the own target. All methods and callbacks run on the
// thread of the io_context; nothing here is locked.
class DataPlane
{
public:
  struct Hooks
  {
    // The own endpoint changed and has to be announced; false when that can't
    // be taken now, which is tried again.
    std::function<bool(wire::EndpointRecord)> m_onEndpoint;
    // A peer has a greater version.
    std::function<void(const Version&)> m_onPeerVersion;
  };

  // aDialect is that of callers and of the own target.
  DataPlane(boost::asio::io_context& aIo,
            const NodeSettings& aSettings,
            std::unique_ptr<forwarding::Dialect> aDialect,
            int64_t aNodeEpoch,
            NodeMetrics& aMetrics,
            EventLog& aLog,
            Hooks aHooks);
  ~DataPlane();

  // Opens the listening sockets.
  Status Start();

  void OnView(const ViewUpdate& aUpdate);
  void OnAnnouncement(const Announcement& aAnnouncement);
  StatusReport Report(uint64_t aId) const;

  // Graceful shutdown as in docs/design.md 6.5; aDone is called when all
  // requests are finished or the limit is reached. A second call does nothing.
  void Drain(std::function<void()> aDone);

  uint16_t CallerPort() const { return m_callers->Port(); }
  uint16_t PeerPort() const { return m_peerServer.Port(); }

private:
  PeerClientHandlers ClientHandlers();
  void Tick();
  void Each100Ticks();
  void AnnounceEndpoint();
  void OnPeerVersion(const Version& aVersion);
  void GreetPeers();
  void OnLingerOver();
  void FinishIfDrained(TimePoint aNow);

  boost::asio::io_context& m_io;
  const NodeSettings m_settings;
  NodeMetrics& m_metrics;
  EventLog& m_log;
  observe::DecisionLog m_decisions;
  const Hooks m_hooks;
  const std::unique_ptr<forwarding::Dialect> m_dialect;
  PeerIdentity m_identity;
  TargetSide m_target;
  PeerClient m_peerClient;
  CallerSide m_callerSide;
  PeerServer m_peerServer;
  std::unique_ptr<net::HttpServer> m_callers;
  std::shared_ptr<const routing::View> m_view;
  uint64_t m_digest = 0;
  bool m_ready = false;
  TargetState m_lastState = TargetState::Absent;
  bool m_announcePending = false;
  std::mt19937_64 m_random;
  std::set<std::string> m_greeted; // nodes asked for their version
  boost::asio::steady_timer m_tick;
  int m_ticks = 0;
  // Graceful shutdown.
  std::function<void()> m_onDrained;
  boost::asio::steady_timer m_linger;
  TimePoint m_drainEnd{};
  TimePoint m_lingerEnd{};
  bool m_stopping = false;
  bool m_lingerOver = false;
  bool m_callersDone = false;
};

} // namespace wigeonfold::node
