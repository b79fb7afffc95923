// HTTP for the own target and for operators; everything that runs on a node's
// http thread.
#pragma once

#include "Messages.h"
#include "NodeSettings.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/observe/Metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace wigeonfold::node {

// Fails with InvalidArgument, naming the key, on a malformed announcement.
Result<Announcement> ParseAnnouncement(const std::string& aJson);

std::string StatusJson(const NodeSettings& aSettings,
                       const StatusReport& aReport);

// Serves PUT /wigeonfold/announce and GET /status, /metrics, /timeline and
// /healthz. All methods run on the thread of the io_context.
class LocalApi
{
public:
  // aSend hands a message to the data thread; false when it can't take it now.
  LocalApi(boost::asio::io_context& aIo,
           const NodeSettings& aSettings,
           const observe::Metrics& aMetrics,
           EventLog& aLog,
           std::function<bool(HttpToData)> aSend);

  // Fails with Io when the address can't be bound.
  Status Start();
  void Stop();
  void OnReport(const StatusReport& aReport);

  uint16_t Port() const { return m_server->Port(); }

private:
  void Handle(net::HttpRequest aRequest, net::HttpRespond aRespond);
  net::HttpResponse Announce(const net::HttpRequest& aRequest);
  net::HttpResponse Timeline(const std::string& aQuery) const;
  net::HttpResponse TakeReport(const net::HttpRequest& aRequest);

  // Answers that need the data thread's report.
  using AnswerOf =
    net::HttpResponse (LocalApi::*)(const StatusReport& aReport) const;
  struct Query
  {
    net::HttpRespond m_respond;
    AnswerOf m_answerOf = nullptr;
  };
  net::HttpResponse StatusAnswer(const StatusReport& aReport) const;
  net::HttpResponse ReadyAnswer(const StatusReport& aReport) const;
  void AskStatus(net::HttpRespond aRespond, AnswerOf aAnswerOf);

  boost::asio::io_context& m_io;
  const NodeSettings m_settings;
  const observe::Metrics& m_metrics;
  EventLog& m_log;
  const std::function<bool(HttpToData)> m_send;
  std::unique_ptr<net::HttpServer> m_server;
  uint64_t m_lastQuery = 0;
  // The platform's interfaces; null when they are not set.
  std::unique_ptr<net::HttpServer> m_announceServer;
  std::unique_ptr<net::HttpServer> m_readyServer;
  std::map<uint64_t, Query> m_queries;
};

} // namespace wigeonfold::node
