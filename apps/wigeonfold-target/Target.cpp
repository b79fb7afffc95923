#include "Target.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/net/Echo.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

namespace wigeonfold::target {

using namespace std::chrono_literals;

namespace {

constexpr Duration kAnnouncePeriod = 1s;
constexpr size_t kMaxInternalConnections = 64;
constexpr Duration kInternalTimeout = 30s; // without a deadline
constexpr int kServiceUnavailable = 503;
constexpr int kInternalError = 500;

std::optional<TimePoint> DeadlineOf(const net::HttpRequest& aRequest,
                                    TimePoint aNow)
{
  if (net::FindField(aRequest.m_fields, net::kDeadlineField) == nullptr) {
    return std::nullopt;
  }
  return aNow + std::chrono::milliseconds(
                  net::NumberField(aRequest.m_fields, net::kDeadlineField, 0));
}

std::string FieldOr(const net::HttpRequest& aRequest,
                    const char* aName,
                    const std::string& aDefault)
{
  const std::string* value = net::FindField(aRequest.m_fields, aName);
  return value == nullptr ? aDefault : *value;
}

// The call to the first service of the request's depth chain, which passes on
// the rest of the chain, one level deeper.
net::HttpRequest InternalRequest(const net::HttpRequest& aOuter,
                                 const std::optional<TimePoint>& aDeadline,
                                 TimePoint aNow)
{
  const std::string chain = FieldOr(aOuter, net::kDepthChainField, "");
  const size_t comma = chain.find(',');
  const std::string service = chain.substr(0, comma);
  net::HttpRequest inner;
  inner.m_method = aOuter.m_method;
  inner.m_target = "/" + service + "/internal";
  inner.m_body = aOuter.m_body;
  inner.m_fields = {
    { net::kRequestIdField, FieldOr(aOuter, net::kRequestIdField, "") + "/i" },
    { net::kDepthField,
      std::to_string(net::NumberField(aOuter.m_fields, net::kDepthField, 0) +
                     1) },
  };
  if (comma != std::string::npos) {
    inner.m_fields.push_back(
      { net::kDepthChainField, chain.substr(comma + 1) });
  }
  if (aDeadline) {
    const auto remaining =
      std::max<int64_t>(0, ToMilliseconds(*aDeadline - aNow));
    inner.m_fields.push_back(
      { net::kDeadlineField, std::to_string(remaining) });
  }
  for (const char* name :
       { net::kAccountField, net::kIdempotentField, net::kWorkField }) {
    if (const std::string* value = net::FindField(aOuter.m_fields, name)) {
      inner.m_fields.push_back({ name, *value });
    }
  }
  return inner;
}

} // namespace

Target::Target(boost::asio::io_context& aIo,
               const TargetSettings& aSettings,
               EventLog& aLog,
               ExecutionRecord aExecuted)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_instance(to_string(boost::uuids::random_generator()()))
  , m_log(aLog)
  , m_announceTimer(aIo)
  , m_slots(aSettings.m_slots, aSettings.m_shedAbove)
  , m_times(aSettings.m_times, Clock::now())
  , m_faults(aSettings.m_faults, Clock::now())
  , m_executed(std::move(aExecuted))
  , m_reportRandom(aSettings.m_times.m_seed)
{
}

Status Target::Start()
{
  auto server = net::ServeHttp(
    m_io,
    m_settings.m_listen,
    [this](net::HttpRequest aRequest,
           net::HttpRespond aRespond,
           const net::HttpOnAbandon& aOnAbandon) {
      Handle(std::move(aRequest), std::move(aRespond), aOnAbandon);
    },
    { { net::kRunField, "not-run" } },
    { static_cast<size_t>(m_settings.m_connections),
      m_settings.m_connectionCost + 2 * m_settings.m_oneWayDelay });
  if (!server) {
    return server.error();
  }
  m_server = std::move(server.value());
  if (m_settings.m_nodeCallers) {
    m_internal = net::MakeHttpPool(
      m_io, *m_settings.m_nodeCallers, kMaxInternalConnections);
  }
  if (m_settings.m_nodeAnnounce) {
    m_announcer = net::MakeHttpPool(m_io, *m_settings.m_nodeAnnounce, 1);
    Announce();
  }
  RecordSample();
  return Ok();
}

void Target::Drain(std::function<void()> aDone)
{
  m_draining = true;
  if (m_announcer) {
    Announce();
  }
  m_server->Drain(m_settings.m_drainLinger, [this, aDone] {
    m_announceTimer.cancel();
    aDone();
  });
}

// ---- Announcements ---------------------------------------------------------

void Target::Announce()
{
  nlohmann::json announcement{
    { "service", m_settings.m_service },
    { "address", ToString(m_settings.m_announceAddress) },
    { "slots", m_settings.m_slots },
    { "connections", m_settings.m_connections },
    { "state", m_draining ? "draining" : "ready" },
    { "instance", m_instance },
  };
  if (!m_settings.m_softwareVersion.empty()) {
    announcement["version"] = m_settings.m_softwareVersion;
  }
  const net::HttpRequest request{ "PUT",
                                  "/wigeonfold/announce",
                                  { { "Content-Type", "application/json" } },
                                  DumpJson(announcement) };
  // A failed announcement isn't handled, as the next one follows within a
  // period.
  m_announcer->Call(request, kAnnouncePeriod, [](const net::HttpOutcome&) {});
  m_announceTimer.expires_after(kAnnouncePeriod);
  m_announceTimer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode) {
      Announce();
    }
  });
}

// ---- Requests --------------------------------------------------------------

void Target::Handle(net::HttpRequest aRequest,
                    net::HttpRespond aRespond,
                    const net::HttpOnAbandon& aOnAbandon)
{
  if (aRequest.m_target == "/health") {
    aRespond(HealthResponse());
    return;
  }
  if (aRequest.m_target == "/load") {
    aRespond(LoadResponse());
    return;
  }
  if (aRequest.m_target == "/executed") {
    aRespond({ 200, {}, m_executed.ToJsonLines() });
    return;
  }
  const JobId job = m_nextJob++;
  const TimePoint now = Clock::now();
  m_jobs[job] = Job{ std::move(aRequest), std::move(aRespond), now };
  aOnAbandon([this, job] { Abandon(job); });
  PostAfter(m_settings.m_oneWayDelay, [this, job] { Admit(job); });
}

void Target::Admit(JobId aJob)
{
  Job& job = m_jobs.at(aJob);
  const TimePoint now = Clock::now();
  job.m_deadline = DeadlineOf(job.m_request, now);
  if (job.m_abandoned) {
    m_jobs.erase(aJob);
    return;
  }
  switch (m_slots.Admit(aJob, job.m_deadline, now)) {
    case Admission::Started:
      Run(aJob);
      break;
    case Admission::Waiting:
      RecordSample();
      break;
    case Admission::Shed:
      AnswerNotRun(aJob, "shed");
      break;
    case Admission::Expired:
      AnswerNotRun(aJob, "deadline exceeded");
      break;
  }
}

void Target::Run(JobId aJob)
{
  RecordSample();
  const Job& job = m_jobs.at(aJob);
  m_executed.Add(FieldOr(job.m_request, net::kRequestIdField, ""),
                 job.m_request.m_method);
  std::optional<Duration> work;
  if (net::FindField(job.m_request.m_fields, net::kWorkField) != nullptr) {
    work = std::chrono::milliseconds(std::max<int64_t>(
      0, net::NumberField(job.m_request.m_fields, net::kWorkField, 0)));
  }
  const TimePoint now = Clock::now();
  PostAfter(m_faults.Prolong(m_times.Draw(work, now), now),
            [this, aJob] { CallNextService(aJob); });
}

void Target::CallNextService(JobId aJob)
{
  Job& job = m_jobs.at(aJob);
  const bool hasNextService =
    !FieldOr(job.m_request, net::kDepthChainField, "").empty();
  if (!hasNextService || !m_internal || job.m_abandoned) {
    job.m_chainResult = hasNextService ? "failed" : "";
    Finish(aJob);
    return;
  }
  const TimePoint now = Clock::now();
  const net::HttpRequest inner =
    InternalRequest(job.m_request, job.m_deadline, now);
  const Duration timeout = job.m_deadline
                             ? std::max<Duration>(*job.m_deadline - now, 1ms)
                             : kInternalTimeout;
  m_internal->Call(
    inner, timeout, [this, aJob, inner](const net::HttpOutcome& aOutcome) {
      OnInternalAnswer(aJob, inner, aOutcome);
    });
}

void Target::OnInternalAnswer(JobId aJob,
                              const net::HttpRequest& aInner,
                              const net::HttpOutcome& aOutcome)
{
  Job& job = m_jobs.at(aJob);
  job.m_chainResult = "failed";
  if (aOutcome.m_response && aOutcome.m_response->m_status == 200) {
    const bool matches =
      net::CheckEcho(aInner, *aOutcome.m_response) == net::EchoCheck::Right;
    const std::string* nestedResult =
      net::FindField(aOutcome.m_response->m_fields, net::kChainField);
    job.m_chainResult = !matches                  ? "wrong"
                        : nestedResult == nullptr ? "ok"
                                                  : *nestedResult;
  }
  Finish(aJob);
}

void Target::Finish(JobId aJob)
{
  const Job& job = m_jobs.at(aJob);
  const std::string id = FieldOr(job.m_request, net::kRequestIdField, "");
  const int64_t requestedBytes =
    net::NumberField(job.m_request.m_fields,
                     net::kAnswerBytesField,
                     static_cast<int64_t>(net::kDefaultAnswerBytes));
  const auto length = static_cast<size_t>(std::clamp<int64_t>(
    requestedBytes, 0, static_cast<int64_t>(net::kMaxBodyBytes)));
  const auto inTarget = Clock::now() - job.m_arrived;
  net::HttpResponse response;
  response.m_fields = {
    { net::kRequestIdField, id },
    { net::kTargetField, m_settings.m_name },
    { net::kTargetMicrosField, std::to_string(ToMicroseconds(inTarget)) },
  };
  if (!job.m_chainResult.empty()) {
    response.m_fields.push_back({ net::kChainField, job.m_chainResult });
  }
  if (m_faults.IsFailure(Clock::now())) {
    response.m_status = kInternalError;
  }
  response.m_body = net::EchoBody(id, job.m_request.m_body, length);
  Respond(aJob, std::move(response));

  const SlotChanges changes = m_slots.Finish(Clock::now());
  RecordSample();
  for (const JobId expired : changes.m_expired) {
    AnswerNotRun(expired, "deadline exceeded");
  }
  for (const JobId started : changes.m_started) {
    Run(started);
  }
}

// A waiting request is dropped. A running one keeps its slot until it is done,
// as a real target can't take back work that it has begun.
void Target::Abandon(JobId aJob)
{
  const auto job = m_jobs.find(aJob);
  if (job == m_jobs.end()) {
    return;
  }
  job->second.m_abandoned = true;
  if (m_slots.Cancel(aJob)) {
    m_jobs.erase(job);
    RecordSample();
  }
}

void Target::AnswerNotRun(JobId aJob, const char* aReason)
{
  Respond(aJob,
          { kServiceUnavailable,
            { { net::kRunField, "not-run" } },
            std::string(aReason) + "\n" });
}

void Target::Respond(JobId aJob, net::HttpResponse aResponse)
{
  const auto job = m_jobs.find(aJob);
  net::HttpRespond respond = std::move(job->second.m_respond);
  m_jobs.erase(job);
  if (m_draining) {
    aResponse.m_fields.push_back({ net::kLeavingField, "yes" });
  }
  PostAfter(m_settings.m_oneWayDelay,
            [respond = std::move(respond), response = std::move(aResponse)] {
              respond(response);
            });
}

void Target::PostAfter(Duration aDelay, std::function<void()> aAction)
{
  if (aDelay <= Duration::zero()) {
    boost::asio::post(m_io, std::move(aAction));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
  timer->async_wait(
    [timer, action = std::move(aAction)](boost::system::error_code aCode) {
      if (!aCode) {
        action();
      }
    });
}

// ---- Reports ---------------------------------------------------------------

void Target::RecordSample()
{
  const TimePoint now = Clock::now();
  m_samples.push_back(
    { now, m_slots.Busy(), m_slots.Waiting(), m_times.IsSlow(now) });
  // Keeps the latest sample that is at least m_reportLag old, which is the one
  // to report, and all newer ones.
  while (m_samples.size() > 1 &&
         m_samples[1].m_time <= now - m_settings.m_reportLag) {
    m_samples.pop_front();
  }
}

Target::LoadSample Target::ReportedSample() const
{
  const TimePoint limit = Clock::now() - m_settings.m_reportLag;
  LoadSample reported = m_samples.front();
  for (const LoadSample& sample : m_samples) {
    if (sample.m_time <= limit) {
      reported = sample;
    }
  }
  return reported;
}

net::HttpResponse Target::HealthResponse()
{
  bool healthy = !m_draining && !ReportedSample().m_slow;
  if (m_settings.m_healthMode == ReportMode::AlwaysGood) {
    healthy = true;
  } else if (m_settings.m_healthMode == ReportMode::Random) {
    healthy = m_reportRandom() % 2 == 0;
  }
  const nlohmann::json body{ { "healthy", healthy } };
  return { healthy ? 200 : kServiceUnavailable, {}, DumpJson(body) + "\n" };
}

net::HttpResponse Target::LoadResponse()
{
  LoadSample sample = ReportedSample();
  if (m_settings.m_loadMode == ReportMode::AlwaysGood) {
    sample = {};
  } else if (m_settings.m_loadMode == ReportMode::Random) {
    sample.m_busy = static_cast<int>(
      m_reportRandom() % static_cast<uint64_t>(m_settings.m_slots + 1));
    sample.m_waiting = static_cast<int>(m_reportRandom() % 100);
  }
  const nlohmann::json body{ { "slots", m_settings.m_slots },
                             { "busy", sample.m_busy },
                             { "waiting", sample.m_waiting } };
  return { 200, {}, DumpJson(body) + "\n" };
}

} // namespace wigeonfold::target
