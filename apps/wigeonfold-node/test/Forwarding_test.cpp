// Guards against answers that are cut short or belong to another request,
// against requests that run twice, and against requests lost in a shutdown.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

using Forwarding = TestNodes;

// Second request on the same connection gets aFirst's leftovers.
TEST_F(Forwarding, ConnectionIsReusedAfterAWholeAnswer)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ WholeAnswer("x") }; });
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
  EXPECT_NE(Converse(port, "HEAD" + rest).find("Content-Length: 9\r\n"),
            std::string::npos);
  const std::string empty = Converse(port, "GET" + rest);
  EXPECT_EQ(empty.find("HTTP/1.1 204 "), 0U);
  EXPECT_EQ(empty.find("Content-Length"), std::string::npos);
  EXPECT_EQ(target.m_connections, 1);
}

TEST_F(Forwarding, AnswerCutShortIsUnknown)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
                     true };
  });
  ExpectOutcome(Call(0, Post("/lots")), 502, "unknown", "target-lost");
}

// HTTP/1.1 lets an answer end with its connection; only an orderly close ends
// it as complete.
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
    return Reaction{ WholeAnswer(std::string(net::kMaxBodyBytes + 1, 'x')) };
  });
  ExpectOutcome(Call(0, Post("/lots")), 502, "unknown", "answer-unusable");
}

// The first answer is followed by a second one that nobody asked for.
TEST_F(Forwarding, LateAnswerIsNotGivenToTheNextRequest)
{
  TestTarget& target = ServeAtPeer([](int aNumber, const std::string&) {
    const std::string mine = std::to_string(aNumber);
    return Reaction{ WholeAnswer(mine) + WholeAnswer("stale " + mine) };
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call(0, Post("/lots")).m_body, std::to_string(i));
  }
  EXPECT_EQ(target.m_connections, 5);
}

TEST_F(Forwarding, IdleConnectionClosedByTheTargetIsNotReused)
{
  ServeAtPeer([](int, const std::string&) {
    return Reaction{ WholeAnswer("x"), true };
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Call(0, Post("/lots")).m_status, 200);
    std::this_thread::sleep_for(20ms); // the close arrives
  }
}

TEST_F(Forwarding, OnlyIdempotentRequestsAreRepeatedAfterALoss)
{
  Do([&] {
    m_target =
      std::make_unique<TestTarget>(m_io, [](int aNumber, const std::string&) {
        return aNumber % 2 == 0 ? Reaction{ "", true }
                                : Reaction{ WholeAnswer("x") };
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
    [](int, const std::string&) { return Reaction{ WholeAnswer("x") }; });
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
                          : Reaction{ WholeAnswer("x") };
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

// A peer that accepts connections and says nothing, beside a target that
// answers. Round robin: one of two requests goes to the silent peer first.
class SilentPeer : public Forwarding
{
protected:
  SilentPeer()
    : m_silent(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    Do([&] {
      m_target =
        std::make_unique<TestTarget>(m_io, [](int, const std::string&) {
          return Reaction{ WholeAnswer("x") };
        });
    });
    Announce(0, m_target->Port());
    SetView(
      { Endpoint("n9", m_silent.local_endpoint().port()), EndpointOf(0) });
  }

private:
  asio::ip::tcp::acceptor m_silent;
};

// Guards against idempotent requests that wait for a peer that vanished until
// their deadline although another target could answer.
TEST_F(SilentPeer, IsLeftByRequestsThatMayBeRepeated)
{
  for (int i = 0; i < 2; ++i) {
    const auto answer = Call(0, Get("/lots", { { kDeadlineHeader, "2500" } }));
    EXPECT_EQ(answer.m_status, 200);
  }
}

// Guards against requests that serve as probes of a part of the fleet that is
// cut off: those that can't be repeated are lost there, again each second.
TEST_F(SilentPeer, IsNotSentRequestsToSeeWhetherItIsBack)
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

// Passes bytes on to a port; those of the way back are held for a while, as
// when packets are lost.
class SlowRelay
{
public:
  SlowRelay(asio::io_context& aIo, uint16_t aPort, Duration aHold)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_near(aIo)
    , m_far(aIo)
    , m_timer(aIo)
  {
    m_acceptor.async_accept(m_near, [this, aPort, aHold](auto aCode) {
      if (aCode) {
        return;
      }
      m_far.connect({ asio::ip::make_address("127.0.0.1"), aPort });
      Copy(m_near, m_far, m_out);
      m_timer.expires_after(aHold);
      m_timer.async_wait([this](auto) { Copy(m_far, m_near, m_back); });
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
  asio::ip::tcp::socket m_near;
  asio::ip::tcp::socket m_far;
  asio::steady_timer m_timer;
  Bytes m_out{};
  Bytes m_back{};
};

// Guards against a 502 for a request that ran once and may not be repeated,
// only because the answer was held up on the way.
TEST_F(Forwarding, AnswerThatIsHeldUpIsDeliveredToACallerThatCannotRepeat)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ WholeAnswer("x") }; });
  std::unique_ptr<SlowRelay> relay;
  Do([&] {
    relay = std::make_unique<SlowRelay>(m_io, m_nodes[1]->PeerPort(), 900ms);
  });
  SetView({ Endpoint("n1", relay->Port()) });
  const auto answer = Call(0, Post("/lots", { { kDeadlineHeader, "5000" } }));
  EXPECT_EQ(answer.m_status, 200);
  EXPECT_EQ(target.m_requests, 1);
  Do([&] { relay.reset(); });
}

TEST_F(Forwarding, TargetGetsMetadataAndNoHopByHopFields)
{
  std::string seen;
  ServeAtPeer([&seen](int, const std::string& aRequest) {
    seen = aRequest;
    return Reaction{ WholeAnswer("x") };
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

// The view keeps naming the stopping node, as when no control VM is up.
TEST_F(Forwarding, ShutdownOfANodeCutsNoRequest)
{
  TestTarget& target = ServeAtPeer([](int, const std::string&) {
    return Reaction{ WholeAnswer("x"), false, 5ms };
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
  Do([&] { m_nodes[1]->Drain([&] { drained.set_value(); }); });
  drained.get_future().wait();
  // The process ends here; a call that it still had would be lost.
  Do([&] { m_nodes[1].reset(); });
  std::this_thread::sleep_for(100ms);
  stop = true;
  for (auto& caller : callers) {
    caller.wait();
  }
  EXPECT_EQ(wrong, 0);
}

TEST_F(Forwarding, CallersAreHeldToTheLimitsOfTheTree)
{
  ServeAtPeer(
    [](int, const std::string&) { return Reaction{ WholeAnswer("x") }; },
    4,
    { { "", "caller.body-bytes", "10" } });
  net::HttpRequest request = Post("/lots/1");
  request.m_body = std::string(11, 'x');
  EXPECT_EQ(Call(0, request).m_status, 413);
  request.m_body.pop_back();
  EXPECT_EQ(Call(0, request).m_status, 200);
}

// A node that starts with an older configuration, from a control VM that has
// just started too, must hear of a newer one that another node has in force
// before it is ready. No call needs to come first.
TEST_F(Forwarding, ANodeThatIsNotReadyAsksOthersForTheirVersion)
{
  const auto viewAt = [this](int64_t aNumber) {
    const std::vector<wire::Operation> operations{ settings::SetOperation(
      "services/lots", "route.prefix", "/lots") };
    const auto tree =
      settings::Tree().Apply(operations, Version{ 1, aNumber }).value();
    auto view = routing::View::Build(tree, { EndpointOf(0) }).value();
    return ViewUpdate{ std::move(view), tree.Digest(), false };
  };
  Do([&] {
    m_nodes[0]->OnView(viewAt(2));
    m_nodes[1]->OnView(viewAt(1));
  });
  std::vector<Version> heard;
  while (heard.empty()) {
    std::this_thread::sleep_for(10ms);
    Do([&] { heard = m_peerVersions; });
  }
  EXPECT_EQ(heard.front(), (Version{ 1, 2 }));
}

} // namespace
} // namespace wigeonfold::node
