// Net thread: connections with peers, endpoint exchange and node sessions.
#pragma once

#include "ControlSettings.h"
#include "Messages.h"
#include "PeerLinks.h"
#include "QuotaExchange.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/NodeSessions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_map>

namespace wigeonfold::control {

// All methods run on the thread of the io_context.
class Network
{
public:
  // aIncarnation must grow with each start of the process. aStartedEmpty tells
  // that the data folder was empty at the start. aSettings, aChannels and aLog
  // must outlive the network.
  Network(boost::asio::io_context& aIo,
          const ControlSettings& aSettings,
          int64_t aMemberId,
          int64_t aIncarnation,
          bool aStartedEmpty,
          uint64_t aSeed,
          Channels& aChannels,
          EventLog& aLog);

  // Fails with Io when an address can't be bound.
  Status Start();
  // Graceful shutdown: tells the nodes to reconnect elsewhere and closes all
  // connections after their queued frames are written.
  void Stop();

  void Handle(NetMessage aMessage);

private:
  // State of the endpoint exchange with one control VM.
  struct SyncState
  {
    net::Connection* m_connection = nullptr;
    int64_t m_cursor = 0;   // of the table when it was last sent
    uint64_t m_crashes = 0; // revision of the crash ledger then
    TimePoint m_nextSync;
  };

  void Schedule();
  void Tick(TimePoint aNow);
  void OnSync(const wire::EndpointSync& aSync,
              const net::ConnectionPtr& aConnection);
  void SyncWithPeers(TimePoint aNow);
  void StartSync(int64_t aMember, const net::ConnectionPtr& aConnection);
  void CheckEndpointsComplete(TimePoint aNow);
  void PublishSummary(TimePoint aNow);
  void ReportShedNodes();

  Status ListenForNodes();
  net::ConnectionHandlers NodeHandlers();
  distribution::NodeSessionId FindSessionId(
    const net::Connection* aConnection) const;
  void Execute(const distribution::NodeActions& aActions);
  void Execute(const distribution::SendToNode& aAction);
  void Execute(const distribution::CloseNode& aAction);
  void Execute(const distribution::LeavingReported& aAction);
  void Execute(const distribution::RolloutReported& aAction);
  void Execute(const distribution::NodeRefused& aAction);
  // Passes on what nodes reported of running rollouts.
  void PublishRollouts(TimePoint aNow);

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  discovery::EndpointTable m_table;
  QuotaExchange m_quotas;
  distribution::NodeSessions m_sessions;
  PeerLinks m_peers;
  std::unique_ptr<net::Listener> m_listener;
  std::map<distribution::NodeSessionId, net::ConnectionPtr> m_nodeConnections;
  std::unordered_map<const net::Connection*, distribution::NodeSessionId>
    m_sessionIds;
  distribution::NodeSessionId m_lastSessionId = 0;
  std::map<int64_t, SyncState> m_syncs; // by member id
  TimePoint m_startedAt;
  TimePoint m_nextSummary;
  bool m_rolloutRunning = false;
  // The newest reports that were not passed on, by node name.
  std::map<std::string, wire::RolloutReport> m_rolloutReports;
  TimePoint m_nextRolloutReports;
  TimePoint m_nextFleet;
  bool m_endpointsComplete = false;
  uint64_t m_reportedShedHellos = 0;
  bool m_stopped = false;
};

} // namespace wigeonfold::control
