// HTTP thread: operators' API, metrics, timeline and health.
#pragma once

#include "ControlSettings.h"
#include "Messages.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/observe/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wigeonfold::control {

// All methods run on the thread of the io_context.
class Api
{
public:
  Api(boost::asio::io_context& aIo,
      const ControlSettings& aSettings,
      Channels& aChannels,
      EventLog& aLog);

  // Fails with Io when an address can't be bound.
  Status Start();
  // Graceful shutdown: answers the requests that have begun to arrive, then
  // calls aDone. Precondition: Start() succeeded.
  void Drain(std::function<void()> aDone);
  void Close();

  void Handle(HttpMessage aMessage);
  void Handle(NetSummary aSummary);

private:
  // A request that waits for the core's answer.
  struct PendingRequest
  {
    std::string m_target; // of the HTTP request
    const registry::OperatorFormat* m_format = nullptr;
    net::HttpRespond m_respond;
    TimePoint m_deadline;
  };

  net::HttpOnFailure MakeFailureLog();
  void Serve(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void ServeConfig(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void HandleAccept(const net::HttpRequest& aRequest,
                    net::HttpRespond aRespond);
  void HandleMembers(const net::HttpRequest& aRequest,
                     net::HttpRespond aRespond);
  // The platform's calls that order and show rollouts.
  void ServeRollouts(const net::HttpRequest& aRequest,
                     net::HttpRespond aRespond);
  // The same calls of the project's own API.
  void HandleRollouts(const net::HttpRequest& aRequest,
                      net::HttpRespond aRespond);
  void OrderRollout(Result<rollout::OrderRequest> aRequest,
                    bool aStops,
                    const std::string& aTarget,
                    const registry::OperatorFormat& aFormat,
                    net::HttpRespond aRespond);
  void Propose(wire::Change aChange,
               const std::string& aTarget,
               const registry::OperatorFormat& aFormat,
               net::HttpRespond aRespond);
  // Assigns the call id and sends the call to the core.
  void SendToCore(ApiCall aCall,
                  const std::string& aTarget,
                  const registry::OperatorFormat& aFormat,
                  net::HttpRespond aRespond);
  void Answer(CallId aCallId, const registry::ApiReply& aReply);
  void Answer(ReadAnswer& aAnswer);
  void ExpirePending();
  void Schedule();

  net::HttpResponse Health() const;
  net::HttpResponse MetricsText();
  net::HttpResponse Timeline() const;
  void UpdateNodeMetrics();
  void UpdateRolloutMetrics();
  void SetGauge(const char* aName, const char* aHelp, double aValue);
  void SetTotal(const char* aName, const char* aHelp, uint64_t aValue);

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  std::unique_ptr<net::HttpServer> m_server;
  // The platform's operator interface; null when it is not configured.
  std::unique_ptr<net::HttpServer> m_configServer;
  observe::Metrics m_metrics;
  CallId m_lastCallId = 0;
  std::map<CallId, PendingRequest> m_pending;
  CoreSummary m_coreSummary;
  NetSummary m_netSummary;
};

} // namespace wigeonfold::control
