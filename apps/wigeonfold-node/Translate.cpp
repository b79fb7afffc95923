#include "Translate.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace wigeonfold::node {

using forwarding::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr int kRetryAfterSeconds = 1;
// Longer deadlines are cut; the bound keeps time arithmetic in range.
constexpr int64_t kMaxDeadlineMs = 3'600'000;

constexpr std::array kHopByHop{
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "proxy-authenticate",
  "proxy-authorization",
};

bool IsOneOf(const std::string& aName, const std::vector<std::string>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&aName](const std::string& aOther) {
      return boost::iequals(aName, aOther);
    });
}

bool IsHopByHop(const std::string& aName)
{
  return std::any_of(
    kHopByHop.begin(), kHopByHop.end(), [&aName](const char* aOther) {
      return boost::iequals(aName, aOther);
    });
}

// Names listed in Connection fields.
std::vector<std::string> ConnectionNames(
  const std::vector<wire::HeaderField>& aFields)
{
  std::vector<std::string> names;
  for (const wire::HeaderField& field : aFields) {
    if (boost::iequals(field.name, "connection")) {
      std::vector<std::string> part;
      boost::split(part, field.value, boost::is_any_of(","));
      for (std::string& name : part) {
        boost::trim(name);
        names.push_back(std::move(name));
      }
    }
  }
  return names;
}

// Whole number from 0; nothing when the text is anything else.
std::optional<int64_t> ParseNumber(const std::string& aText)
{
  int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

// The Wigeonfold fields of a request.
struct Metadata
{
  std::string m_account;
  std::optional<int64_t> m_deadlineMs;
  int64_t m_depth = 0;
  std::optional<bool> m_idempotent;
};

// Returns false when a field is malformed.
bool ReadMetadata(const std::vector<net::HttpField>& aFields, Metadata& aData)
{
  for (const net::HttpField& field : aFields) {
    if (!boost::istarts_with(field.m_name, "wigeonfold-")) {
      continue;
    }
    if (boost::iequals(field.m_name, kAccountHeader)) {
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

// Fields that the target's node writes anew.
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

} // namespace

void StripHopByHop(std::vector<wire::HeaderField>& aFields, bool aKeepLength)
{
  const std::vector<std::string> named = ConnectionNames(aFields);
  const auto end = std::remove_if(
    aFields.begin(), aFields.end(), [&](const wire::HeaderField& aField) {
      const bool kept =
        aKeepLength && boost::iequals(aField.name, "content-length");
      return !kept && (IsHopByHop(aField.name) || IsOneOf(aField.name, named));
    });
  aFields.erase(end, aFields.end());
}

std::optional<Outcome> ParseCall(net::HttpRequest&& aRequest,
                                 const routing::View& aView,
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
  request.idempotent = IsIdempotent(data, aRequest.m_method, *aCall.m_route);
  request.method = std::move(aRequest.m_method);
  request.path = std::move(aRequest.m_target);
  request.body = std::move(aRequest.m_body);
  MoveFields(aRequest.m_fields, request.headers);
  return std::nullopt;
}

net::HttpResponse TargetAnswer(Outcome aOutcome,
                               wire::CallResponse&& aResponse,
                               const std::string& aTarget)
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
    { kRunHeader, forwarding::RunText(InfoOf(aOutcome).m_run) });
  answer.m_fields.push_back({ kTargetHeader, aTarget });
  return answer;
}

net::HttpResponse OwnAnswer(Outcome aOutcome, const std::string& aTarget)
{
  const forwarding::OutcomeInfo& info = InfoOf(aOutcome);
  net::HttpResponse answer;
  answer.m_status = info.m_status;
  answer.m_fields = { { kRunHeader, forwarding::RunText(info.m_run) },
                      { kTargetHeader, aTarget },
                      { kReasonHeader, info.m_reason },
                      { "Content-Type", "text/plain" } };
  if (info.m_retryAfter) {
    answer.m_fields.push_back(
      { "Retry-After", std::to_string(kRetryAfterSeconds) });
  }
  answer.m_body = std::string(info.m_reason) + "\n";
  return answer;
}

std::vector<net::HttpField> RejectFields()
{
  return { { kRunHeader, forwarding::RunText(wire::RunState::NotRun) },
           { kTargetHeader, kNoTarget } };
}

} // namespace wigeonfold::node
