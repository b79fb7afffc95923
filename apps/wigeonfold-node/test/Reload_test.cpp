// Guards against a SIGHUP that ends the node, and against a node that keeps
// connecting to control VMs that are gone although its settings file names
// others.
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
    : m_settingsPath(
        (std::filesystem::temp_directory_path() /
         ("wigeonfold-reload-" + std::to_string(::getpid()) + ".ini"))
          .string())
  {
  }
  ~ReloadTest() override { std::filesystem::remove(m_settingsPath); }

  void WriteSettings(uint16_t aControlPort) const
  {
    std::ofstream(m_settingsPath)
      << "[node]\nname = n\navailability-zone = z\n"
         "caller-listen = 127.0.0.1:0\n"
         "peer-listen = 127.0.0.1:0\n"
         "local-listen = 127.0.0.1:0\n"
         "[control]\nz = 127.0.0.1:"
      << aControlPort << "\n[drain]\nlinger = 0ms\nlimit = 100ms\n";
  }

  const std::string m_settingsPath;
};

TEST_F(ReloadTest, HangupAddsTheControlVmsOfTheFile)
{
  IgnoreHangup();
  boost::asio::io_context io;
  tcp::acceptor closedAcceptor(
    io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const uint16_t closedPort = closedAcceptor.local_endpoint().port();
  closedAcceptor.close();
  tcp::acceptor controlAcceptor(
    io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  WriteSettings(closedPort);
  const auto settings = ReloadSettings(m_settingsPath, ReadNodeSettings);
  ASSERT_TRUE(settings);
  Node node(*settings, m_settingsPath);
  std::thread runner([&node] { EXPECT_TRUE(node.Run()); });
  WriteSettings(controlAcceptor.local_endpoint().port());
  bool connected = false;
  controlAcceptor.async_accept(
    [&](boost::system::error_code aCode, tcp::socket) { connected = !aCode; });
  // The first signals may arrive before the node has installed its handler.
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
