#include "Api.h"

#include "RolloutFormat.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/observe/Timeline.h"
#include "wigeonfold/platform/OperatorCalls.h"
#include "wigeonfold/platform/RolloutCalls.h"

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

// Longer than the core's own timeout, so that its answer normally comes first.
constexpr Duration kCallTimeout = 7s;
constexpr Duration kTickInterval = 500ms;
// For this time requests are still answered with "Connection: close", which
// makes clients reconnect elsewhere.
constexpr Duration kDrainLinger = 200ms;
// The core sends a summary every 100 ms; without one for this long it counts as
// stalled.
constexpr Duration kStalledAfter = 2s;
// Enough for a whole configuration of 8,000 routes.
constexpr size_t kMaxConfigBytes = size_t{ 2 } << 20;
// Requests that are not answered and answers that are not read, of all
// operators together: four of the largest configurations.
constexpr size_t kMaxOperatorBytes = 4 * kMaxConfigBytes;
// An operator's link carries the largest configuration in this time.
constexpr Duration kTransferTimeout = 10s;
constexpr const char* kJson = "application/json";

net::HttpLimits OperatorLimits(const std::shared_ptr<net::ByteBudget>& aBudget,
                               size_t aBodyBytes)
{
  net::HttpLimits limits;
  limits.m_caller.m_bodyBytes = aBodyBytes;
  limits.m_caller.m_requestTimeout = kTransferTimeout;
  limits.m_caller.m_writeTimeout = kTransferTimeout;
  limits.m_requestBudget = aBudget;
  limits.m_answerBudget = aBudget;
  return limits;
}

net::HttpResponse ToResponse(const registry::ApiReply& aReply)
{
  net::HttpResponse response;
  response.m_status = aReply.m_status;
  response.m_body = aReply.m_body;
  response.m_fields.push_back({ "Content-Type", kJson });
  if (!aReply.m_location.empty()) {
    response.m_fields.push_back({ "Location", aReply.m_location });
  }
  return response;
}

net::HttpResponse Text(int aStatus, const char* aType, std::string aBody)
{
  return { aStatus, { { "Content-Type", aType } }, std::move(aBody) };
}

registry::NodeReport ToReport(const distribution::NodeInfo& aNode,
                              TimePoint aNow)
{
  registry::NodeReport report;
  report.m_name = aNode.m_nodeName;
  report.m_availabilityZone = aNode.m_availabilityZone;
  report.m_inForce = aNode.m_inForce;
  report.m_refused = aNode.m_refused;
  report.m_refusal = aNode.m_refusal;
  report.m_reportAge = aNow - aNode.m_reportedAt;
  return report;
}

std::string PathWithoutQuery(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

Api::Api(boost::asio::io_context& aIo,
         const ControlSettings& aSettings,
         Channels& aChannels,
         EventLog& aLog)
  : m_io(aIo)
  , m_timer(aIo)
  , m_settings(aSettings)
  , m_channels(aChannels)
  , m_log(aLog)
{
}

Status Api::Start()
{
  const auto budget = std::make_shared<net::ByteBudget>(kMaxOperatorBytes);
  auto server = net::ServeHttp(
    m_io,
    m_settings.m_apiListen,
    [this](const net::HttpRequest& aRequest,
           net::HttpRespond aRespond,
           const net::HttpOnAbandon&) { Serve(aRequest, std::move(aRespond)); },
    {},
    OperatorLimits(budget, net::kMaxBodyBytes),
    MakeFailureLog());
  if (!server) {
    return server.error();
  }
  m_server = std::move(server.value());
  if (m_settings.m_operatorListen) {
    auto config = net::ServeHttp(
      m_io,
      *m_settings.m_operatorListen,
      [this](const net::HttpRequest& aRequest,
             net::HttpRespond aRespond,
             const net::HttpOnAbandon&) {
        ServeConfig(aRequest, std::move(aRespond));
      },
      {},
      OperatorLimits(budget, kMaxConfigBytes),
      MakeFailureLog());
    if (!config) {
      return config.error();
    }
    m_configServer = std::move(config.value());
  }
  Schedule();
  return Ok();
}

net::HttpOnFailure Api::MakeFailureLog()
{
  return [this](const Error& aError) {
    m_log.Record(EventId::HandlerFailed, { { "error", aError.ToString() } });
  };
}

void Api::Drain(std::function<void()> aDone)
{
  if (!m_configServer) {
    m_server->Drain(kDrainLinger, std::move(aDone));
    return;
  }
  m_configServer->Drain(
    kDrainLinger, [this, aDone] { m_server->Drain(Duration::zero(), aDone); });
}

void Api::Close()
{
  m_timer.cancel();
  if (m_server) {
    m_server->Close();
  }
  if (m_configServer) {
    m_configServer->Close();
  }
}

void Api::Schedule()
{
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode) {
      ExpirePending();
      Schedule();
    }
  });
}

// ---- Requests --------------------------------------------------------------

void Api::Serve(const net::HttpRequest& aRequest, net::HttpRespond aRespond)
{
  const std::string path = PathWithoutQuery(aRequest.m_target);
  const bool isGet = aRequest.m_method == "GET";
  if (isGet && path == "/healthz") {
    aRespond(Health());
  } else if (isGet && path == "/metrics") {
    aRespond(MetricsText());
  } else if (isGet && path == "/timeline") {
    aRespond(Timeline());
  } else if (IsRolloutPath(path)) {
    HandleRollouts(aRequest, std::move(aRespond));
  } else if (isGet) {
    SendToCore(ReadCall{},
               aRequest.m_target,
               registry::NativeFormat(),
               std::move(aRespond));
  } else if (aRequest.m_method == "POST" && path == "/v1/accept") {
    HandleAccept(aRequest, std::move(aRespond));
  } else if (aRequest.m_method == "POST" && path == "/v1/members") {
    HandleMembers(aRequest, std::move(aRespond));
  } else {
    aRespond(ToResponse(registry::FormatProblem(404, "no such path")));
  }
}

void Api::HandleAccept(const net::HttpRequest& aRequest,
                       net::HttpRespond aRespond)
{
  auto change = registry::ParseChange(aRequest.m_body);
  if (!change) {
    aRespond(ToResponse(registry::FormatInvalidBody(change.error())));
    return;
  }
  Propose(std::move(change.value()),
          aRequest.m_target,
          registry::NativeFormat(),
          std::move(aRespond));
}

void Api::Propose(wire::Change aChange,
                  const std::string& aTarget,
                  const registry::OperatorFormat& aFormat,
                  net::HttpRespond aRespond)
{
  AcceptCall call;
  call.m_target = aTarget;
  call.m_change = std::move(aChange);
  call.m_format = &aFormat;
  SendToCore(std::move(call), aTarget, aFormat, std::move(aRespond));
}

void Api::ServeConfig(const net::HttpRequest& aRequest,
                      net::HttpRespond aRespond)
{
  if (platform::IsRolloutCall(aRequest)) {
    ServeRollouts(aRequest, std::move(aRespond));
    return;
  }
  const registry::OperatorFormat& format = platform::ConfigFormat();
  if (platform::IsRead(aRequest)) {
    SendToCore(ReadCall{}, aRequest.m_target, format, std::move(aRespond));
    return;
  }
  if (!platform::IsAccept(aRequest)) {
    aRespond(ToResponse(registry::FormatProblem(404, "no such call")));
    return;
  }
  auto change = platform::ParseConfig(aRequest.m_body);
  if (!change) {
    m_log.Record(EventId::ReleaseInvalid,
                 { { "reason", change.error().ToString() } });
    aRespond(
      ToResponse(registry::FormatProblem(400, change.error().ToString())));
    return;
  }
  Propose(
    std::move(change.value()), aRequest.m_target, format, std::move(aRespond));
}

void Api::ServeRollouts(const net::HttpRequest& aRequest,
                        net::HttpRespond aRespond)
{
  const registry::OperatorFormat& format = platform::RolloutFormat();
  if (platform::IsRolloutOrder(aRequest)) {
    OrderRollout(platform::ParseRolloutOrder(aRequest.m_body),
                 false,
                 aRequest.m_target,
                 format,
                 std::move(aRespond));
    return;
  }
  if (aRequest.m_method != "GET") {
    aRespond(ToResponse(registry::FormatProblem(404, "no such call")));
    return;
  }
  SendToCore(ReadCall{ 0, true, &format },
             aRequest.m_target,
             format,
             std::move(aRespond));
}

void Api::HandleRollouts(const net::HttpRequest& aRequest,
                         net::HttpRespond aRespond)
{
  const registry::OperatorFormat& format = NativeRolloutFormat();
  if (aRequest.m_method == "GET") {
    SendToCore(ReadCall{ 0, true, &format },
               aRequest.m_target,
               format,
               std::move(aRespond));
  } else if (aRequest.m_method == "POST") {
    const bool stops = IsRolloutStop(PathWithoutQuery(aRequest.m_target));
    OrderRollout(stops ? ParseRolloutStop(aRequest.m_body)
                       : ParseRolloutStart(aRequest.m_body),
                 stops,
                 aRequest.m_target,
                 format,
                 std::move(aRespond));
  } else {
    aRespond(ToResponse(registry::FormatProblem(404, "no such path")));
  }
}

void Api::OrderRollout(Result<rollout::OrderRequest> aRequest,
                       bool aStops,
                       const std::string& aTarget,
                       const registry::OperatorFormat& aFormat,
                       net::HttpRespond aRespond)
{
  if (!aRequest) {
    m_log.Record(EventId::RolloutRefused,
                 { { "reason", aRequest.error().ToString() } });
    aRespond(
      ToResponse(registry::FormatProblem(400, aRequest.error().ToString())));
    return;
  }
  RolloutCall call;
  call.m_target = aTarget;
  call.m_request = std::move(aRequest.value());
  call.m_stops = aStops;
  call.m_format = &aFormat;
  SendToCore(std::move(call), aTarget, aFormat, std::move(aRespond));
}

void Api::HandleMembers(const net::HttpRequest& aRequest,
                        net::HttpRespond aRespond)
{
  auto request = registry::ParseMemberRequest(aRequest.m_body);
  if (!request) {
    aRespond(ToResponse(registry::FormatInvalidBody(request.error())));
    return;
  }
  SendToCore(MemberCall{ 0, aRequest.m_target, std::move(request.value()) },
             aRequest.m_target,
             registry::NativeFormat(),
             std::move(aRespond));
}

void Api::SendToCore(ApiCall aCall,
                     const std::string& aTarget,
                     const registry::OperatorFormat& aFormat,
                     net::HttpRespond aRespond)
{
  const CallId callId = ++m_lastCallId;
  std::visit([callId](auto& aTyped) { aTyped.m_callId = callId; }, aCall);
  if (!m_channels.m_httpToCore.TryPush(std::move(aCall))) {
    aRespond(ToResponse(
      registry::FormatProblem(503, "too many calls wait for the core")));
    return;
  }
  m_pending[callId] = PendingRequest{
    aTarget, &aFormat, std::move(aRespond), Clock::now() + kCallTimeout
  };
}

void Api::ExpirePending()
{
  const TimePoint now = Clock::now();
  // Call ids grow, so the oldest call comes first.
  while (!m_pending.empty() && m_pending.begin()->second.m_deadline <= now) {
    const auto& [callId, pending] = *m_pending.begin();
    Answer(callId,
           pending.m_format->FormatUnknownOutcome(
             "the core did not answer in time"));
  }
}

// ---- Answers ---------------------------------------------------------------

void Api::Answer(CallId aCallId, const registry::ApiReply& aReply)
{
  const auto found = m_pending.find(aCallId);
  if (found == m_pending.end()) {
    return;
  }
  const net::HttpRespond respond = std::move(found->second.m_respond);
  m_pending.erase(found);
  respond(ToResponse(aReply));
}

void Api::Answer(ReadAnswer& aAnswer)
{
  const auto found = m_pending.find(aAnswer.m_callId);
  if (found == m_pending.end()) {
    return;
  }
  const TimePoint now = Clock::now();
  if (m_netSummary.m_nodes) {
    for (const distribution::NodeInfo& node : *m_netSummary.m_nodes) {
      aAnswer.m_cluster.m_nodes.push_back(ToReport(node, now));
    }
  }
  const PendingRequest& pending = found->second;
  Answer(aAnswer.m_callId, registry::FormatOrProblem(m_log, [&] {
           return pending.m_format->HandleRead(
             *aAnswer.m_registry, aAnswer.m_cluster, pending.m_target);
         }));
}

void Api::Handle(HttpMessage aMessage)
{
  if (auto* read = std::get_if<ReadAnswer>(&aMessage)) {
    Answer(*read);
  } else if (auto* call = std::get_if<CallAnswer>(&aMessage)) {
    Answer(call->m_callId, call->m_reply);
  } else if (auto* summary = std::get_if<CoreSummary>(&aMessage)) {
    m_coreSummary = *summary;
  }
}

void Api::Handle(NetSummary aSummary)
{
  m_netSummary = std::move(aSummary);
}

// ---- Health, timeline, metrics ---------------------------------------------

net::HttpResponse Api::Health() const
{
  const TimePoint now = Clock::now();
  const bool running = now - m_coreSummary.m_takenAt < kStalledAfter;
  const bool fresh =
    m_coreSummary.m_freshnessAge <= distribution::kMaxFreshnessAge &&
    m_coreSummary.m_version;
  nlohmann::json body;
  body["name"] = m_settings.m_name;
  body["role"] = consensus::ToString(m_coreSummary.m_role);
  body["running"] = running;
  body["fresh"] = fresh;
  body["version"] =
    m_coreSummary.m_version ? ToString(*m_coreSummary.m_version) : "";
  return Text(running && fresh ? 200 : 503, kJson, DumpJson(body) + "\n");
}

net::HttpResponse Api::Timeline() const
{
  const observe::ProcessTimeline timeline{ m_log.Process(), m_log.Since(0) };
  return Text(200, kJson, observe::ToJson(timeline));
}

void Api::SetGauge(const char* aName, const char* aHelp, double aValue)
{
  m_metrics.Gauge(aName, aHelp).Set(aValue);
}

void Api::SetTotal(const char* aName, const char* aHelp, uint64_t aValue)
{
  auto& counter = m_metrics.Counter(aName, aHelp);
  counter.Increment(static_cast<double>(aValue) - counter.Value());
}

net::HttpResponse Api::MetricsText()
{
  const bool leads = m_coreSummary.m_role == consensus::Role::Leader;
  const bool ageKnown = m_coreSummary.m_freshnessAge != Duration::max();
  SetGauge("wigeonfold_control_leader", "1 when this VM leads", leads ? 1 : 0);
  SetGauge("wigeonfold_control_term", "Raft term", m_coreSummary.m_term);
  SetGauge("wigeonfold_control_commit_index",
           "Last committed log index",
           static_cast<double>(m_coreSummary.m_commitIndex));
  SetGauge("wigeonfold_control_applied_index",
           "Last applied log index",
           static_cast<double>(m_coreSummary.m_appliedIndex));
  SetGauge("wigeonfold_control_version_number",
           "Number of the newest committed version",
           m_coreSummary.m_version
             ? static_cast<double>(m_coreSummary.m_version->m_number)
             : 0);
  SetGauge(
    "wigeonfold_control_freshness_age_seconds",
    "Time since this VM was last confirmed as current, -1 for never",
    ageKnown
      ? std::chrono::duration<double>(m_coreSummary.m_freshnessAge).count()
      : -1);
  SetGauge("wigeonfold_control_members",
           "Members of the replicated group",
           static_cast<double>(m_coreSummary.m_members));
  SetTotal("wigeonfold_control_accepted_total",
           "Accepted changes applied since the start",
           m_coreSummary.m_accepted);
  SetTotal("wigeonfold_control_conflicts_total",
           "Changes that lost against another one",
           m_coreSummary.m_conflicts);
  UpdateNodeMetrics();
  UpdateRolloutMetrics();
  return Text(200, "text/plain; version=0.0.4", m_metrics.Text());
}

void Api::UpdateRolloutMetrics()
{
  SetGauge("wigeonfold_control_rollouts_running",
           "Rollouts that this VM decides on as the leader",
           static_cast<double>(m_coreSummary.m_runningRollouts));
  SetTotal("wigeonfold_control_rollouts_full_total",
           "Rollouts that this VM moved to the full stage",
           m_coreSummary.m_fullRollouts);
  SetTotal("wigeonfold_control_rollouts_completed_total",
           "Rollouts that this VM completed",
           m_coreSummary.m_completedRollouts);
  SetTotal("wigeonfold_control_rollouts_rolled_back_total",
           "Rollouts that this VM rolled back",
           m_coreSummary.m_rolledBackRollouts);
}

void Api::UpdateNodeMetrics()
{
  const distribution::NodeSessionsCounters& counters = m_netSummary.m_counters;
  SetGauge("wigeonfold_control_node_sessions",
           "Nodes with a session",
           m_netSummary.m_nodes
             ? static_cast<double>(m_netSummary.m_nodes->size())
             : 0);
  SetGauge("wigeonfold_control_nodes_current",
           "Nodes that reported the newest version in force",
           static_cast<double>(m_netSummary.m_currentNodes));
  SetGauge("wigeonfold_control_endpoints",
           "Records in the endpoint table",
           static_cast<double>(m_netSummary.m_endpoints));
  SetGauge("wigeonfold_control_peers",
           "Connected control VMs",
           static_cast<double>(m_netSummary.m_peers));
  SetTotal("wigeonfold_control_hellos_total",
           "Hellos of nodes, probes included",
           counters.m_hellos);
  SetTotal("wigeonfold_control_shed_total",
           "Hellos answered with RetryLater",
           counters.m_shedHellos);
  SetTotal("wigeonfold_control_config_deltas_total",
           "Configuration updates sent as a delta",
           counters.m_configDeltas);
  SetTotal("wigeonfold_control_config_fulls_total",
           "Configuration updates sent as a whole tree",
           counters.m_configFulls);
  SetTotal("wigeonfold_control_endpoint_deltas_total",
           "Endpoint updates sent as a delta",
           counters.m_endpointDeltas);
  SetTotal("wigeonfold_control_endpoint_fulls_total",
           "Endpoint updates sent as a whole table",
           counters.m_endpointFulls);
  SetTotal("wigeonfold_control_refusals_total",
           "Versions refused by nodes",
           counters.m_refusals);
  const QuotaSummary& quotas = m_netSummary.m_quotas;
  SetGauge("wigeonfold_control_quota_limited_accounts",
           "Client accounts that are limited, since they are near their quota",
           static_cast<double>(quotas.m_limitedAccounts));
  SetGauge("wigeonfold_control_quota_fleet_nodes",
           "Nodes among which quotas are shared; 0 without quotas",
           quotas.m_fleetNodes);
  SetGauge("wigeonfold_control_quota_share",
           "Part of the fleet that this VM hears from, 0 to 1",
           quotas.m_share);
  SetTotal("wigeonfold_control_quota_limits_total",
           "Limits of client accounts sent to nodes",
           quotas.m_counters.m_limitsSent);
  SetTotal("wigeonfold_control_quota_syncs_sent_total",
           "Quota messages to the other control VMs",
           quotas.m_counters.m_syncsSent);
  SetTotal("wigeonfold_control_quota_syncs_received_total",
           "Quota messages of other control VMs",
           quotas.m_counters.m_syncsReceived);
  SetTotal("wigeonfold_control_node_sent_bytes_total",
           "Frame bytes sent to nodes",
           counters.m_bytesSent);
  SetTotal("wigeonfold_control_node_received_bytes_total",
           "Frame bytes received from nodes",
           counters.m_bytesReceived);
}

} // namespace wigeonfold::control
