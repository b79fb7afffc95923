// Two nodes in one process with a given view, and a target with scripted
// reactions.
#pragma once

#include "DataPlane.h"

#include "wigeonfold/forwarding/NativeDialect.h"
#include "wigeonfold/platform/CallerDialect.h"

#include <array>
#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <thread>

namespace wigeonfold::node {

using forwarding::kAccountHeader;
using forwarding::kDeadlineHeader;
using forwarding::kDepthHeader;
using forwarding::kReasonHeader;
using forwarding::kRunHeader;
using forwarding::kTargetHeader;

using namespace std::chrono_literals;
namespace asio = boost::asio;

// What the test target does with a request.
struct Reaction
{
  std::string m_bytes; // written in one piece
  bool m_close = false;
  Duration m_delay{};    // before anything is written
  bool m_reset = false;  // the close is a reset
  std::string m_endless; // then written until the connection is closed
  Duration m_endDelay{}; // between the bytes and what follows
  // Ends the sending, before a close if there is one. Without a close the rest
  // of the request is then read.
  bool m_endSending = false;
};

inline std::string CompleteAnswer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

// Reads requests without a body and reacts to each as the script says. The
// script gets the number of the request, counted over all connections. Runs on
// the thread of the io_context.
class TestTarget
{
public:
  using Script =
    std::function<Reaction(int aNumber, const std::string& aRequest)>;
  static constexpr int kEthernetSegmentBytes = 1460;
  static constexpr int kSmallBufferBytes = 4096;

  // aHasSmallBuffers: a body that the target doesn't read stays with the
  // sender. On loopback its socket would else accept some MiB.
  TestTarget(asio::io_context& aIo,
             Script aScript,
             bool aHasSmallBuffers = false)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_script(std::move(aScript))
  {
    if (aHasSmallBuffers) {
      using SegmentSize =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
      m_acceptor.set_option(SegmentSize(kEthernetSegmentBytes));
      m_acceptor.set_option(
        asio::socket_base::receive_buffer_size(kSmallBufferBytes));
    }
    Accept();
  }

  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  void StopAccepting() { m_acceptor.close(); }
  void Stop()
  {
    StopAccepting();
    for (const auto& client : m_clients) {
      client->m_socket.close();
    }
  }

  std::atomic<int> m_requests{ 0 };
  std::atomic<int> m_connections{ 0 };
  std::atomic<size_t> m_endlessBytes{ 0 }; // accepted by the sockets

private:
  struct Client
  {
    explicit Client(asio::ip::tcp::socket aSocket)
      : m_socket(std::move(aSocket))
      , m_timer(m_socket.get_executor())
    {
    }
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_in;
    std::string m_out;
  };
  using ClientPtr = std::shared_ptr<Client>;

  void Accept()
  {
    m_acceptor.async_accept([this](auto aCode, asio::ip::tcp::socket aSocket) {
      if (!aCode) {
        ++m_connections;
        m_clients.push_back(std::make_shared<Client>(std::move(aSocket)));
        Read(m_clients.back());
        Accept();
      }
    });
  }

  void Read(const ClientPtr& aClient)
  {
    asio::async_read_until(aClient->m_socket,
                           asio::dynamic_buffer(aClient->m_in),
                           "\r\n\r\n",
                           [this, aClient](auto aCode, size_t aBytes) {
                             if (aCode) {
                               return;
                             }
                             const std::string request =
                               aClient->m_in.substr(0, aBytes);
                             aClient->m_in.erase(0, aBytes);
                             React(aClient, m_script(m_requests++, request));
                           });
  }

  void React(const ClientPtr& aClient, const Reaction& aReaction)
  {
    aClient->m_timer.expires_after(aReaction.m_delay);
    aClient->m_timer.async_wait([this, aClient, aReaction](auto) {
      aClient->m_out = aReaction.m_bytes;
      asio::async_write(
        aClient->m_socket,
        asio::buffer(aClient->m_out),
        [this, aClient, aReaction](auto, size_t) {
          aClient->m_timer.expires_after(aReaction.m_endDelay);
          aClient->m_timer.async_wait(
            [this, aClient, aReaction](auto) { End(aClient, aReaction); });
        });
    });
  }

  void End(const ClientPtr& aClient, const Reaction& aReaction)
  {
    boost::system::error_code ignored;
    if (aReaction.m_endSending) {
      aClient->m_socket.shutdown(asio::socket_base::shutdown_send, ignored);
    }
    if (aReaction.m_reset) {
      aClient->m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (aReaction.m_close) {
      aClient->m_socket.close(ignored);
    } else if (!aReaction.m_endless.empty()) {
      aClient->m_out = aReaction.m_endless;
      WriteEndlessly(aClient);
    } else {
      Read(aClient);
    }
  }

  void WriteEndlessly(const ClientPtr& aClient)
  {
    asio::async_write(aClient->m_socket,
                      asio::buffer(aClient->m_out),
                      [this, aClient](auto aCode, size_t aBytes) {
                        m_endlessBytes += aBytes;
                        if (!aCode) {
                          WriteEndlessly(aClient);
                        }
                      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  Script m_script;
  std::vector<ClientPtr> m_clients;
};

// Sends bytes and returns all that is received until the peer closes the
// connection.
inline std::string SendAndReadAll(uint16_t aPort, const std::string& aBytes)
{
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({ asio::ip::make_address("127.0.0.1"), aPort });
  asio::write(socket, asio::buffer(aBytes));
  std::string answer;
  boost::system::error_code code;
  asio::read(socket, asio::dynamic_buffer(answer), code);
  return answer;
}

// Two nodes, n0 and n1. The service "lots" has the prefix /lots; requests go to
// the endpoints given to SetView().
class TestNodes : public testing::Test
{
protected:
  TestNodes()
    : m_guard(m_io.get_executor())
    , m_log("test", 100)
    , m_metrics(m_registry)
  {
    for (size_t node = 0; node < 2; ++node) {
      m_nodes.push_back(StartNode(node, 1));
    }
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~TestNodes() override
  {
    m_io.stop();
    m_thread.join();
    m_nodes.clear();
  }

  std::unique_ptr<DataPlane> StartNode(size_t aNode, int64_t aEpoch)
  {
    NodeSettings settings;
    settings.m_name = "n" + std::to_string(aNode);
    settings.m_availabilityZone = "z";
    settings.m_callerListen = { "127.0.0.1", 0 };
    settings.m_peerListen = { "127.0.0.1", 0 };
    settings.m_pickStrategy = "round-robin";
    settings.m_queue = "fair";
    settings.m_peerConnectTimeout = 250ms;
    settings.m_targetConnectTimeout = 250ms;
    settings.m_announceLease = m_announceLease;
    settings.m_service = m_service;
    settings.m_maxReportDelay = m_maxReportDelay;
    settings.m_drainLinger = 100ms;
    settings.m_drainLimit = 10s;
    settings.m_keyLease = m_keyLease;
    auto node = std::make_unique<DataPlane>(
      m_io,
      settings,
      m_speaksPlatform ? platform::MakeCallerDialect(1)
                       : forwarding::MakeNativeDialect(1),
      aEpoch,
      m_metrics,
      m_log,
      DataPlane::Hooks{
        [this](const wire::EndpointRecord& aRecord) {
          m_announced.push_back(aRecord);
          return true;
        },
        [this](const Version& aVersion) { m_peerVersions.push_back(aVersion); },
        [this](const TargetStart& aStart) { m_toStore.push_back(aStart); },
        [this](const AnnouncementAnswer& aAnswer) {
          m_answers.push_back(aAnswer);
        },
        [this](const CrashRecords& aRecords) {
          m_crashes.insert(m_crashes.end(), aRecords.begin(), aRecords.end());
          return true;
        },
        [this](VersionStatsList aStats) {
          m_versionStats.push_back(std::move(aStats));
        },
        [this](const QuotaUsage& aUsage) {
          m_usage.insert(m_usage.end(), aUsage.begin(), aUsage.end());
          return true;
        } });
    EXPECT_TRUE(node->Start());
    return node;
  }

  // Runs aAction on the thread of the io_context and waits for its end.
  void RunOnIoThread(const std::function<void()>& aAction)
  {
    std::promise<void> done;
    asio::post(m_io, [&] {
      aAction();
      done.set_value();
    });
    done.get_future().wait();
  }

  wire::EndpointRecord EndpointOf(size_t aNode)
  {
    wire::EndpointRecord record =
      Endpoint("n" + std::to_string(aNode), m_nodes[aNode]->PeerPort());
    record.nodeEpoch = m_epochs[aNode];
    return record;
  }

  // Ends the node's process without notice and starts it again. It has neither
  // a view nor a target then.
  void Restart(size_t aNode)
  {
    RunOnIoThread([&] {
      m_nodes[aNode].reset();
      m_nodes[aNode] = StartNode(aNode, ++m_epochs[aNode]);
    });
  }

  static wire::EndpointRecord Endpoint(const std::string& aName, uint16_t aPort)
  {
    wire::EndpointRecord record;
    record.nodeName = aName;
    record.nodeEpoch = 1;
    record.serviceName = "lots";
    record.availabilityZone = "z";
    record.nodeAddress = ToString(SocketAddress{ "127.0.0.1", aPort });
    record.slots = 4;
    record.state = wire::EndpointState::Ready;
    return record;
  }

  struct Setting
  {
    std::string m_path;
    std::string m_key;
    std::string m_value;
  };

  void SetView(const std::vector<wire::EndpointRecord>& aEndpoints,
               std::vector<Setting> aSettings = {},
               bool aReady = true,
               bool aConfirmed = true)
  {
    aSettings.push_back({ "services/lots", "route.prefix", "/lots" });
    std::vector<wire::Operation> operations;
    for (const Setting& setting : aSettings) {
      operations.push_back(
        settings::SetOperation(setting.m_path, setting.m_key, setting.m_value));
    }
    const auto tree = settings::Tree().Apply(operations, Version{ 1, 1 });
    ASSERT_TRUE(tree) << tree.error().ToString();
    const auto view =
      routing::View::Build(tree.value(), routing::GroupByService(aEndpoints));
    ASSERT_TRUE(view);
    RunOnIoThread([&] {
      for (const auto& node : m_nodes) {
        node->OnView(
          { view.value(), tree.value().Digest(), aReady, aConfirmed, {} });
      }
    });
  }

  void Announce(size_t aNode,
                uint16_t aTargetPort,
                int aSlots = 4,
                bool aDraining = false)
  {
    RunOnIoThread([&] {
      Announcement announcement;
      announcement.m_service = "lots";
      announcement.m_address = { "127.0.0.1", aTargetPort };
      announcement.m_slots = aSlots;
      announcement.m_connections = 10;
      announcement.m_state = aDraining ? discovery::ReportedState::Draining
                                       : discovery::ReportedState::Ready;
      announcement.m_instance = "i";
      m_nodes[aNode]->OnAnnouncement(announcement, ++m_lastAnnouncement);
    });
  }

  // Starts a target of node n1, the only endpoint in the view.
  TestTarget& ServeAtPeer(TestTarget::Script aScript,
                          int aSlots = 4,
                          const std::vector<Setting>& aSettings = {})
  {
    RunOnIoThread([&] {
      m_target = std::make_unique<TestTarget>(
        m_io, std::move(aScript), m_hasSmallBuffers);
    });
    Announce(1, m_target->Port(), aSlots);
    SetView({ EndpointOf(1) }, aSettings);
    return *m_target;
  }

  net::HttpResponse Call(size_t aNode, const net::HttpRequest& aRequest)
  {
    const auto answer = net::HttpCall(
      { "127.0.0.1", m_nodes[aNode]->CallerPort() }, aRequest, 20s);
    EXPECT_TRUE(answer);
    return answer ? answer.value() : net::HttpResponse{ 0, {}, "" };
  }

  std::future<net::HttpResponse> CallLater(size_t aNode,
                                           const net::HttpRequest& aRequest)
  {
    return std::async(std::launch::async,
                      [=, this] { return Call(aNode, aRequest); });
  }

  static std::string FieldOf(const net::HttpResponse& aAnswer,
                             const std::string& aName)
  {
    const std::string* value = net::FindField(aAnswer.m_fields, aName);
    return value == nullptr ? "" : *value;
  }

  static void ExpectOutcome(const net::HttpResponse& aAnswer,
                            int aStatus,
                            const std::string& aRun,
                            const std::string& aReason)
  {
    EXPECT_EQ(aAnswer.m_status, aStatus);
    EXPECT_EQ(FieldOf(aAnswer, kRunHeader), aRun);
    EXPECT_EQ(FieldOf(aAnswer, kReasonHeader), aReason);
    EXPECT_NE(FieldOf(aAnswer, kTargetHeader), "");
  }

  // Of nodes that are started from now on.
  Duration m_announceLease = 60s;
  std::string m_service;
  Duration m_maxReportDelay{};
  identity::LeaseSettings m_keyLease;
  bool m_speaksPlatform = false;
  bool m_hasSmallBuffers = false; // targets that are started from now on
  asio::io_context m_io{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  EventLog m_log;
  observe::Metrics m_registry;
  NodeMetrics m_metrics;
  std::vector<std::unique_ptr<DataPlane>> m_nodes;
  std::array<int64_t, 2> m_epochs{ 1, 1 };
  std::unique_ptr<TestTarget> m_target;
  // Endpoints that the nodes announced, and versions that peers reported to
  // them. Only for the io_context's thread.
  std::vector<wire::EndpointRecord> m_announced;
  std::vector<Version> m_peerVersions;
  std::vector<TargetStart> m_toStore; // leaving starts to be stored
  std::vector<AnnouncementAnswer> m_answers;
  CrashRecords m_crashes;                       // to be shared with other nodes
  std::vector<VersionStatsList> m_versionStats; // to be reported
  QuotaUsage m_usage;
  uint64_t m_lastAnnouncement = 0;
  std::thread m_thread;
};

inline net::HttpRequest Get(const std::string& aTarget,
                            std::vector<net::HttpField> aFields = {})
{
  return { "GET", aTarget, std::move(aFields), "" };
}

inline net::HttpRequest Post(const std::string& aTarget,
                             std::vector<net::HttpField> aFields = {})
{
  return { "POST", aTarget, std::move(aFields), "" };
}

} // namespace wigeonfold::node
