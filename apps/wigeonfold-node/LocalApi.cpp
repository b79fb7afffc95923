#include "LocalApi.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/observe/Timeline.h"
#include "wigeonfold/platform/TargetCalls.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace wigeonfold::node {

namespace {

constexpr int kMaxSlots = 10'000;
constexpr int kMaxConnections = 60'000;
constexpr size_t kMaxVersionBytes = 128; // of the target's software version
constexpr const char* kJsonType = "application/json";
// A target's report and an announcement have less than 1 KiB.
constexpr size_t kMaxReportBytes = size_t{ 64 } << 10;
// Requests that are not answered yet, together.
constexpr size_t kMaxUnansweredBytes = size_t{ 1 } << 20;
constexpr std::chrono::seconds kRequestTimeout{ 10 };

net::HttpResponse Answer(int aStatus, std::string aBody, const char* aType)
{
  return net::HttpResponse{ aStatus,
                            { { "Content-Type", aType } },
                            std::move(aBody) };
}

net::HttpResponse PlainAnswer(int aStatus, const std::string& aText)
{
  return Answer(aStatus, aText + "\n", "text/plain");
}

Error InvalidAnnouncement(const std::string& aDetail)
{
  return Error{ ErrorCode::InvalidArgument, "read announcement", "", aDetail };
}

int ReadBounded(const nlohmann::json& aJson, const char* aKey, int aMax)
{
  const auto value = aJson.at(aKey).get<int64_t>();
  if (value < 1 || value > aMax) {
    throw std::out_of_range(std::string(aKey) + " is not from 1 to " +
                            std::to_string(aMax));
  }
  return static_cast<int>(value);
}

// Timestamp N in the query parameter "after=N"; 0 when absent or malformed.
HybridTime ParseAfter(const std::string& aQuery)
{
  const std::string key = "after=";
  const size_t at = aQuery.find(key);
  HybridTime after = 0;
  if (at != std::string::npos) {
    const char* begin = aQuery.data() + at + key.size();
    std::from_chars(begin, aQuery.data() + aQuery.size(), after);
  }
  return after;
}

} // namespace

Result<Announcement> ParseAnnouncement(const std::string& aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
    Announcement announcement;
    announcement.m_service = json.at("service").get<std::string>();
    announcement.m_instance = json.at("instance").get<std::string>();
    announcement.m_slots = ReadBounded(json, "slots", kMaxSlots);
    announcement.m_connections =
      ReadBounded(json, "connections", kMaxConnections);
    const auto state = json.at("state").get<std::string>();
    announcement.m_state = state == "draining"
                             ? discovery::ReportedState::Draining
                             : discovery::ReportedState::Ready;
    if (announcement.m_service.empty() ||
        (state != "ready" && state != "draining")) {
      return InvalidAnnouncement(
        "service must not be empty, and state must be ready or draining");
    }
    const auto address =
      ParseSocketAddress(json.at("address").get<std::string>());
    if (!address) {
      return address.error();
    }
    announcement.m_address = address.value();
    announcement.m_softwareVersion = json.value("version", "");
    if (announcement.m_softwareVersion.size() > kMaxVersionBytes) {
      return InvalidAnnouncement("version is longer than " +
                                 std::to_string(kMaxVersionBytes) + " bytes");
    }
    return announcement;
  } catch (const std::exception& error) {
    return InvalidAnnouncement(error.what());
  }
}

std::string StatusJson(const NodeSettings& aSettings,
                       const StatusReport& aReport)
{
  const TargetStatus& target = aReport.m_target;
  nlohmann::json json{
    { "node", aSettings.m_name },
    { "zone", aSettings.m_availabilityZone },
    { "ready", aReport.m_ready },
    { "stopping", aReport.m_stopping },
    { "version", nullptr },
    { "digest", nullptr },
    { "services", aReport.m_services },
    { "endpoints", aReport.m_endpoints },
    { "calls", aReport.m_calls },
    { "peers", aReport.m_peers },
    { "target",
      { { "service", target.m_service },
        { "address",
          target.m_service.empty() ? "" : ToString(target.m_address) },
        { "state", ToString(target.m_state) },
        { "lease-lost", target.m_leaseLost },
        { "slots", target.m_slots },
        { "running", target.m_running },
        { "queued", target.m_queued },
        { "connections", target.m_connections } } },
  };
  if (aReport.m_inForce) {
    json["version"] = ToString(*aReport.m_inForce);
    // Text: JSON readers may keep numbers as 53-bit floats.
    json["digest"] = std::to_string(aReport.m_digest);
  }
  return DumpJson(json) + "\n";
}

LocalApi::LocalApi(boost::asio::io_context& aIo,
                   const NodeSettings& aSettings,
                   const observe::Metrics& aMetrics,
                   EventLog& aLog,
                   std::function<bool(HttpToData)> aSend)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_metrics(aMetrics)
  , m_log(aLog)
  , m_send(std::move(aSend))
{
}

Status LocalApi::Start()
{
  net::HttpLimits limits;
  limits.m_caller.m_bodyBytes = kMaxReportBytes;
  limits.m_caller.m_requestTimeout = kRequestTimeout;
  limits.m_requestBudget =
    std::make_shared<net::ByteBudget>(kMaxUnansweredBytes);
  const net::HttpOnFailure logFailure = [this](const Error& aError) {
    m_log.Record(EventId::HandlerFailed, { { "error", aError.ToString() } });
  };
  if (m_settings.m_announceListen) {
    auto server = net::ServeHttp(
      m_io,
      *m_settings.m_announceListen,
      [this](const net::HttpRequest& aRequest,
             net::HttpRespond aRespond,
             const auto&) {
        HandleTargetReport(aRequest, std::move(aRespond));
      },
      {},
      limits,
      logFailure);
    if (!server) {
      return server.error();
    }
    m_announceServer = std::move(server.value());
  }
  if (m_settings.m_readyListen) {
    auto server = net::ServeHttp(
      m_io,
      *m_settings.m_readyListen,
      [this](const net::HttpRequest&, net::HttpRespond aRespond, const auto&) {
        QueryStatus(std::move(aRespond), &LocalApi::ReadyAnswer);
      },
      {},
      limits,
      logFailure);
    if (!server) {
      return server.error();
    }
    m_readyServer = std::move(server.value());
  }
  auto server = net::ServeHttp(
    m_io,
    m_settings.m_localListen,
    [this](net::HttpRequest aRequest, net::HttpRespond aRespond, const auto&) {
      Handle(std::move(aRequest), std::move(aRespond));
    },
    {},
    limits,
    logFailure);
  if (!server) {
    return server.error();
  }
  m_server = std::move(server.value());
  return Ok();
}

void LocalApi::Stop()
{
  m_server.reset();
  m_announceServer.reset();
  m_readyServer.reset();
  m_pendingQueries.clear();
  m_pendingAnnouncements.clear();
}

void LocalApi::Handle(net::HttpRequest aRequest, net::HttpRespond aRespond)
{
  const std::string& target = aRequest.m_target;
  const size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
    mark == std::string::npos ? "" : target.substr(mark + 1);
  if (path == "/wigeonfold/announce") {
    if (aRequest.m_method == "PUT") {
      HandleAnnouncement(aRequest, std::move(aRespond));
    } else {
      aRespond(PlainAnswer(405, "use PUT"));
    }
  } else if (aRequest.m_method != "GET") {
    aRespond(PlainAnswer(405, "use GET"));
  } else if (path == "/status") {
    QueryStatus(std::move(aRespond), &LocalApi::StatusAnswer);
  } else if (path == "/metrics") {
    aRespond(Answer(200, m_metrics.Text(), "text/plain; version=0.0.4"));
  } else if (path == "/timeline") {
    aRespond(Timeline(query));
  } else if (path == "/healthz") {
    aRespond(PlainAnswer(200, "ok"));
  } else {
    aRespond(PlainAnswer(
      404,
      "unknown path; valid are /wigeonfold/announce, /status, /metrics, "
      "/timeline and /healthz"));
  }
}

void LocalApi::HandleAnnouncement(const net::HttpRequest& aRequest,
                                  net::HttpRespond aRespond)
{
  const auto announcement = ParseAnnouncement(aRequest.m_body);
  if (!announcement) {
    aRespond(PlainAnswer(400, announcement.error().ToString()));
    return;
  }
  PassOn(announcement.value(), std::move(aRespond));
}

void LocalApi::PassOn(Announcement aAnnouncement, net::HttpRespond aRespond)
{
  const uint64_t id = ++m_lastId;
  PendingAnnouncement pending{ std::move(aRespond), "" };
  if (aAnnouncement.m_state != discovery::ReportedState::Ready) {
    pending.m_leaving = aAnnouncement.m_instance;
  }
  if (!m_send(AnnouncementReceived{ id, std::move(aAnnouncement) })) {
    pending.m_respond(PlainAnswer(503, "busy"));
    return;
  }
  m_pendingAnnouncements.emplace(id, std::move(pending));
}

void LocalApi::OnMessage(const AnnouncementAnswer& aAnswer)
{
  auto entry = m_pendingAnnouncements.extract(aAnswer.m_id);
  if (entry.empty()) {
    return;
  }
  const PendingAnnouncement& pending = entry.mapped();
  if (!aAnswer.m_acknowledged) {
    m_log.Record(EventId::LeaveNotStored,
                 { { "instance", pending.m_leaving } });
    pending.m_respond(PlainAnswer(
      503, "the control VMs have not stored that the target leaves; repeat"));
    return;
  }
  if (!pending.m_leaving.empty()) {
    m_log.Record(EventId::LeaveAcknowledged,
                 { { "instance", pending.m_leaving } });
  }
  pending.m_respond(Answer(200, "{}\n", kJsonType));
}

net::HttpResponse LocalApi::Timeline(const std::string& aQuery) const
{
  return Answer(
    200,
    observe::ToJson({ m_log.Process(), m_log.Since(ParseAfter(aQuery)) }),
    kJsonType);
}

// A stale report, or one of a target that has left, is answered with 200 too:
// the sender need not react to it.
void LocalApi::HandleTargetReport(const net::HttpRequest& aRequest,
                                  net::HttpRespond aRespond)
{
  const auto report = platform::ParseTargetCall(aRequest);
  if (!report) {
    m_log.Record(EventId::TargetReportIgnored,
                 { { "reason", report.error().ToString() } });
    const bool unknown = report.error().m_code == ErrorCode::NotFound;
    aRespond(PlainAnswer(unknown ? 404 : 400, report.error().ToString()));
    return;
  }
  PassOn(report.value(), std::move(aRespond));
}

net::HttpResponse LocalApi::StatusAnswer(const StatusReport& aReport) const
{
  return Answer(200, StatusJson(m_settings, aReport), kJsonType);
}

net::HttpResponse LocalApi::ReadyAnswer(const StatusReport& aReport) const
{
  const bool ready = aReport.m_ready && !aReport.m_stopping;
  return PlainAnswer(ready ? 200 : 503, ready ? "ready" : "not ready");
}

void LocalApi::QueryStatus(net::HttpRespond aRespond, MakeAnswer aMakeAnswer)
{
  const uint64_t id = ++m_lastId;
  if (!m_send(StatusQuery{ id })) {
    aRespond(PlainAnswer(503, "busy"));
    return;
  }
  m_pendingQueries.emplace(id,
                           PendingQuery{ std::move(aRespond), aMakeAnswer });
}

void LocalApi::OnMessage(const StatusReport& aReport)
{
  auto entry = m_pendingQueries.extract(aReport.m_id);
  if (!entry.empty()) {
    const PendingQuery& query = entry.mapped();
    query.m_respond((this->*query.m_makeAnswer)(aReport));
  }
}

} // namespace wigeonfold::node
