#include "Process.h"

#include "Api.h"
#include "Core.h"
#include "Network.h"
#include "StorageWorker.h"

#include "wigeonfold/net/ReloadWatch.h"
#include "wigeonfold/storage/FaultyFileSystem.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxEvents = 10'000;
constexpr Duration kDiskFullRetryInterval = 50ms;
constexpr Duration kDiskFullReportInterval = 1s;
constexpr Duration kReloadPeriod = 5s;
// Limit on the time for which a voter waits until a learner has taken its
// place. That takes a few hundred milliseconds with a learner that has caught
// up.
constexpr Duration kReplaceTimeout = 3s;
// A longer drain is cut short, since a client may keep its connection open.
constexpr Duration kDrainTimeout = 8s;
// Time to write the last frames to nodes and peers.
constexpr Duration kFinalWriteTime = 200ms;

// An event loop with a thread of its own.
class EventLoop
{
public:
  void Run()
  {
    m_thread = std::thread([this] { m_io.run(); });
  }
  void Join()
  {
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  // Stops the loop after the handlers that were posted before. Thread safe.
  void PostStop()
  {
    boost::asio::post(m_io, [this] { m_io.stop(); });
  }
  boost::asio::io_context& Io() { return m_io; }

private:
  boost::asio::io_context m_io{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_guard{ m_io.get_executor() };
  std::thread m_thread;
};

uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

int64_t StartTime()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Owns the threads and all that runs on them. Methods run on the main thread
// unless noted. The destructor joins all threads; only then are the members
// destroyed, in reverse order.
class Process
{
public:
  Process(const ControlSettings& aSettings, std::string aPath, EventLog& aLog)
    : m_settings(aSettings)
    , m_path(std::move(aPath))
    , m_log(aLog)
    , m_signals(m_mainIo, SIGTERM, SIGINT)
    , m_shutdownTimer(m_mainIo)
  {
  }
  ~Process() { StopThreads(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  ExitStatus Run()
  {
    if (!OpenStorage() || !Listen()) {
      return m_status;
    }
    AttachChannels();
    boost::asio::post(m_coreLoop.Io(), [this] { m_core->Start(); });
    for (EventLoop* loop :
         { &m_storageLoop, &m_coreLoop, &m_netLoop, &m_httpLoop }) {
      loop->Run();
    }
    m_log.Record(EventId::ProcessStarted, { { "name", m_settings.m_name } });
    m_signals.async_wait([this](boost::system::error_code aCode, int) {
      if (!aCode) {
        BeginStopping();
      }
    });
    // Only seeds are reloaded. They matter only to a VM that knows no member,
    // and reading them again is cheap, so the cause of the reload is ignored.
    m_reload = net::WatchForReload(
      m_mainIo, kReloadPeriod, [this](net::ReloadCause) { Reload(); });
    m_mainIo.run();
    StopThreads();
    m_log.Record(EventId::ProcessStopped, { { "name", m_settings.m_name } });
    return m_status;
  }

private:
  // ---- Start ----

  bool OpenStorage()
  {
    const auto onNoSpace = [this](const Error& aError) {
      return WaitForSpace(aError);
    };
    m_fileSystem = storage::MakePosixFileSystem(onNoSpace);
    if (!m_settings.m_diskRules.empty()) {
      m_faultyFileSystem = storage::MakeFaultyFileSystem(
        *m_fileSystem, m_settings.m_diskRules, onNoSpace);
    }
    storage::StorageSettings settings;
    settings.m_folder = m_settings.m_dataFolder;
    auto opened = storage::Storage::Open(
      m_faultyFileSystem ? *m_faultyFileSystem : *m_fileSystem,
      settings,
      RandomSeed(),
      [this](EventId aId, std::vector<EventField> aFields) {
        m_log.Record(aId, std::move(aFields));
      });
    if (!opened) {
      return ReportFailure(ExitStatus::DamagedData, opened.error());
    }
    auto initial = ToInitialState(opened.value()->TakeRecovered());
    if (!initial) {
      return ReportFailure(ExitStatus::DamagedData, initial.error());
    }
    const int64_t self = initial.value().m_self;
    const bool startedEmpty = IsEmpty(initial.value());
    const auto fail = [this](const Error& aError) { Fail(aError); };
    m_storage = std::make_unique<StorageWorker>(
      std::move(opened.value()), m_channels, fail);
    m_core = std::make_unique<Core>(m_coreLoop.Io(),
                                    m_settings,
                                    std::move(initial.value()),
                                    RandomSeed(),
                                    m_channels,
                                    m_log,
                                    fail);
    m_net = std::make_unique<Network>(m_netLoop.Io(),
                                      m_settings,
                                      self,
                                      StartTime(),
                                      startedEmpty,
                                      RandomSeed(),
                                      m_channels,
                                      m_log);
    m_api =
      std::make_unique<Api>(m_httpLoop.Io(), m_settings, m_channels, m_log);
    return true;
  }

  // Called on the thread that writes, which is the storage thread once it runs.
  // Waits a moment and returns true to try again, or false while stopping. The
  // other members go on committing; only this VM's acknowledgements are
  // delayed.
  bool WaitForSpace(const Error& aError)
  {
    const TimePoint now = Clock::now();
    if (now >= m_nextDiskFullReport) {
      m_nextDiskFullReport = now + kDiskFullReportInterval;
      m_log.Record(EventId::DiskFull, { { "error", aError.ToString() } });
    }
    std::this_thread::sleep_for(kDiskFullRetryInterval);
    return !m_stopping;
  }

  // Binds all addresses before any thread runs.
  bool Listen()
  {
    const Status net = m_net->Start();
    const Status api = net ? m_api->Start() : net;
    if (!api) {
      m_log.Record(EventId::ListenFailed,
                   { { "error", api.error().ToString() } });
      return ReportFailure(ExitStatus::Failed, api.error());
    }
    return true;
  }

  // Prints the error and sets the exit status. Always returns false.
  bool ReportFailure(ExitStatus aStatus, const Error& aError)
  {
    std::cerr << "wigeonfold-control: " << aError.ToString() << '\n';
    m_status = aStatus;
    return false;
  }

  void AttachChannels()
  {
    m_channels.m_coreToStorage.Attach(
      m_storageLoop.Io(),
      [this](StorageJob aJob) { m_storage->Handle(std::move(aJob)); },
      [this] { m_storage->SyncBatch(); });
    m_channels.m_netToCore.Attach(
      m_coreLoop.Io(),
      [this](CoreMessage aMessage) { m_core->Handle(std::move(aMessage)); });
    m_channels.m_storageToCore.Attach(
      m_coreLoop.Io(),
      [this](StorageReport aReport) { m_core->Handle(aReport); });
    m_channels.m_httpToCore.Attach(m_coreLoop.Io(), [this](ApiCall aCall) {
      m_core->Handle(std::move(aCall));
    });
    m_channels.m_coreToNet.Attach(m_netLoop.Io(), [this](NetMessage aMessage) {
      m_net->Handle(std::move(aMessage));
    });
    m_channels.m_coreToHttp.Attach(
      m_httpLoop.Io(),
      [this](HttpMessage aMessage) { m_api->Handle(std::move(aMessage)); });
    m_channels.m_netToHttp.Attach(m_httpLoop.Io(), [this](NetSummary aSummary) {
      m_api->Handle(std::move(aSummary));
    });
  }

  // ---- Reload ----

  // Applies changed seeds; other changes take effect at the next start.
  void Reload()
  {
    const auto settings = ReloadSettings(m_path, ReadControlSettings);
    if (!settings || settings->m_seeds == m_seeds) {
      return;
    }
    m_seeds = settings->m_seeds;
    m_log.Record(EventId::SeedsChanged,
                 { { "seeds", std::to_string(m_seeds.size()) } });
    boost::asio::post(m_netLoop.Io(), [this, seeds = m_seeds] {
      m_net->Handle(AddSeeds{ seeds });
    });
  }

  // ---- Failure ----

  // Ends the process at once, which is safe because nothing unsynced was
  // acknowledged. Thread safe.
  void Fail(const Error& aError)
  {
    m_log.Record(EventId::StorageFailed, { { "error", aError.ToString() } });
    boost::asio::post(m_mainIo, [this, aError] {
      ReportFailure(ExitStatus::DamagedData, aError);
      m_mainIo.stop();
    });
  }

  // ---- Graceful shutdown: the place as a voter, operators, then nodes and
  // peers, then the core ----

  void BeginStopping()
  {
    m_log.Record(EventId::ProcessStopping, { { "name", m_settings.m_name } });
    m_shutdownTimer.expires_after(kReplaceTimeout);
    m_shutdownTimer.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        Drain();
      }
    });
    boost::asio::post(m_coreLoop.Io(), [this] {
      m_core->BeginStopping(
        [this] { boost::asio::post(m_mainIo, [this] { Drain(); }); });
    });
  }

  void Drain()
  {
    if (std::exchange(m_draining, true)) {
      return;
    }
    m_shutdownTimer.expires_after(kDrainTimeout);
    m_shutdownTimer.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        StopNet();
      }
    });
    boost::asio::post(m_httpLoop.Io(), [this] {
      m_api->Drain(
        [this] { boost::asio::post(m_mainIo, [this] { StopNet(); }); });
    });
  }

  void StopNet()
  {
    if (m_netStopped) {
      return;
    }
    m_netStopped = true;
    boost::asio::post(m_netLoop.Io(), [this] { m_net->Stop(); });
    m_shutdownTimer.expires_after(kFinalWriteTime);
    m_shutdownTimer.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        m_mainIo.stop();
      }
    });
  }

  void StopThreads()
  {
    m_stopping = true;
    if (m_core) {
      boost::asio::post(m_coreLoop.Io(), [this] { m_core->Stop(); });
    }
    // The core stops first, so that no storage job follows; the storage loop
    // stops after the jobs that were posted.
    for (EventLoop* loop :
         { &m_coreLoop, &m_storageLoop, &m_netLoop, &m_httpLoop }) {
      loop->PostStop();
      loop->Join();
    }
  }

  const ControlSettings& m_settings;
  const std::string m_path; // of the settings file
  std::vector<SocketAddress> m_seeds = m_settings.m_seeds;
  EventLog& m_log;
  ExitStatus m_status = ExitStatus::Success;
  bool m_draining = false;
  bool m_netStopped = false;
  std::atomic<bool> m_stopping = false;
  TimePoint m_nextDiskFullReport{}; // storage thread
  boost::asio::io_context m_mainIo{ 1 };
  boost::asio::signal_set m_signals;
  std::unique_ptr<net::ReloadWatch> m_reload;
  boost::asio::steady_timer m_shutdownTimer;
  std::unique_ptr<storage::FileSystem> m_fileSystem;
  std::unique_ptr<storage::FileSystem>
    m_faultyFileSystem; // for tests; uses m_disk
  Channels m_channels;
  EventLoop m_coreLoop;
  EventLoop m_storageLoop;
  EventLoop m_netLoop;
  EventLoop m_httpLoop;
  std::unique_ptr<StorageWorker> m_storage;
  std::unique_ptr<Core> m_core;
  std::unique_ptr<Network> m_net;
  std::unique_ptr<Api> m_api;
};

} // namespace

ExitStatus RunControl(const ControlSettings& aSettings,
                      const std::string& aPath)
{
  EventLog log("control " + aSettings.m_name, kMaxEvents);
  Process process(aSettings, aPath, log);
  return process.Run();
}

} // namespace wigeonfold::control
