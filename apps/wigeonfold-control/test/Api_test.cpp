// Guards against operators' requests without an end that fill the memory of a
// control process: a head that is read as long as it comes, and bodies that are
// kept while the rest is awaited.
#include "Api.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace wigeonfold::control {
namespace {

namespace asio = boost::asio;

constexpr size_t kMiB = size_t{ 1 } << 20;

uint16_t FreePort()
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

class ApiTest : public testing::Test
{
protected:
  ApiTest()
  {
    m_settings.m_apiListen = { "127.0.0.1", FreePort() };
    m_settings.m_operatorListen = { "127.0.0.1", FreePort() };
    m_channels.m_httpToCore.Attach(m_coreIo, [](auto) {});
    m_api.emplace(m_io, m_settings, m_channels, m_log);
    EXPECT_TRUE(m_api->Start());
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~ApiTest() override
  {
    asio::post(m_io, [this] { m_api->Close(); });
    m_thread.join();
  }

  // Writes until the server answers or has taken aMaxBytes. Returns the status
  // line, empty when there is none.
  static std::string SendUntilAnswered(uint16_t aPort,
                                       const std::string& aBegin,
                                       size_t aMaxBytes)
  {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({ asio::ip::make_address("127.0.0.1"), aPort });
    boost::system::error_code code;
    asio::write(socket, asio::buffer(aBegin), code);
    const std::string more(64 << 10, 'x');
    for (size_t sent = 0; sent < aMaxBytes && !code; sent += more.size()) {
      asio::write(socket, asio::buffer(more), code);
      if (socket.available() > 0) {
        break;
      }
    }
    std::string answer(12, ' ');
    boost::system::error_code readCode;
    socket.non_blocking(true);
    answer.resize(socket.receive(asio::buffer(answer), 0, readCode));
    return answer;
  }

  ControlSettings m_settings;
  Channels m_channels;
  EventLog m_log{ "test", 100 };
  asio::io_context m_coreIo;
  asio::io_context m_io;
  std::optional<Api> m_api;
  std::thread m_thread;
};

TEST_F(ApiTest, EndlessHeadIsRefused)
{
  for (const uint16_t port :
       { m_settings.m_apiListen.m_port, m_settings.m_operatorListen->m_port }) {
    for (const char* begin :
         { "PUT /", "PUT /api/config HTTP/1.1\r\nHost: h\r\nX: " }) {
      EXPECT_EQ(SendUntilAnswered(port, begin, 12 * kMiB), "HTTP/1.1 431")
        << begin;
    }
  }
}

TEST_F(ApiTest, ConfigurationAboveTheLimitIsRefused)
{
  EXPECT_EQ(SendUntilAnswered(m_settings.m_operatorListen->m_port,
                              "PUT /api/config HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 9000000\r\n\r\n",
                              9 * kMiB),
            "HTTP/1.1 413");
}

} // namespace
} // namespace wigeonfold::control
