// Guards against a client that reports a request as not sent after writing it,
// or that opens more connections than allowed.
#include "wigeonfold/net/HttpPool.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace wigeonfold::net {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr Duration kTimeout = 10s;

class HttpPoolTest : public testing::Test
{
protected:
  void Serve(HttpHandler aHandler, HttpLimits aLimits = {})
  {
    m_server = std::move(
      ServeHttp(m_io, { "127.0.0.1", 0 }, std::move(aHandler), {}, aLimits)
        .value());
    m_address = { "127.0.0.1", m_server->Port() };
  }

  // Sends aCount calls and runs until each has its outcome.
  std::vector<HttpOutcome> CallAll(size_t aCount,
                                   size_t aConnections,
                                   Duration aTimeout)
  {
    std::vector<HttpOutcome> outcomes;
    const auto pool = MakeHttpPool(m_io, m_address, aConnections);
    for (size_t i = 0; i < aCount; ++i) {
      pool->Call({ "GET", "/" + std::to_string(i), {}, "" },
                 aTimeout,
                 [&, aCount](HttpOutcome aOutcome) {
                   outcomes.push_back(std::move(aOutcome));
                   if (outcomes.size() == aCount) {
                     m_io.stop();
                   }
                 });
    }
    m_io.run();
    return outcomes;
  }

  asio::io_context m_io;
  std::unique_ptr<HttpServer> m_server;
  SocketAddress m_address{ "127.0.0.1", 1 };
};

TEST_F(HttpPoolTest, StaysWithinItsConnectionsAndAnswersAll)
{
  size_t most = 0;
  Serve([&](HttpRequest aRequest, HttpRespond aRespond, const auto&) {
    most = std::max(most, m_server->Connections());
    asio::post(m_io, [aRequest, aRespond] {
      aRespond({ 200, {}, aRequest.m_target });
    });
  });
  const auto outcomes = CallAll(50, 3, kTimeout);
  EXPECT_EQ(most, 3U);
  for (const HttpOutcome& outcome : outcomes) {
    EXPECT_TRUE(outcome.m_response.has_value());
  }
}

TEST_F(HttpPoolTest, RefusedConnectionIsReportedAsNotSent)
{
  Serve([](HttpRequest, HttpRespond, const auto&) {});
  m_server->Close();
  const auto outcomes = CallAll(1, 1, kTimeout);
  EXPECT_FALSE(outcomes[0].m_response);
  EXPECT_FALSE(outcomes[0].m_sent);
}

TEST_F(HttpPoolTest, ConnectionClosedWithoutAnswerIsReportedAsSent)
{
  Serve([this](HttpRequest, HttpRespond, const auto&) { m_server->Close(); });
  const auto outcomes = CallAll(1, 1, kTimeout);
  EXPECT_FALSE(outcomes[0].m_response);
  EXPECT_TRUE(outcomes[0].m_sent);
  EXPECT_EQ(outcomes[0].m_error.m_code, ErrorCode::Unavailable);
}

TEST_F(HttpPoolTest, TimeoutsReportWhetherRequestWasSent)
{
  std::vector<HttpRespond> held;
  Serve([&held](HttpRequest, HttpRespond aRespond, const auto&) {
    held.push_back(std::move(aRespond));
  });
  const auto outcomes = CallAll(2, 1, 100ms);
  size_t sent = 0;
  for (const HttpOutcome& outcome : outcomes) {
    EXPECT_EQ(outcome.m_error.m_code, ErrorCode::Timeout);
    sent += outcome.m_sent ? 1 : 0;
  }
  EXPECT_EQ(sent, held.size());
}

TEST_F(HttpPoolTest, ServerClosesConnectionsAboveItsLimit)
{
  size_t most = 0;
  Serve(
    [&](HttpRequest, HttpRespond aRespond, const auto&) {
      most = std::max(most, m_server->Connections());
      auto timer = std::make_shared<asio::steady_timer>(m_io, 20ms);
      timer->async_wait([timer, aRespond](auto) { aRespond({ 200, {}, "" }); });
    },
    { 2, 1ms });
  const auto outcomes = CallAll(6, 6, kTimeout);
  size_t answered = 0;
  for (const HttpOutcome& outcome : outcomes) {
    answered += outcome.m_response ? 1 : 0;
  }
  EXPECT_EQ(most, 2U);
  EXPECT_EQ(answered, 2U);
}

} // namespace
} // namespace wigeonfold::net
