#include "Node.h"

#include "wigeonfold/base/CommandLine.h"
#include "wigeonfold/forwarding/NativeDialect.h"
#include "wigeonfold/platform/CallerDialect.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <csignal>
#include <random>

namespace wigeonfold::node {

namespace {

constexpr size_t kKeptEvents = 2000;
constexpr std::chrono::seconds kReloadPeriod{ 2 };

int64_t StartTimeUs()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::unique_ptr<forwarding::Dialect> MakeDialect(const NodeSettings& aSettings)
{
  if (aSettings.m_dialect == "platform") {
    return platform::MakeCallerDialect(std::random_device{}());
  }
  return forwarding::MakeNativeDialect(std::random_device{}());
}

} // namespace

Node::Node(const NodeSettings& aSettings, std::string aSettingsPath)
  : m_settings(aSettings)
  , m_settingsPath(std::move(aSettingsPath))
  , m_epoch(StartTimeUs())
  , m_log("node " + aSettings.m_name, kKeptEvents)
  , m_metrics(m_registry)
  , m_controlToData(
      kRingCapacity,
      [this] {
        boost::asio::post(m_dataIo, [this] {
          m_controlToData.Drain(
            [this](const ViewUpdate& aUpdate) { m_dataPlane.OnView(aUpdate); });
        });
      })
  , m_dataToControl(kRingCapacity,
                    [this] {
                      boost::asio::post(m_controlIo, [this] {
                        m_dataToControl.Drain(
                          [this](const DataToControl& aMessage) {
                            m_controlLink.OnMessage(aMessage);
                          });
                      });
                    })
  , m_httpToData(kRingCapacity,
                 [this] {
                   boost::asio::post(m_dataIo, [this] {
                     m_httpToData.Drain([this](const HttpToData& aMessage) {
                       OnHttpMessage(aMessage);
                     });
                   });
                 })
  , m_dataToHttp(
      kRingCapacity,
      [this] {
        boost::asio::post(m_httpIo, [this] {
          m_dataToHttp.Drain([this](const DataToHttp& aMessage) {
            std::visit(
              [this](const auto& aTyped) { m_localApi.OnMessage(aTyped); },
              aMessage);
          });
        });
      })
  , m_dataPlane(m_dataIo,
                m_settings,
                MakeDialect(aSettings),
                m_epoch,
                m_metrics,
                m_log,
                MakeHooks())
  , m_controlLink(m_controlIo,
                  m_settings,
                  m_epoch,
                  m_metrics,
                  m_log,
                  [this](ViewUpdate aUpdate) {
                    return m_controlToData.Push(std::move(aUpdate));
                  })
  , m_localApi(m_httpIo,
               m_settings,
               m_registry,
               m_log,
               [this](HttpToData aMessage) {
                 return m_httpToData.Push(std::move(aMessage));
               })
  , m_signals(m_dataIo, SIGTERM, SIGINT)
{
}

Node::~Node()
{
  StopOtherThreads();
}

DataPlane::Hooks Node::MakeHooks()
{
  DataPlane::Hooks hooks;
  hooks.m_onEndpoint = [this](wire::EndpointRecord aRecord) {
    return SendToControl(std::move(aRecord));
  };
  hooks.m_onPeerVersion = [this](const Version& aVersion) {
    SendToControl(aVersion);
  };
  hooks.m_onLeaving = [this](const TargetStart& aStart) {
    SendToControl(aStart);
  };
  hooks.m_onCrashes = [this](const CrashRecords& aRecords) {
    return SendToControl(aRecords);
  };
  hooks.m_onVersionStats = [this](VersionStatsList aStats) {
    SendToControl(std::move(aStats));
  };
  hooks.m_onUsage = [this](const QuotaUsage& aUsage) {
    return SendToControl(aUsage);
  };
  hooks.m_onAnswer = [this](const AnnouncementAnswer& aAnswer) {
    SendToHttp(aAnswer);
  };
  return hooks;
}

Status Node::Run()
{
  if (auto status = m_dataPlane.Start(); !status) {
    return status;
  }
  if (auto status = m_localApi.Start(); !status) {
    return status;
  }
  m_log.Record(EventId::ProcessStarted,
               { { "name", m_settings.m_name },
                 { "zone", m_settings.m_availabilityZone },
                 { "callers", ToString(m_settings.m_callerListen) },
                 { "peers", ToString(m_settings.m_peerListen) } });
  m_controlLink.Start();
  m_reloadWatch =
    net::WatchForReload(m_controlIo,
                        kReloadPeriod,
                        [this](net::ReloadCause aCause) { OnReload(aCause); });
  m_controlThread = std::thread([this] {
    const WorkGuard guard(m_controlIo.get_executor());
    m_controlIo.run();
  });
  m_httpThread = std::thread([this] {
    const WorkGuard guard(m_httpIo.get_executor());
    m_httpIo.run();
  });
  m_signals.async_wait([this](boost::system::error_code aCode, int) {
    if (!aCode) {
      OnStopSignal();
    }
  });
  m_dataIo.run();
  StopOtherThreads();
  m_log.Record(EventId::ProcessStopped, {});
  return Ok();
}

void Node::OnStopSignal()
{
  m_dataPlane.Drain([this] { m_dataIo.stop(); });
}

// ---- Reload (control thread) ------------------------------------------------

// Without SIGHUP, the file is read only while the node has no session: it may
// then name other control VMs than those that can't be reached.
void Node::OnReload(net::ReloadCause aCause)
{
  if (aCause == net::ReloadCause::Hangup || !m_controlLink.HasSession()) {
    Reload();
  }
}

// Adds the control VMs in the file; its other changes take effect at the next
// start.
void Node::Reload()
{
  if (const auto settings = ReloadSettings(m_settingsPath, ReadNodeSettings)) {
    m_controlLink.AddControlVms(settings->m_controlVms);
  }
}

void Node::StopOtherThreads()
{
  if (m_controlThread.joinable()) {
    boost::asio::post(m_controlIo, [this] {
      m_reloadWatch.reset();
      m_controlLink.Stop();
      m_controlIo.stop();
    });
    m_controlThread.join();
  }
  if (m_httpThread.joinable()) {
    boost::asio::post(m_httpIo, [this] {
      m_localApi.Stop();
      m_httpIo.stop();
    });
    m_httpThread.join();
  }
}

// ---- Rings -----------------------------------------------------------------

bool Node::SendToControl(DataToControl aMessage)
{
  const bool pushed = m_dataToControl.Push(std::move(aMessage));
  if (!pushed) {
    m_log.Record(EventId::RingFull, { { "ring", "data to control" } });
  }
  return pushed;
}

void Node::SendToHttp(DataToHttp aMessage)
{
  if (!m_dataToHttp.Push(std::move(aMessage))) {
    m_log.Record(EventId::RingFull, { { "ring", "data to http" } });
  }
}

void Node::OnHttpMessage(const HttpToData& aMessage)
{
  if (const auto* received = std::get_if<AnnouncementReceived>(&aMessage)) {
    m_dataPlane.OnAnnouncement(received->m_announcement, received->m_id);
    return;
  }
  SendToHttp(m_dataPlane.Report(std::get<StatusQuery>(aMessage).m_id));
}

} // namespace wigeonfold::node
