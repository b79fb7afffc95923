// Guards against a SIGHUP that ends the process or is missed, and against a
// settings file that changes without a signal and is not reloaded.
#include "wigeonfold/net/ReloadWatch.h"

#include "wigeonfold/base/CommandLine.h"

#include <boost/asio.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <vector>

namespace wigeonfold::net {
namespace {

using namespace std::chrono_literals;

// Gives up after 100 handlers or pauses of 100 ms.
void RunUntil(boost::asio::io_context& aIo,
              const std::function<bool()>& aIsDone)
{
  for (int i = 0; i < 100 && !aIsDone(); ++i) {
    aIo.run_one_for(100ms);
  }
}

TEST(ReloadWatch, ReportsEachHangup)
{
  boost::asio::io_context io;
  std::vector<ReloadCause> causes;
  const auto watch = WatchForReload(
    io, 1h, [&](ReloadCause aCause) { causes.push_back(aCause); });
  for (size_t i = 1; i <= 2; ++i) {
    std::raise(SIGHUP);
    RunUntil(io, [&] { return causes.size() >= i; });
    ASSERT_EQ(causes.size(), i);
  }
  EXPECT_EQ(causes, (std::vector{ ReloadCause::Hangup, ReloadCause::Hangup }));
}

TEST(ReloadWatch, CallsBackEachPeriod)
{
  boost::asio::io_context io;
  std::vector<ReloadCause> causes;
  const auto watch = WatchForReload(
    io, 1ms, [&](ReloadCause aCause) { causes.push_back(aCause); });
  RunUntil(io, [&] { return causes.size() >= 2; });
  EXPECT_EQ(causes, (std::vector{ ReloadCause::Period, ReloadCause::Period }));
}

// Guards against a SIGHUP that arrives before the watch exists and ends the
// process.
TEST(ReloadWatch, HangupBeforeTheWatchDoesNotEndTheProcess)
{
  EXPECT_EXIT(
    {
      std::signal(SIGHUP, SIG_DFL);
      IgnoreHangup();
      std::raise(SIGHUP);
      std::exit(0);
    },
    testing::ExitedWithCode(0),
    "");
}

} // namespace
} // namespace wigeonfold::net
