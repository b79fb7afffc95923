// HTTP thread: the operators' API, metrics, time line and health.
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

  // Fails with Io when the address can't be bound.
  Status Start();
  // Answers what has begun to arrive, then calls aDone.
  void Drain(std::function<void()> aDone);
  void Close();

  void Handle(HttpOrder aOrder);
  void Handle(NetSummary aSummary);

private:
  struct Waiting
  {
    std::string m_target;
    const registry::OperatorFormat* m_format = nullptr;
    net::HttpRespond m_respond;
    TimePoint m_deadline;
  };

  void Serve(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void ServeConfig(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void Accept(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void Members(const net::HttpRequest& aRequest, net::HttpRespond aRespond);
  void Propose(wire::Change aChange,
               const std::string& aTarget,
               const registry::OperatorFormat& aFormat,
               net::HttpRespond aRespond);
  // Numbers the call and hands it to the core.
  void Call(ApiCall aCall,
            const std::string& aTarget,
            const registry::OperatorFormat& aFormat,
            net::HttpRespond aRespond);
  void Answer(Ticket aTicket, const registry::ApiReply& aReply);
  void Answer(ReadAnswer& aAnswer);
  void ExpireWaiting();
  void Schedule();

  net::HttpResponse Health() const;
  net::HttpResponse MetricsText();
  net::HttpResponse Timeline() const;
  void UpdateNodeMetrics();
  void SetGauge(const char* aName, const char* aHelp, double aValue);
  void SetTotal(const char* aName, const char* aHelp, uint64_t aValue);

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  std::unique_ptr<net::HttpServer> m_server;
  // The platform's interface for operators; null when it is not set.
  std::unique_ptr<net::HttpServer> m_configServer;
  observe::Metrics m_metrics;
  Ticket m_lastTicket = 0;
  std::map<Ticket, Waiting> m_waiting;
  CoreSummary m_core;
  NetSummary m_net;
};

} // namespace wigeonfold::control
