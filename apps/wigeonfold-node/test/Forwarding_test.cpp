// Guards against answers that are truncated or belong to another request,
// against requests that run twice, and against requests lost in a shutdown.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

using Forwarding = TestNodes;

// Guards against a new connection to the target for each request.
TEST_F(Forwarding, ConnectionIsReusedAfterACompleteAnswer)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call(0, Post("/lots")).m_body, "x");
  }
  EXPECT_EQ(target.m_connections, 1);
}

TEST_F(Forwarding, AnswersWithoutABodyPassUnchanged)
{
  TestTarget& target = ServeAtPeer([](int aNumber, const std::string&) {
    return aNumber == 0
             ? Reaction{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" }
             : Reaction{ "HTTP/1.1 204 No Content\r\n\r\n" };
  });
  const uint16_t port = m_nodes[0]->CallerPort();
  const std::string rest =
    " /lots HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  EXPECT_NE(SendAndReadAll(port, "HEAD" + rest).find("Content-Length: 9\r\n"),
            std::string::npos);
  const std::string empty = SendAndReadAll(port, "GET" + rest);
  EXPECT_EQ(empty.find("HTTP/1.1 204 "), 0U);
  EXPECT_EQ(empty.find("Content-Length"), std::string::npos);
  EXPECT_EQ(target.m_connections, 1);
}

TEST_F(Forwarding, TruncatedAnswerIsUnknown)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
                     true };
  });
  ExpectOutcome(Call(0, Post("/lots")), 502, "unknown", "target-lost");
}

// The target stops anywhere in its answer, in the head or in the body, and
// closes the connection or resets it. The part must not look like an answer.
TEST_F(Forwarding, AnswerThatStopsAnywhereIsUnknown)
{
  int number = 0;
  for (const std::string& whole :
       { std::string("HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
                     "Content-Length: 12\r\n\r\nall the body"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "6\r\nall of\r\n0\r\n\r\n") }) {
    for (size_t length = 0; length < whole.size(); ++length) {
      for (const bool reset : { false, true }) {
        ServeAtPeer([&](int, const std::string&) {
          Reaction reaction{ whole.substr(0, length), true };
          reaction.m_reset = reset;
          return reaction;
        });
        // Each of these targets ends right after its answer, so that the same
        // request would soon be taken for one that ends its targets.
        const std::string path = "/lots/" + std::to_string(++number);
        ExpectOutcome(Call(1, Post(path)), 502, "unknown", "target-lost");
      }
    }
  }
}

// HTTP/1.1 allows an answer without a length that ends when the connection
// closes. It is complete only after an orderly close.
TEST_F(Forwarding, AnswerWithoutALengthEndsWithAnOrderlyClose)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ "HTTP/1.1 200 OK\r\n\r\nthe whole body", true };
  });
  const auto answer = Call(0, Post("/lots"));
  EXPECT_EQ(answer.m_status, 200);
  EXPECT_EQ(answer.m_body, "the whole body");
}

TEST_F(Forwarding, AnswerWithoutALengthThatIsResetIsUnknown)
{
  ServeAtPeer([](int, const std::string&) {
    Reaction reaction{ "HTTP/1.1 200 OK\r\n\r\nperhaps short", true };
    reaction.m_reset = true;
    return reaction;
  });
  ExpectOutcome(Call(0, Post("/lots")), 502, "unknown", "target-lost");
}

TEST_F(Forwarding, AnswerOverTheLimitIsUnknown)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ CompleteAnswer(std::string(net::kMaxBodyBytes + 1, 'x')) };
  });
  ExpectOutcome(Call(0, Post("/lots")), 502, "unknown", "answer-unusable");
}

// The target sends a second answer after each one, which belongs to no request.
TEST_F(Forwarding, LateAnswerIsNotGivenToTheNextRequest)
{
  TestTarget& target = ServeAtPeer([](int aNumber, const std::string&) {
    const std::string mine = std::to_string(aNumber);
    return Reaction{ CompleteAnswer(mine) + CompleteAnswer("stale " + mine) };
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call(0, Post("/lots")).m_body, std::to_string(i));
  }
  EXPECT_EQ(target.m_connections, 5);
}

// A faulty target writes an earlier refusal once more, in front of the answer
// to the next request, with its request id or without one. The caller must not
// be told that the request, which runs, did not run.
TEST_F(Forwarding, LateCopyOfARefusalIsNotBelieved)
{
  for (const bool copyNamesItsRequest : { true, false }) {
    TestTarget& target = ServeAtPeer([=](int aNumber, const std::string&) {
      const auto named = [](const std::string& aId) {
        return std::string(forwarding::kRequestIdHeader) + ": " + aId + "\r\n";
      };
      const std::string refusal = "HTTP/1.1 503 Busy\r\n" +
                                  std::string(kRunHeader) +
                                  ": not-run\r\nContent-Length: 0\r\n";
      const std::string end = "\r\n";
      if (aNumber == 0) {
        return Reaction{ refusal + named("a") + end };
      }
      const std::string copy =
        refusal + (copyNamesItsRequest ? named("a") : "") + end;
      const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + named("b") + end + "x";
      return Reaction{ copy + answer };
    });
    const auto call = [this](const std::string& aId) {
      return Call(1, Post("/lots", { { forwarding::kRequestIdHeader, aId } }));
    };
    EXPECT_EQ(FieldOf(call("a"), kRunHeader), "not-run");
    const auto answer = call("b");
    EXPECT_NE(FieldOf(answer, kRunHeader), "not-run") << copyNamesItsRequest;
    EXPECT_EQ(target.m_requests, 2);
  }
}

// The second copy of an answer arrives when the connection is in use again: the
// target writes it in front of the answer to the next request.
TEST_F(Forwarding, LateCopyOfAnAnswerOnABusyConnectionIsSkipped)
{
  std::string lastAnswer;
  TestTarget& target = ServeAtPeer([&](int, const std::string& aRequest) {
    const std::string name = "Wigeonfold-Request-Id: ";
    const size_t at = aRequest.find(name) + name.size();
    const std::string id = aRequest.substr(at, aRequest.find('\r', at) - at);
    const std::string answer =
      "HTTP/1.1 200 OK\r\n" + name + id +
      "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    return Reaction{ std::exchange(lastAnswer, answer) + answer };
  });
  std::set<std::string> bodies;
  for (const char* id : { "a", "b", "c", "", "" }) {
    net::HttpRequest request = Post("/lots");
    if (*id != '\0') {
      request.m_fields.push_back({ forwarding::kRequestIdHeader, id });
    }
    const std::string body = Call(0, request).m_body;
    EXPECT_TRUE(*id == '\0' || body == id) << body;
    EXPECT_TRUE(bodies.insert(body).second) << body;
  }
  EXPECT_EQ(target.m_connections, 1);
}

TEST_F(Forwarding, IdleConnectionClosedByTheTargetIsNotReused)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ CompleteAnswer("x"), true };
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call(0, Post("/lots")).m_status, 200);
    std::this_thread::sleep_for(20ms); // until the close has arrived
  }
}

TEST_F(Forwarding, OnlyIdempotentRequestsAreRepeatedAfterALoss)
{
  RunOnIoThread([&] {
    m_target =
      std::make_unique<TestTarget>(m_io, [](int aNumber, const std::string&) {
        return aNumber % 2 == 0 ? Reaction{ "", true }
                                : Reaction{ CompleteAnswer("x") };
      });
  });
  Announce(0, m_target->Port());
  Announce(1, m_target->Port());
  SetView({ EndpointOf(0), EndpointOf(1) });
  EXPECT_EQ(Call(0, Get("/lots")).m_status, 200);
  EXPECT_EQ(m_target->m_requests, 2);
  EXPECT_EQ(Call(0, Post("/lots")).m_status, 502);
  EXPECT_EQ(m_target->m_requests, 3);
}

TEST_F(Forwarding, DrainingEndpointIsReplacedByAnother)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Announce(0, target.Port(), 4, true);
  SetView({ EndpointOf(0), EndpointOf(1) });
  for (int i = 0; i < 10; ++i) {
    const auto answer = Call(0, Post("/lots"));
    EXPECT_EQ(answer.m_status, 200);
    EXPECT_EQ(FieldOf(answer, kTargetHeader), "n1");
  }
}

TEST_F(Forwarding, CancelledCallClosesTheTargetConnectionAndFreesTheSlot)
{
  TestTarget& target = ServeAtPeer(
    [](int aNumber, const std::string&) {
      return aNumber == 0 ? Reaction{ "", false, 60s }
                          : Reaction{ CompleteAnswer("x") };
    },
    1);
  {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect(
      { asio::ip::make_address("127.0.0.1"), m_nodes[0]->CallerPort() });
    asio::write(
      socket,
      asio::buffer(std::string("GET /lots HTTP/1.1\r\nHost: x\r\n\r\n")));
    while (target.m_requests == 0) {
      std::this_thread::yield();
    }
  }
  const auto answer = Call(0, Post("/lots", { { kDeadlineHeader, "1500" } }));
  EXPECT_EQ(answer.m_status, 200);
}

// A peer that accepts connections and sends nothing, beside a target that
// answers. Round robin sends every other request to the silent peer first.
class SilentPeer : public Forwarding
{
protected:
  SilentPeer()
    : m_silent(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    RunOnIoThread([&] {
      m_target =
        std::make_unique<TestTarget>(m_io, [](int, const std::string&) {
          return Reaction{ CompleteAnswer("x") };
        });
    });
    Announce(0, m_target->Port());
    SetView(
      { Endpoint("n9", m_silent.local_endpoint().port()), EndpointOf(0) });
  }

  uint16_t SilentPort() const { return m_silent.local_endpoint().port(); }

private:
  asio::ip::tcp::acceptor m_silent;
};

// Guards against idempotent requests that wait until their deadline for a peer
// that no longer answers, although another target could answer.
TEST_F(SilentPeer, IdempotentRequestsAreSentToAnotherTarget)
{
  for (int i = 0; i < 2; ++i) {
    const auto answer = Call(0, Get("/lots", { { kDeadlineHeader, "2500" } }));
    EXPECT_EQ(answer.m_status, 200);
  }
}

// During a planned stop a request whose target was at work ended after half a
// second of silence on a full link, although the answer was on its way.
TEST_F(SilentPeer, APlannedStopDoesNotCutARequest)
{
  RunOnIoThread([&] { m_target->Stop(); });
  SetView({ Endpoint("n9", SilentPort()) });
  auto answer = CallLater(0, Get("/lots", { { kDeadlineHeader, "1200" } }));
  for (size_t calls = 0; calls == 0;) {
    RunOnIoThread([&] { calls = m_nodes[0]->Report(0).m_calls; });
  }
  RunOnIoThread([&] { m_nodes[0]->Drain([] {}); });
  ExpectOutcome(answer.get(), 504, "unknown", "expired-after-write");
}

// Guards against callers' requests being used to probe unreachable nodes: again
// and again, requests that can't be repeated would be lost there.
TEST_F(SilentPeer, RequestsAreNotUsedAsProbes)
{
  for (int i = 0; i < 2; ++i) {
    Call(0, Get("/lots", { { kDeadlineHeader, "2500" } }));
  }
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    served += Call(0, Post("/lots")).m_status == 200 ? 1 : 0;
    std::this_thread::sleep_for(50ms);
  }
  EXPECT_EQ(served, 60);
}

// Forwards one connection to a port and delays the bytes of the opposite
// direction, as packet loss does.
class SlowRelay
{
public:
  SlowRelay(asio::io_context& aIo, uint16_t aPort, Duration aDelay)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_client(aIo)
    , m_server(aIo)
    , m_timer(aIo)
  {
    m_acceptor.async_accept(m_client, [this, aPort, aDelay](auto aCode) {
      if (aCode) {
        return;
      }
      m_server.connect({ asio::ip::make_address("127.0.0.1"), aPort });
      Copy(m_client, m_server, m_clientBytes);
      m_timer.expires_after(aDelay);
      m_timer.async_wait(
        [this](auto) { Copy(m_server, m_client, m_serverBytes); });
    });
  }

  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

private:
  using Bytes = std::array<char, 4096>;

  void Copy(asio::ip::tcp::socket& aFrom,
            asio::ip::tcp::socket& aTo,
            Bytes& aBytes)
  {
    aFrom.async_read_some(
      asio::buffer(aBytes),
      [this, &aFrom, &aTo, &aBytes](auto aCode, auto aSize) {
        if (!aCode) {
          asio::write(aTo, asio::buffer(aBytes.data(), aSize));
          Copy(aFrom, aTo, aBytes);
        }
      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_client;
  asio::ip::tcp::socket m_server;
  asio::steady_timer m_timer;
  Bytes m_clientBytes{};
  Bytes m_serverBytes{};
};

// Guards against a 502 for a request that ran once and may not be repeated,
// only because its answer was delayed in the network.
TEST_F(Forwarding, DelayedAnswerToANonIdempotentRequestIsDelivered)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  std::unique_ptr<SlowRelay> relay;
  RunOnIoThread([&] {
    relay = std::make_unique<SlowRelay>(m_io, m_nodes[1]->PeerPort(), 900ms);
  });
  SetView({ Endpoint("n1", relay->Port()) });
  const auto answer = Call(0, Post("/lots", { { kDeadlineHeader, "5000" } }));
  EXPECT_EQ(answer.m_status, 200);
  EXPECT_EQ(target.m_requests, 1);
  RunOnIoThread([&] { relay.reset(); });
}

TEST_F(Forwarding, TargetGetsMetadataAndNoHopByHopFields)
{
  std::string seen;
  ServeAtPeer([&seen](int, const std::string& aRequest) {
    seen = aRequest;
    return Reaction{ CompleteAnswer("x") };
  });
  Call(0,
       Post("/lots?a=b",
            { { "X-Mine", "1" },
              { "X-Hop", "1" },
              { "Keep-Alive", "5" },
              { "TE", "trailers" },
              { kAccountHeader, "offices/a" },
              { kDepthHeader, "2" } }));
  EXPECT_NE(seen.find("POST /lots?a=b HTTP/1.1\r\n"), std::string::npos);
  EXPECT_NE(seen.find("X-Mine: 1\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Wigeonfold-Account: offices/a\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Wigeonfold-Depth: 2\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Wigeonfold-Deadline-Ms: "), std::string::npos);
  EXPECT_EQ(seen.find("Keep-Alive"), std::string::npos);
  EXPECT_EQ(seen.find("TE:"), std::string::npos);
}

// The view keeps the stopping node as an endpoint, as it does while no control
// VM is up.
TEST_F(Forwarding, ShutdownOfANodeLosesNoRequest)
{
  TestTarget& target = ServeAtPeer([](int, const std::string&) {
    return Reaction{ CompleteAnswer("x"), false, 5ms };
  });
  Announce(0, target.Port());
  SetView({ EndpointOf(0), EndpointOf(1) });
  std::atomic<bool> stop{ false };
  std::atomic<int> wrong{ 0 };
  std::vector<std::future<void>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(std::async(std::launch::async, [&] {
      while (!stop) {
        wrong += Call(0, Post("/lots")).m_status == 200 ? 0 : 1;
      }
    }));
  }
  std::promise<void> drained;
  std::this_thread::sleep_for(100ms);
  RunOnIoThread([&] { m_nodes[1]->Drain([&] { drained.set_value(); }); });
  drained.get_future().wait();
  // Destroyed as at the end of the process: calls still in it would be lost.
  RunOnIoThread([&] { m_nodes[1].reset(); });
  std::this_thread::sleep_for(100ms);
  stop = true;
  for (auto& caller : callers) {
    caller.wait();
  }
  EXPECT_EQ(wrong, 0);
}

TEST_F(Forwarding, CallersAreSubjectToTheLimitsOfTheTree)
{
  ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; },
    4,
    { { "", "caller.body-bytes", "10" } });
  net::HttpRequest request = Post("/lots/1");
  request.m_body = std::string(11, 'x');
  EXPECT_EQ(Call(0, request).m_status, 413);
  request.m_body.pop_back();
  EXPECT_EQ(Call(0, request).m_status, 200);
}

// Guards against a node that becomes ready with an older configuration than its
// peers have: a control VM that has just started may send it one. Before it is
// ready, the node must learn a peer's newer version, without any call.
TEST_F(Forwarding, ANodeThatIsNotReadyAsksOthersForTheirVersion)
{
  const auto viewAt = [this](int64_t aNumber) {
    const std::vector<wire::Operation> operations{ settings::SetOperation(
      "services/lots", "route.prefix", "/lots") };
    const auto tree =
      settings::Tree().Apply(operations, Version{ 1, aNumber }).value();
    auto view =
      routing::View::Build(tree, routing::GroupByService({ EndpointOf(0) }))
        .value();
    return ViewUpdate{ std::move(view), tree.Digest(), false };
  };
  RunOnIoThread([&] {
    m_nodes[0]->OnView(viewAt(2));
    m_nodes[1]->OnView(viewAt(1));
  });
  std::vector<Version> reportedVersions;
  while (reportedVersions.empty()) {
    std::this_thread::sleep_for(10ms);
    RunOnIoThread([&] { reportedVersions = m_peerVersions; });
  }
  EXPECT_EQ(reportedVersions.front(), (Version{ 1, 2 }));
}

} // namespace
} // namespace wigeonfold::node
