// A node process with its three threads and the rings between them.
#pragma once

#include "ControlLink.h"
#include "DataPlane.h"
#include "LocalApi.h"
#include "NodeSettings.h"

#include "wigeonfold/net/ReloadWatch.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <thread>

namespace wigeonfold::node {

// The data thread (DataPlane) forwards requests, the control thread
// (ControlLink) receives configuration, and the HTTP thread (LocalApi) serves
// the target's announcements and operators.
class Node
{
public:
  // aSettingsPath is the settings file; on SIGHUP the control VMs are read from
  // it again.
  Node(const NodeSettings& aSettings, std::string aSettingsPath);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Runs until SIGTERM or SIGINT and the drain that follows. The calling thread
  // becomes the data thread. Call once. Fails with Io when a listening socket
  // can't be opened.
  Status Run();

private:
  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  DataPlane::Hooks MakeHooks();
  bool SendToControl(DataToControl aMessage);
  void SendToHttp(DataToHttp aMessage);
  void OnHttpMessage(const HttpToData& aMessage);
  void OnStopSignal();
  void OnReload(net::ReloadCause aCause);
  void Reload();
  void StopOtherThreads();

  const NodeSettings m_settings;
  const std::string m_settingsPath;
  const int64_t m_epoch; // start time in microseconds
  EventLog m_log;
  observe::Metrics m_registry;
  NodeMetrics m_metrics;
  boost::asio::io_context m_dataIo{ 1 };
  boost::asio::io_context m_controlIo{ 1 };
  boost::asio::io_context m_httpIo{ 1 };
  Ring<ViewUpdate> m_controlToData;
  Ring<DataToControl> m_dataToControl;
  Ring<HttpToData> m_httpToData;
  Ring<DataToHttp> m_dataToHttp;
  DataPlane m_dataPlane;
  ControlLink m_controlLink;
  LocalApi m_localApi;
  boost::asio::signal_set m_signals;
  std::unique_ptr<net::ReloadWatch> m_reloadWatch;
  std::thread m_controlThread;
  std::thread m_httpThread;
};

} // namespace wigeonfold::node
