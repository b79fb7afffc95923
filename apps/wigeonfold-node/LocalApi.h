// HTTP API for the node's own target and for operators. All of it runs on the
// node's HTTP thread.
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

// Fails with InvalidArgument on a malformed announcement; the detail names what
// is wrong. Thread safe.
Result<Announcement> ParseAnnouncement(const std::string& aJson);

// Body of GET /status. Thread safe.
std::string StatusJson(const NodeSettings& aSettings,
                       const StatusReport& aReport);

// Serves PUT /wigeonfold/announce and GET /status, /metrics, /timeline and
// /healthz. All methods run on the thread of the io_context.
class LocalApi
{
public:
  // aSend passes a message to the data thread; false when its ring is full, and
  // the request is then answered with 503. aMetrics and aLog must outlive this
  // object.
  LocalApi(boost::asio::io_context& aIo,
           const NodeSettings& aSettings,
           const observe::Metrics& aMetrics,
           EventLog& aLog,
           std::function<bool(HttpToData)> aSend);

  // Fails with Io when an address can't be bound.
  Status Start();
  // Closes the servers; pending queries are not answered.
  void Stop();
  // Answer the HTTP request that sent the query or the announcement with the
  // message's id.
  void OnMessage(const StatusReport& aReport);
  void OnMessage(const AnnouncementAnswer& aAnswer);

  uint16_t Port() const { return m_server->Port(); }

private:
  void Handle(net::HttpRequest aRequest, net::HttpRespond aRespond);
  void HandleAnnouncement(const net::HttpRequest& aRequest,
                          net::HttpRespond aRespond);
  net::HttpResponse Timeline(const std::string& aQuery) const;
  void HandleTargetReport(const net::HttpRequest& aRequest,
                          net::HttpRespond aRespond);
  void PassOn(Announcement aAnnouncement, net::HttpRespond aRespond);

  // Creates the answer to a request that needs the data thread's report.
  using MakeAnswer =
    net::HttpResponse (LocalApi::*)(const StatusReport& aReport) const;
  struct PendingQuery
  {
    net::HttpRespond m_respond;
    MakeAnswer m_makeAnswer = nullptr;
  };
  net::HttpResponse StatusAnswer(const StatusReport& aReport) const;
  net::HttpResponse ReadyAnswer(const StatusReport& aReport) const;
  void QueryStatus(net::HttpRespond aRespond, MakeAnswer aMakeAnswer);

  boost::asio::io_context& m_io;
  const NodeSettings m_settings;
  const observe::Metrics& m_metrics;
  EventLog& m_log;
  const std::function<bool(HttpToData)> m_send;
  std::unique_ptr<net::HttpServer> m_server;
  uint64_t m_lastId = 0; // of a query or an announcement
  // Interfaces of the platform; null when no address is set for them.
  std::unique_ptr<net::HttpServer> m_announceServer;
  std::unique_ptr<net::HttpServer> m_readyServer;
  std::map<uint64_t, PendingQuery> m_pendingQueries;
  struct PendingAnnouncement
  {
    net::HttpRespond m_respond;
    std::string m_leaving; // instance; empty unless the target leaves
  };
  std::map<uint64_t, PendingAnnouncement> m_pendingAnnouncements;
};

} // namespace wigeonfold::node
