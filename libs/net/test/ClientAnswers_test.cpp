// Guards against clients of this library that take a broken answer, an interim
// one or a part of one for the answer, or that refuse a sound one. The same
// cases run against the blocking call and the pool.
#include "ScriptedServer.h"

#include "wigeonfold/net/HttpPool.h"

#include <gtest/gtest.h>

namespace wigeonfold::net {
namespace {

using namespace std::chrono_literals;

// Far longer than any answer takes; one that is waited for ends as a timeout.
constexpr Duration kTimeout = 3s;
// More than the sockets of both sides hold.
constexpr size_t kLargeBytes = size_t{ 32 } << 20;
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kWhole = kOk + "Content-Length: 5\r\n\r\nwhole";

using Caller = Result<HttpResponse> (*)(const SocketAddress&,
                                        const HttpRequest&);

Result<HttpResponse> CallBlocking(const SocketAddress& aAddress,
                                  const HttpRequest& aRequest)
{
  return HttpCall(aAddress, aRequest, kTimeout);
}

Result<HttpResponse> CallPool(const SocketAddress& aAddress,
                              const HttpRequest& aRequest)
{
  boost::asio::io_context io;
  const auto pool = MakeHttpPool(io, aAddress, 1);
  HttpOutcome outcome;
  pool->Call(aRequest, kTimeout, [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    io.stop();
  });
  io.run();
  if (!outcome.m_response) {
    EXPECT_TRUE(outcome.m_sent);
    return outcome.m_error;
  }
  return *outcome.m_response;
}

struct CallerCase
{
  const char* m_name;
  Caller m_call;
};

class ClientAnswers : public testing::TestWithParam<CallerCase>
{
protected:
  static Result<HttpResponse> Call(const std::string& aBytes,
                                   ServerEnd aEnd,
                                   const std::string& aBody = "")
  {
    const ScriptedServer server(aBytes, aEnd);
    return GetParam().m_call({ "127.0.0.1", server.Port() },
                             { "POST", "/", {}, aBody, "" });
  }
};

TEST_P(ClientAnswers, BrokenOnesFailAtOnce)
{
  const std::vector<std::string> kept = {
    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + kWhole,
    "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n",
    kOk + "X A: b\r\nContent-Length: 0\r\n\r\n",
    kOk + "Transfer-Encoding: gzip\r\n\r\n",
    kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + kWhole,
    kOk + kChunked + "\r\n0\r\nX A: b\r\n\r\n",
    "no answer\r\n\r\n",
  };
  for (const std::string& bytes : kept) {
    const auto answer = Call(bytes, ServerEnd::None);
    ASSERT_FALSE(answer) << bytes;
    EXPECT_NE(answer.error().m_code, ErrorCode::Timeout) << bytes;
  }
}

TEST_P(ClientAnswers, PartsFail)
{
  for (const ServerEnd end : { ServerEnd::Close, ServerEnd::Reset }) {
    for (const std::string& bytes : { std::string(),
                                      std::string("HTTP/1.1 2"),
                                      kOk + "Content-Length: 9\r\n\r\nhalf",
                                      kOk + kChunked + "\r\n4\r\nhalf\r\n" }) {
      EXPECT_FALSE(Call(bytes, end)) << bytes;
    }
  }
  EXPECT_FALSE(Call(kOk + "\r\nthe first part", ServerEnd::Reset));
}

// The server answers without reading the body and closes, which resets the
// connection while the client writes.
TEST_P(ClientAnswers, EarlyOnesCountOnlyWhole)
{
  const std::string upload(kLargeBytes, 'u');
  const auto whole = Call(kWhole, ServerEnd::Close, upload);
  ASSERT_TRUE(whole) << whole.error().ToString();
  EXPECT_EQ(whole.value().m_body, "whole");
  EXPECT_FALSE(Call(kOk + "\r\nthe first part", ServerEnd::Close, upload));
}

TEST_P(ClientAnswers, InterimOnesAreSkipped)
{
  const auto answer = Call("HTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                             kWhole,
                           ServerEnd::None);
  ASSERT_TRUE(answer) << answer.error().ToString();
  EXPECT_EQ(answer.value().m_status, 200);
  EXPECT_EQ(answer.value().m_body, "whole");
  EXPECT_EQ(FindField(answer.value().m_fields, "Link"), nullptr);
}

TEST_P(ClientAnswers, TrailerFieldsAreDropped)
{
  const auto answer =
    Call(kOk + kChunked + "X: head\r\n\r\n2\r\nhi\r\n0\r\nX: trailer\r\n\r\n",
         ServerEnd::None);
  ASSERT_TRUE(answer) << answer.error().ToString();
  EXPECT_EQ(answer.value().m_body, "hi");
  EXPECT_EQ(answer.value().m_fields.size(), 2U);
}

TEST_P(ClientAnswers, SoundOnesStayAsTheyAre)
{
  for (const ServerEnd end : { ServerEnd::None, ServerEnd::Close }) {
    const auto answer =
      Call("HTTP/1.1 599 X\r\nX: y\r\nContent-Length: 2\r\n\r\nhi", end);
    ASSERT_TRUE(answer) << answer.error().ToString();
    EXPECT_EQ(answer.value().m_status, 599);
    EXPECT_EQ(answer.value().m_body, "hi");
  }
  const auto open = Call(kOk + "\r\nto the end", ServerEnd::Close);
  ASSERT_TRUE(open) << open.error().ToString();
  EXPECT_EQ(open.value().m_body, "to the end");
}

INSTANTIATE_TEST_SUITE_P(Clients,
                         ClientAnswers,
                         testing::Values(CallerCase{ "HttpCall", CallBlocking },
                                         CallerCase{ "HttpPool", CallPool }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

} // namespace
} // namespace wigeonfold::net
