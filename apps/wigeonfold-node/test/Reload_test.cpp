// Guards against a node that SIGHUP ends, and against one that keeps asking
// control VMs that are gone although its settings file names others.
#include "Node.h"

#include "wigeonfold/base/CommandLine.h"

#include <boost/asio.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>

namespace wigeonfold::node {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

class ReloadTest : public testing::Test
{
protected:
  ReloadTest()
    : m_path((std::filesystem::temp_directory_path() /
              ("wigeonfold-reload-" + std::to_string(::getpid()) + ".ini"))
               .string())
  {
  }
  ~ReloadTest() override { std::filesystem::remove(m_path); }

  void Write(uint16_t aControlPort) const
  {
    std::ofstream(m_path) << "[node]\nname = n\navailability-zone = z\n"
                             "caller-listen = 127.0.0.1:0\n"
                             "peer-listen = 127.0.0.1:0\n"
                             "local-listen = 127.0.0.1:0\n"
                             "[control]\nz = 127.0.0.1:"
                          << aControlPort
                          << "\n[drain]\nlinger = 0ms\nlimit = 100ms\n";
  }

  const std::string m_path;
};

TEST_F(ReloadTest, HangupTakesOverTheControlVmsOfTheFile)
{
  IgnoreHangup();
  boost::asio::io_context io;
  tcp::acceptor gone(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const uint16_t closed = gone.local_endpoint().port();
  gone.close();
  tcp::acceptor control(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  Write(closed);
  const auto settings = ReloadSettings(m_path, ReadNodeSettings);
  ASSERT_TRUE(settings);
  Node node(*settings, m_path);
  std::thread runner([&node] { EXPECT_TRUE(node.Run()); });
  Write(control.local_endpoint().port());
  bool connected = false;
  control.async_accept(
    [&](boost::system::error_code aCode, tcp::socket) { connected = !aCode; });
  // The node may not have installed its handler at the first signals.
  for (int i = 0; i < 100 && !connected; ++i) {
    std::raise(SIGHUP);
    io.run_for(100ms);
    io.restart();
  }
  EXPECT_TRUE(connected);
  std::raise(SIGTERM);
  runner.join();
}

} // namespace
} // namespace wigeonfold::node
