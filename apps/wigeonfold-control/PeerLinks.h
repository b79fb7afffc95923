// Connections with other control VMs.
#pragma once

#include "ControlSettings.h"

#include "wigeonfold/base/Backoff.h"
#include "wigeonfold/base/Events.h"
#include "wigeonfold/net/Connection.h"
#include "wigeonfold/wire/EntryPacking.h"
#include "wigeonfold/wire/gen/control_types.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wigeonfold::control {

// The hello of this VM without its cluster id and whether it has a log. Thread
// safe.
wire::ControlHello MakeHello(const ControlSettings& aSettings,
                             int64_t aMemberId);

// Called on the thread of the io_context.
struct PeerHandlers
{
  // With the time at which this VM began to open the connection to the address
  // that the hello names; nothing when the other side opened it.
  std::function<void(const wire::ControlHello&, std::optional<TimePoint>)>
    m_onHello;
  std::function<void(wire::RaftMessage)> m_onRaft;
  // The connection is the one to answer on.
  std::function<void(const wire::EndpointSync&, const net::ConnectionPtr&)>
    m_onSync;
  std::function<void(const wire::LeavingReport&)> m_onLeaving;
  std::function<void(wire::RolloutReport)> m_onRollout;
  std::function<void(const wire::QuotaSync&)> m_onQuotaSync;
};

// Two VMs may have a connection opened by either side, or one by each. Each
// side sends ControlHello first. Messages to a member use the connection that
// this VM opened, if there is one. The hello is the keepalive too: the side
// that opened the connection repeats it and the other one answers, so that both
// notice a connection that no longer carries data. All methods run on the
// thread of the io_context.
class PeerLinks
{
public:
  PeerLinks(boost::asio::io_context& aIo,
            const ControlSettings& aSettings,
            int64_t aMemberId,
            uint64_t aSeed,
            EventLog& aLog,
            PeerHandlers aHandlers);

  // Fails with Io when the address can't be bound.
  Status Start();
  // Closes all connections after their queued frames are written.
  void Stop();

  // Connects to these members, in addition to the seeds.
  void SetMembership(const wire::Membership& aMembership);
  void SetClusterId(const std::string& aClusterId);
  // Whether the data folder holds a log, and ControlHello.formation. Sends a
  // hello when one has changed.
  void SetLog(bool aHasLog, const std::optional<wire::Membership>& aFormation);
  // This VM is stopping. Sends a hello that says so.
  void SetStopping();
  // Further addresses to connect to.
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);

  // Address that others connect to. Precondition: Start() succeeded.
  SocketAddress Address() const;

  // Opens connections that are due, sends keepalives and closes connections
  // without a frame for too long. Call every 50 ms.
  void Tick(TimePoint aNow);

  // Drops the message when there is no connection or it is congested, since
  // Raft repeats what is lost.
  void SendRaft(wire::RaftMessage aMessage);
  // Drops the report as well: it is repeated until it is stored.
  void SendLeaving(int64_t aToMember, const wire::LeavingReport& aReport);
  // Drops the report as well: the next one of the node contains it.
  void SendRollout(int64_t aToMember, const wire::RolloutReport& aReport);

  // To every member that reads it. Dropped like a Raft message: its counts are
  // cumulative.
  void SendQuotaSync(const wire::QuotaSync& aSync);

  // The connection to use for each connected control VM, by member id. Contains
  // VMs that have not joined the cluster yet.
  std::map<int64_t, net::ConnectionPtr> MemberConnections() const;
  // True when every known address is connected and its VM has sent its hello.
  bool AllConnected() const;

private:
  // A connection opened by either side. m_memberId is 0 and m_name empty until
  // the hello of the other side arrives.
  struct Link
  {
    net::ConnectionPtr m_connection;
    int64_t m_memberId = 0;
    std::string m_name;
    bool m_outgoing = false;
    std::string m_dialedAddress; // of an outgoing one
    TimePoint m_dialedAt;        // when it began to be opened
    bool m_readsPackedEntries = false;
    bool m_readsLeavingReports = false;
    bool m_readsReports = false; // see ControlHello
    TimePoint m_lastReceived;    // last frame
    TimePoint m_lastKeepalive;   // last hello sent as a keepalive
  };
  // Keeps a connection to one address, with a backoff between attempts.
  struct Dialer
  {
    SocketAddress m_address;
    Backoff m_backoff;
    TimePoint m_nextAttempt;
    TimePoint m_attemptedAt; // start of the last attempt
    bool m_active = false;   // attempt in progress or connected
    bool m_isSelf = false;   // the address is this VM's own
    net::Connection* m_connection = nullptr;
  };

  // The connection to use for a member, or null when there is none that can
  // take a message now.
  net::ConnectionPtr UsableConnection(int64_t aMember) const;
  Link& AddLink(const net::ConnectionPtr& aConnection, bool aOutgoing);
  void CheckLinks(TimePoint aNow);
  void AddDialer(const SocketAddress& aAddress);
  void Connect(Dialer& aDialer);
  void OnConnected(const std::string& aKey, Result<net::ConnectionPtr> aResult);
  void ScheduleRetry(Dialer& aDialer);
  net::ConnectionHandlers MakeConnectionHandlers();
  void SendHello(const net::ConnectionPtr& aConnection);
  void SendHelloToAll();
  void OnFrame(const net::ConnectionPtr& aConnection,
               const wire::Frame& aFrame);
  void OnHello(const net::ConnectionPtr& aConnection,
               const wire::ControlHello& aHello);
  void OnClosed(const net::ConnectionPtr& aConnection);
  void Drop(const net::ConnectionPtr& aConnection);
  Dialer* FindDialer(const net::Connection* aConnection);

  boost::asio::io_context& m_io;
  const ControlSettings& m_settings;
  const int64_t m_memberId;
  uint64_t m_seed;
  EventLog& m_log;
  const PeerHandlers m_handlers;
  std::string m_clusterId;
  bool m_hasLog = false;
  std::optional<wire::Membership> m_formation;
  bool m_announcesStopping = false;
  std::unique_ptr<net::Listener> m_listener;
  std::map<std::string, Dialer> m_dialers; // by address
  std::map<net::Connection*, Link> m_links;
  wire::EntryPacker m_packer;
  TimePoint m_lastTick;
  bool m_stopped = false;
};

} // namespace wigeonfold::control
