// Guards against frames that are lost, duplicated or reordered on a connection,
// and against link rules that don't take effect.
#include "wigeonfold/net/Connection.h"
#include "wigeonfold/net/LinkPolicy.h"

#include <utility>

#include <boost/asio.hpp>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace wigeonfold::net {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// An echo server and one client connection on one io_context.
class ConnectionTest : public testing::Test
{
protected:
  ConnectionTest()
  {
    InstallLinkPolicy(m_io, m_policy);
    m_listener = std::move(
      Listen(m_io,
             { "127.0.0.1", 0 },
             { [](const ConnectionPtr& aConnection, wire::Frame aFrame) {
                aConnection->SendFrame(aFrame.m_type, aFrame.m_payload);
              },
               nullptr },
             nullptr)
        .value());
  }

  void Open()
  {
    Connect(m_io,
            { "127.0.0.1", m_listener->Port() },
            100ms,
            { [this](const ConnectionPtr&, wire::Frame aFrame) {
               m_received.push_back(aFrame.m_payload);
             },
              [this](const ConnectionPtr&, const Error& aError) {
                m_closed = aError;
              } },
            [this](Result<ConnectionPtr> aResult) {
              if (aResult) {
                m_client = aResult.value();
              } else {
                m_closed = aResult.error();
              }
            });
  }

  // Runs the event loop until the condition holds. If it never does, the test
  // program times out.
  template<class F>
  void RunUntil(F&& aCondition)
  {
    while (!aCondition()) {
      m_io.run_one();
    }
  }

  asio::io_context m_io;
  std::shared_ptr<LinkPolicy> m_policy = std::make_shared<LinkPolicy>();
  std::unique_ptr<Listener> m_listener;
  ConnectionPtr m_client;
  std::vector<std::string> m_received;
  std::optional<Error> m_closed;
};

TEST_F(ConnectionTest, FramesArriveWholeAndInOrder)
{
  Open();
  RunUntil([this] { return m_client != nullptr; });
  std::vector<std::string> sent;
  for (size_t i = 0; i < 200; ++i) {
    sent.push_back(std::string(i * 997 % 50'000, static_cast<char>(i)));
    ASSERT_TRUE(m_client->SendFrame(wire::FrameType::Raft, sent.back()));
  }
  RunUntil([&] { return m_received.size() == sent.size(); });
  EXPECT_EQ(m_received, sent);
  m_client->Close();
}

// Guards against the memory of a process that is filled by frames that are
// announced with the greatest length and never end, on many connections.
TEST_F(ConnectionTest, UnfinishedFramesHaveABoundTogether)
{
  constexpr size_t kConnections = 6;
  std::string frame;
  wire::AppendFrame(
    frame, wire::FrameType::Raft, 0, std::string(wire::kMaxPayloadBytes, 'x'));
  frame.pop_back();
  std::vector<asio::ip::tcp::socket> sockets;
  size_t ended = 0;
  for (size_t i = 0; i < kConnections; ++i) {
    auto& socket = sockets.emplace_back(m_io);
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_listener->Port() });
  }
  size_t sent = 0;
  for (auto& socket : sockets) {
    asio::async_write(socket,
                      asio::buffer(frame),
                      [&](boost::system::error_code aCode, size_t aBytes) {
                        sent += aBytes;
                        ended += aCode ? 1 : 0;
                      });
  }
  RunUntil([&] { return sent >= (kConnections - ended) * frame.size(); });
  EXPECT_GE(ended, kConnections - 1);
  // The listener serves others meanwhile.
  Open();
  RunUntil([&] { return m_client != nullptr; });
  m_client->SendFrame(wire::FrameType::Raft, "small");
  RunUntil([&] { return !m_received.empty(); });
  EXPECT_EQ(m_received.front(), "small");
}

TEST_F(ConnectionTest, RefusedLinkFailsAtOnceAndBreaksConnections)
{
  Open();
  RunUntil([this] { return m_client != nullptr; });
  m_policy->SetRules({ { "127.0.0.", LinkState::Refused } });
  m_client->SendFrame(wire::FrameType::Raft, "x");
  RunUntil([this] { return m_closed.has_value(); });
  EXPECT_EQ(m_closed->m_detail, "link cut by a fault injection rule");
  m_closed.reset();
  Open();
  RunUntil([this] { return m_closed.has_value(); });
  EXPECT_EQ(m_closed->m_code, ErrorCode::Unavailable);
}

TEST_F(ConnectionTest, SilentLinkDeliversNothingUntilItIsUpAgain)
{
  Open();
  RunUntil([this] { return m_client != nullptr; });
  m_policy->SetRules({ { "127.0.0.", LinkState::Silent } });
  m_client->SendFrame(wire::FrameType::Raft, "delayed");
  Open();
  RunUntil([this] { return m_closed.has_value(); });
  EXPECT_EQ(m_closed->m_code, ErrorCode::Timeout);
  EXPECT_TRUE(m_received.empty());
  m_policy->SetRules({});
  RunUntil([this] { return !m_received.empty(); });
  EXPECT_EQ(m_received.front(), "delayed");
  m_client->Close();
}

// Guards against links that stay cut after the rules file is emptied, which
// happened when an empty file was taken for one that can't be read.
TEST(LinkRulesTest, EmptiedFileRestoresEveryLink)
{
  const std::string path =
    testing::TempDir() + "link-rules-" + std::to_string(::getpid());
  std::ofstream(path) << "refuse 127.0.2.\n";
  asio::io_context io;
  const auto policy = std::make_shared<LinkPolicy>();
  WatchLinkRules(io, path, 1ms, policy);
  EXPECT_EQ(policy->StateOf("127.0.2.1"), LinkState::Refused);
  std::ofstream(path, std::ios::trunc).close();
  while (policy->StateOf("127.0.2.1") != LinkState::Up) {
    io.run_one();
  }
  std::remove(path.c_str());
}

TEST(LinkRulesTest, ParsesRulesAndReportsAnInvalidLine)
{
  const auto rules =
    ParseLinkRules("# cut\nrefuse 127.0.1.\nsilent 127.0.2.\n");
  ASSERT_TRUE(rules);
  ASSERT_EQ(rules.value().size(), 2U);
  EXPECT_EQ(rules.value()[1].m_state, LinkState::Silent);
  EXPECT_EQ(ParseLinkRules("drop it\n").error().m_detail,
            "'drop it' is neither 'refuse PREFIX' nor 'silent PREFIX'");
}

} // namespace
} // namespace wigeonfold::net
