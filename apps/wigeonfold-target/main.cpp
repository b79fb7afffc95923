// wigeonfold-target: stand-in HTTP target for tests.
#include "Target.h"

#include "wigeonfold/base/CommandLine.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace wigeonfold;

constexpr size_t kEventsKept = 1000;

ExitStatus Run(const target::TargetSettings& aSettings, const std::string&)
{
  EventLog log("target " + aSettings.m_name, kEventsKept);
  auto executed = target::ExecutionRecord::Open(aSettings.m_executedFile);
  if (!executed) {
    std::cerr << executed.error().ToString() << '\n';
    return ExitStatus::Failed;
  }
  boost::asio::io_context io(1);
  target::Target server(io, aSettings, log, std::move(executed.value()));
  const auto started = server.Start();
  if (!started) {
    log.Record(EventId::ListenFailed,
               { { "error", started.error().ToString() } });
    return ExitStatus::Failed;
  }
  log.Record(
    EventId::ProcessStarted,
    { { "name", aSettings.m_name }, { "service", aSettings.m_service } });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aCode, int) {
    if (!aCode) {
      log.Record(EventId::ProcessStopping, { { "name", aSettings.m_name } });
      server.Drain([&io] { io.stop(); });
    }
  });
  io.run();
  log.Record(EventId::ProcessStopped, { { "name", aSettings.m_name } });
  return ExitStatus::Success;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return static_cast<int>(RunDaemon("wigeonfold-target",
                                    "stand-in HTTP target for tests",
                                    aCount,
                                    aArguments,
                                    target::ReadTargetSettings,
                                    Run));
}
