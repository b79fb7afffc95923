// A node process: its threads and the rings between them.
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

class Node
{
public:
  // aPath is the settings file; SIGHUP reads the control VMs in it again.
  Node(const NodeSettings& aSettings, std::string aPath);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Runs until SIGTERM or SIGINT and the drain that follows. The calling
  // thread becomes the data thread. Fails with Io when a listening socket
  // can't be opened.
  Status Run();

private:
  using Guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  DataPlane::Hooks MakeHooks();
  bool SendToControl(DataToControl aMessage);
  void OnHttpMessage(const HttpToData& aMessage);
  void OnStopSignal();
  void OnReload(net::ReloadCause aCause);
  void Reload();
  void StopOtherThreads();

  const NodeSettings m_settings;
  const std::string m_path; // of the settings file
  const int64_t m_epoch;    // start time in microseconds
  EventLog m_log;
  observe::Metrics m_registry;
  NodeMetrics m_metrics;
  boost::asio::io_context m_dataIo{ 1 };
  boost::asio::io_context m_controlIo{ 1 };
  boost::asio::io_context m_httpIo{ 1 };
  Ring<ViewUpdate> m_controlToData;
  Ring<DataToControl> m_dataToControl;
  Ring<HttpToData> m_httpToData;
  Ring<StatusReport> m_dataToHttp;
  DataPlane m_data;
  ControlLink m_control;
  LocalApi m_http;
  boost::asio::signal_set m_signals;
  std::unique_ptr<net::ReloadWatch> m_reload;
  std::thread m_controlThread;
  std::thread m_httpThread;
};

} // namespace wigeonfold::node
