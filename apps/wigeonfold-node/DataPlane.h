// Everything that runs on a node's data thread.
#pragma once

#include "CallerSide.h"
#include "Messages.h"
#include "NodeSettings.h"
#include "PeerServer.h"
#include "RolloutSide.h"

#include "wigeonfold/discovery/CrashLedger.h"
#include "wigeonfold/discovery/LeaveAnswers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace wigeonfold::node {

// Serves callers and peers and forwards requests to the node's own target. All
// methods and callbacks run on the thread of the io_context, without locks.
class DataPlane
{
public:
  struct Hooks
  {
    // Announces the changed record of the node's own endpoint. When it returns
    // false, it is called again on the next tick.
    std::function<bool(wire::EndpointRecord)> m_onEndpoint;
    // A peer has a newer version in force than this node.
    std::function<void(const Version&)> m_onPeerVersion;
    // A start of the target leaves and is to be stored by the control VMs.
    std::function<void(const TargetStart&)> m_onLeaving;
    // Answers an announcement.
    std::function<void(const AnnouncementAnswer&)> m_onAnswer;
    // Crash records changed and are to be shared with other nodes. When it
    // returns false, it is called again on the next tick.
    std::function<bool(const CrashRecords&)> m_onCrashes;
    // Counts to report to the control VMs; called every 250 ms while a rollout
    // runs.
    std::function<void(VersionStatsList)> m_onVersionStats;
    // Client accounts used their quotas. When it returns false, it is called
    // again on the next tick.
    QuotaStep::ShareUsage m_onUsage;
  };

  // aDialect is spoken by callers and by the node's own target. aMetrics and
  // aLog must outlive this object.
  DataPlane(boost::asio::io_context& aIo,
            const NodeSettings& aSettings,
            std::unique_ptr<forwarding::Dialect> aDialect,
            int64_t aNodeEpoch,
            NodeMetrics& aMetrics,
            EventLog& aLog,
            Hooks aHooks);
  ~DataPlane();

  // Opens the listening sockets. Call once, before all other methods. Fails
  // with Io when an address can't be bound.
  Status Start();

  void OnView(const ViewUpdate& aUpdate);
  // aId is returned in the answer, which follows at once or, for a leave, when
  // it is stored or wasn't in time.
  void OnAnnouncement(const Announcement& aAnnouncement, uint64_t aId);
  // aId is the id of the StatusQuery.
  StatusReport Report(uint64_t aId) const;

  // Starts the graceful shutdown of docs/design.md 6.5. aDone is called when
  // all requests are finished or the drain limit is reached. A second call does
  // nothing.
  void Drain(std::function<void()> aDone);

  uint16_t CallerPort() const { return m_callerServer->Port(); }
  uint16_t PeerPort() const { return m_peerServer.Port(); }

private:
  PeerClientHandlers MakePeerClientHandlers();
  void Tick();
  void EverySecond();
  void AnnounceEndpoint();
  void OnKnownLeaving(const KnownLeaving& aLeaving);
  void Answer(const std::vector<uint64_t>& aIds, bool aAcknowledged);
  void OnPeerVersion(const Version& aVersion);
  void ShareCrashes(TimePoint aNow);
  void QueryPeerVersions();
  void OnLingerOver();
  void FinishIfDrained(TimePoint aNow);

  boost::asio::io_context& m_io;
  const NodeSettings m_settings;
  NodeMetrics& m_metrics;
  EventLog& m_log;
  observe::DecisionLog m_decisionLog;
  const Hooks m_hooks;
  const std::unique_ptr<forwarding::Dialect> m_dialect;
  PeerIdentity m_identity;
  admission::Link m_link;
  discovery::CrashLedger m_crashLedger;
  uint64_t m_sharedCrashes = 0; // revision of the ledger that was shared last
  forwarding::AnswerSendQueue m_largeAnswers;
  BrokenAnswers m_brokenAnswers;
  TargetSide m_target;
  discovery::LeaveAnswers m_leaveAnswers;
  forwarding::VersionStats m_versionStats;
  RolloutSide m_rolloutSide;
  PeerClient m_peerClient;
  QuotaStep m_quotas;
  Authenticator m_authenticator;
  CallerSide m_callerSide;
  PeerServer m_peerServer;
  std::unique_ptr<net::HttpServer> m_callerServer;
  std::shared_ptr<const routing::View> m_view;
  uint64_t m_digest = 0;
  bool m_ready = false;
  TargetState m_lastTargetState = TargetState::Absent; // as logged last
  bool m_announcePending = false; // m_onEndpoint returned false
  std::mt19937_64 m_random;
  std::set<std::string> m_queriedPeers; // nodes asked for their version
  boost::asio::steady_timer m_tickTimer;
  int m_ticks = 0;
  // Graceful shutdown.
  std::function<void()> m_onDrained;
  boost::asio::steady_timer m_lingerTimer;
  TimePoint m_drainEnd{};
  TimePoint m_lingerEnd{}; // set when the linger time is over
  bool m_stopping = false;
  bool m_lingerOver = false;
  bool m_callersDone = false;
  // False once this object is destroyed: a timer that has run out calls back
  // even if it is destroyed before.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace wigeonfold::node
