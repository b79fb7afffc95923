#include "wigeonfold/forwarding/NativeDialect.h"
#include "wigeonfold/base/Text.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace wigeonfold::forwarding {

namespace {

constexpr int kRetryAfterSeconds = 1;
// Longer deadlines are clamped, so that time arithmetic can't overflow.
constexpr int64_t kMaxDeadlineMs = 3'600'000;

// Request ids are for logs; longer ones are truncated.
constexpr size_t kMaxIdBytes = 64;
constexpr int kShedStatus = 503;

// Whole seconds, rounded up. Only a quota names a time: other refusals may end
// at any moment.
int RetryAfterOf(const LocalReply& aReply)
{
  return aReply.m_outcome == Outcome::OverQuota
           ? std::max(static_cast<int>(std::chrono::ceil<std::chrono::seconds>(
                                         aReply.m_retryAfter)
                                         .count()),
                      kRetryAfterSeconds)
           : kRetryAfterSeconds;
}

// Values of the Wigeonfold fields of a request.
struct Metadata
{
  std::string m_account;
  std::optional<int64_t> m_deadlineMs;
  int64_t m_depth = 0;
  std::optional<bool> m_idempotent;
  std::string m_requestId;
};

// Returns false when a field is malformed.
bool ReadMetadata(const std::vector<net::HttpField>& aFields, Metadata& aData)
{
  for (const net::HttpField& field : aFields) {
    if (!boost::istarts_with(field.m_name, "wigeonfold-")) {
      continue;
    }
    if (boost::iequals(field.m_name, kRequestIdHeader)) {
      aData.m_requestId = TruncateUtf8(field.m_value, kMaxIdBytes);
    } else if (boost::iequals(field.m_name, kAccountHeader)) {
      aData.m_account = field.m_value;
    } else if (boost::iequals(field.m_name, kDeadlineHeader)) {
      aData.m_deadlineMs = ParseNumber(field.m_value);
      if (!aData.m_deadlineMs) {
        return false;
      }
    } else if (boost::iequals(field.m_name, kDepthHeader)) {
      const auto depth = ParseNumber(field.m_value);
      if (!depth) {
        return false;
      }
      aData.m_depth = *depth;
    } else if (boost::iequals(field.m_name, kIdempotentHeader)) {
      aData.m_idempotent = field.m_value == "yes";
      if (field.m_value != "yes" && field.m_value != "no") {
        return false;
      }
    }
  }
  return true;
}

// True for fields that the target's node sets itself.
bool IsRewritten(const std::string& aName)
{
  return boost::iequals(aName, kAccountHeader) ||
         boost::iequals(aName, kDeadlineHeader) ||
         boost::iequals(aName, kDepthHeader);
}

void MoveFields(std::vector<net::HttpField>& aFrom,
                std::vector<wire::HeaderField>& aTo)
{
  aTo.reserve(aFrom.size());
  for (net::HttpField& field : aFrom) {
    if (!IsRewritten(field.m_name)) {
      wire::HeaderField& added = aTo.emplace_back();
      added.name = std::move(field.m_name);
      added.value = std::move(field.m_value);
    }
  }
  StripHopByHop(aTo);
}

bool IsIdempotent(const Metadata& aData,
                  const std::string& aMethod,
                  const routing::ServiceRoute& aRoute)
{
  if (aData.m_idempotent) {
    return *aData.m_idempotent;
  }
  const auto& methods = aRoute.m_idempotentMethods;
  return std::find(methods.begin(), methods.end(), aMethod) != methods.end();
}

class NativeDialect : public Dialect
{
public:
  explicit NativeDialect(uint64_t aSeed)
    : m_idPrefix(std::to_string(aSeed) + "-")
  {
  }

  std::optional<Outcome> ParseCall(net::HttpRequest&& aRequest,
                                   const routing::View& aView,
                                   const CallerInfo& aCaller,
                                   TimePoint aNow,
                                   ParsedCall& aCall) override;
  net::HttpResponse TargetAnswer(Outcome aOutcome,
                                 wire::CallResponse&& aResponse,
                                 const std::string& aTarget) const override;
  net::HttpResponse LocalAnswer(const LocalReply& aReply) const override;
  std::vector<net::HttpField> RejectFields() const override;
  std::vector<wire::HeaderField> TargetFields(
    const wire::CallRequest& aRequest,
    Duration aLeft,
    const std::string& aInstance) const override;
  bool IsShed(int aStatus,
              const std::vector<wire::HeaderField>& aFields) const override;
  TargetNotice ReadNotice(
    int aStatus,
    const std::vector<wire::HeaderField>& aFields) const override;
  AnswerOrigin OriginOf(
    const wire::CallRequest& aRequest,
    const std::vector<wire::HeaderField>& aFields) const override
  {
    return CompareIds(aRequest.headers, aFields, kRequestIdHeader);
  }

private:
  const std::string m_idPrefix;
  uint64_t m_lastId = 0;
};

std::optional<Outcome> NativeDialect::ParseCall(net::HttpRequest&& aRequest,
                                                const routing::View& aView,
                                                const CallerInfo&,
                                                TimePoint aNow,
                                                ParsedCall& aCall)
{
  Metadata data;
  if (aRequest.m_target.empty() || aRequest.m_target.front() != '/' ||
      !ReadMetadata(aRequest.m_fields, data)) {
    return Outcome::Malformed;
  }
  if (data.m_depth > kMaxDepth) {
    return Outcome::DepthExceeded;
  }
  aCall.m_route = aView.Match(aRequest.m_target);
  if (aCall.m_route == nullptr) {
    return Outcome::NoRoute;
  }
  aCall.m_maxAttempts = aCall.m_route->m_maxAttempts;
  aCall.m_hedgePercent = aView.DefaultHedgePercent();
  aCall.m_deadline = aNow + aCall.m_route->m_requestTimeout;
  if (data.m_deadlineMs) {
    aCall.m_deadline = aNow + std::chrono::milliseconds(
                                std::min(*data.m_deadlineMs, kMaxDeadlineMs));
  }
  aCall.m_request = std::make_shared<wire::CallRequest>();
  wire::CallRequest& request = *aCall.m_request;
  request.serviceName = aCall.m_route->m_name;
  request.office = std::move(data.m_account);
  request.depth = static_cast<int32_t>(data.m_depth);
  request.requestId = std::move(data.m_requestId);
  request.idempotent = IsIdempotent(data, aRequest.m_method, *aCall.m_route);
  request.method = std::move(aRequest.m_method);
  request.path = std::move(aRequest.m_target);
  request.body = std::move(aRequest.m_body);
  MoveFields(aRequest.m_fields, request.headers);
  if (request.requestId.empty()) {
    request.requestId = m_idPrefix + std::to_string(++m_lastId);
    request.headers.push_back(MakeField(kRequestIdHeader, request.requestId));
  }
  return std::nullopt;
}

net::HttpResponse NativeDialect::TargetAnswer(Outcome aOutcome,
                                              wire::CallResponse&& aResponse,
                                              const std::string& aTarget) const
{
  net::HttpResponse answer;
  answer.m_status = aResponse.status;
  answer.m_body = std::move(aResponse.body);
  answer.m_fields.reserve(aResponse.headers.size() + 2);
  for (wire::HeaderField& field : aResponse.headers) {
    if (!boost::iequals(field.name, kRunHeader) &&
        !boost::iequals(field.name, kTargetHeader)) {
      answer.m_fields.push_back(
        { std::move(field.name), std::move(field.value) });
    }
  }
  answer.m_fields.push_back(
    { kRunHeader, forwarding::RunStateText(InfoOf(aOutcome).m_runState) });
  answer.m_fields.push_back({ kTargetHeader, aTarget });
  return answer;
}

net::HttpResponse NativeDialect::LocalAnswer(const LocalReply& aReply) const
{
  const forwarding::OutcomeInfo& info = InfoOf(aReply.m_outcome);
  net::HttpResponse answer;
  answer.m_status = info.m_status;
  answer.m_fields = { { kRunHeader, forwarding::RunStateText(info.m_runState) },
                      { kTargetHeader, aReply.m_target },
                      { kReasonHeader, info.m_reason },
                      { "Content-Type", "text/plain" } };
  if (info.m_hasRetryAfter) {
    answer.m_fields.push_back(
      { "Retry-After", std::to_string(RetryAfterOf(aReply)) });
  }
  answer.m_body = std::string(info.m_reason) + "\n";
  return answer;
}

std::vector<net::HttpField> NativeDialect::RejectFields() const
{
  return { { kRunHeader, forwarding::RunStateText(wire::RunState::NotRun) },
           { kTargetHeader, kNoTarget } };
}

std::vector<wire::HeaderField> NativeDialect::TargetFields(
  const wire::CallRequest& aRequest,
  Duration aLeft,
  const std::string&) const
{
  const int64_t left = std::max<int64_t>(1, ToMilliseconds(aLeft));
  std::vector<wire::HeaderField> fields;
  fields.push_back(MakeField(kDeadlineHeader, std::to_string(left)));
  fields.push_back(MakeField(kDepthHeader, std::to_string(aRequest.depth)));
  if (!aRequest.office.empty()) {
    fields.push_back(MakeField(kAccountHeader, aRequest.office));
  }
  return fields;
}

bool NativeDialect::IsShed(int aStatus,
                           const std::vector<wire::HeaderField>& aFields) const
{
  const std::string* run = FindField(aFields, kRunHeader);
  return aStatus == kShedStatus && run != nullptr && *run == "not-run";
}

TargetNotice NativeDialect::ReadNotice(
  int,
  const std::vector<wire::HeaderField>& aFields) const
{
  TargetNotice notice;
  const std::string* leaving = FindField(aFields, kLeavingHeader);
  notice.m_leaving = leaving != nullptr && *leaving == "yes";
  ReadRequestLimit(aFields, kLimitHeader, notice);
  return notice;
}

} // namespace

std::unique_ptr<Dialect> MakeNativeDialect(uint64_t aSeed)
{
  return std::make_unique<NativeDialect>(aSeed);
}

} // namespace wigeonfold::forwarding
