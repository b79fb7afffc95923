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

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

constexpr size_t kEventsKept = 10'000;
constexpr Duration kDiskFullRetry = 50ms;
constexpr Duration kDiskFullReport = 1s;
constexpr Duration kReloadPeriod = 5s;
// A drain that takes longer is ended: a client holds its connection open.
constexpr Duration kDrainLimit = 8s;
// Time to write the last messages to nodes and peers.
constexpr Duration kLastMessages = 200ms;

// An event loop with a thread of its own.
class Loop
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
  // Ends the loop after what is posted already.
  void Finish()
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

// Owns everything; the members are destroyed in reverse order, after all
// threads have been joined.
class Process
{
public:
  Process(const ControlSettings& aSettings, std::string aPath, EventLog& aLog)
    : m_settings(aSettings)
    , m_path(std::move(aPath))
    , m_log(aLog)
    , m_signals(m_main, SIGTERM, SIGINT)
    , m_limit(m_main)
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
    Attach();
    boost::asio::post(m_coreLoop.Io(), [this] { m_core->Start(); });
    for (Loop* loop :
         { &m_storageLoop, &m_coreLoop, &m_netLoop, &m_httpLoop }) {
      loop->Run();
    }
    m_log.Record(EventId::ProcessStarted, { { "name", m_settings.m_name } });
    m_signals.async_wait([this](boost::system::error_code aCode, int) {
      if (!aCode) {
        Drain();
      }
    });
    // Seeds only matter to a VM that knows no member, and reading them again
    // costs little.
    m_reload = net::WatchForReload(
      m_main, kReloadPeriod, [this](net::ReloadCause) { Reload(); });
    m_main.run();
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
    m_disk = storage::MakePosixFileSystem(onNoSpace);
    if (!m_settings.m_diskRules.empty()) {
      m_faultyDisk = storage::MakeFaultyFileSystem(
        *m_disk, m_settings.m_diskRules, onNoSpace);
    }
    storage::StorageSettings settings;
    settings.m_folder = m_settings.m_dataFolder;
    auto opened = storage::Storage::Open(
      m_faultyDisk ? *m_faultyDisk : *m_disk,
      settings,
      RandomSeed(),
      [this](EventId aId, std::vector<EventField> aFields) {
        m_log.Record(aId, std::move(aFields));
      });
    if (!opened) {
      return Refuse(ExitStatus::DamagedData, opened.error());
    }
    auto initial = ToInitialState(opened.value()->TakeRecovered());
    if (!initial) {
      return Refuse(ExitStatus::DamagedData, initial.error());
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

  // On the storage thread. The other members commit meanwhile; only this VM's
  // acknowledgements wait.
  bool WaitForSpace(const Error& aError)
  {
    const TimePoint now = Clock::now();
    if (now >= m_nextDiskFull) {
      m_nextDiskFull = now + kDiskFullReport;
      m_log.Record(EventId::DiskFull, { { "error", aError.ToString() } });
    }
    std::this_thread::sleep_for(kDiskFullRetry);
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
      return Refuse(ExitStatus::Failed, api.error());
    }
    return true;
  }

  bool Refuse(ExitStatus aStatus, const Error& aError)
  {
    std::cerr << "wigeonfold-control: " << aError.ToString() << '\n';
    m_status = aStatus;
    return false;
  }

  void Attach()
  {
    m_channels.m_coreToStorage.Attach(
      m_storageLoop.Io(),
      [this](StorageJob aJob) { m_storage->Handle(std::move(aJob)); },
      [this] { m_storage->Commit(); });
    m_channels.m_netToCore.Attach(m_coreLoop.Io(), [this](CoreOrder aOrder) {
      m_core->Handle(std::move(aOrder));
    });
    m_channels.m_storageToCore.Attach(
      m_coreLoop.Io(),
      [this](StorageReport aReport) { m_core->Handle(aReport); });
    m_channels.m_httpToCore.Attach(m_coreLoop.Io(), [this](ApiCall aCall) {
      m_core->Handle(std::move(aCall));
    });
    m_channels.m_coreToNet.Attach(m_netLoop.Io(), [this](NetOrder aOrder) {
      m_net->Handle(std::move(aOrder));
    });
    m_channels.m_coreToHttp.Attach(m_httpLoop.Io(), [this](HttpOrder aOrder) {
      m_api->Handle(std::move(aOrder));
    });
    m_channels.m_netToHttp.Attach(m_httpLoop.Io(), [this](NetSummary aSummary) {
      m_api->Handle(std::move(aSummary));
    });
  }

  // ---- Reload ----

  // Takes over the seeds; other changes take effect at the next start.
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

  // Thread safe. Nothing unsynced was acknowledged, so the process may end at
  // once.
  void Fail(const Error& aError)
  {
    m_log.Record(EventId::StorageFailed, { { "error", aError.ToString() } });
    boost::asio::post(m_main, [this, aError] {
      Refuse(ExitStatus::DamagedData, aError);
      m_main.stop();
    });
  }

  // ---- Graceful shutdown: operators, then nodes and peers, then the core ----

  void Drain()
  {
    m_log.Record(EventId::ProcessStopping, { { "name", m_settings.m_name } });
    m_limit.expires_after(kDrainLimit);
    m_limit.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        StopNet();
      }
    });
    boost::asio::post(m_httpLoop.Io(), [this] {
      m_api->Drain(
        [this] { boost::asio::post(m_main, [this] { StopNet(); }); });
    });
  }

  void StopNet()
  {
    if (m_netStopped) {
      return;
    }
    m_netStopped = true;
    boost::asio::post(m_netLoop.Io(), [this] { m_net->Stop(); });
    m_limit.expires_after(kLastMessages);
    m_limit.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        m_main.stop();
      }
    });
  }

  void StopThreads()
  {
    m_stopping = true;
    if (m_core) {
      boost::asio::post(m_coreLoop.Io(), [this] { m_core->Stop(); });
    }
    // The core first: afterwards no storage job follows, and the storage loop
    // ends only after the jobs that were posted.
    for (Loop* loop :
         { &m_coreLoop, &m_storageLoop, &m_netLoop, &m_httpLoop }) {
      loop->Finish();
      loop->Join();
    }
  }

  const ControlSettings& m_settings;
  const std::string m_path; // of the settings file
  std::vector<SocketAddress> m_seeds = m_settings.m_seeds;
  EventLog& m_log;
  ExitStatus m_status = ExitStatus::Success;
  bool m_netStopped = false;
  std::atomic<bool> m_stopping = false;
  TimePoint m_nextDiskFull{}; // storage thread
  boost::asio::io_context m_main{ 1 };
  boost::asio::signal_set m_signals;
  std::unique_ptr<net::ReloadWatch> m_reload;
  boost::asio::steady_timer m_limit;
  std::unique_ptr<storage::FileSystem> m_disk;
  std::unique_ptr<storage::FileSystem> m_faultyDisk; // for tests; uses m_disk
  Channels m_channels;
  Loop m_coreLoop;
  Loop m_storageLoop;
  Loop m_netLoop;
  Loop m_httpLoop;
  std::unique_ptr<StorageWorker> m_storage;
  std::unique_ptr<Core> m_core;
  std::unique_ptr<Network> m_net;
  std::unique_ptr<Api> m_api;
};

} // namespace

ExitStatus RunControl(const ControlSettings& aSettings,
                      const std::string& aPath)
{
  EventLog log("control " + aSettings.m_name, kEventsKept);
  Process process(aSettings, aPath, log);
  return process.Run();
}

} // namespace wigeonfold::control
