#include "ControlClient.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <optional>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

// Limit for one control VM, so that one that hangs leaves time for the others.
// Longer than a change of leader, which takes up to 2 s.
constexpr Duration kAttemptTimeout = 3s;
// Short, because status and timeline ask every control VM one after another.
constexpr Duration kGetOnceTimeout = 1s;
constexpr Duration kBackoffBase = 50ms;
constexpr Duration kBackoffMax = 1s;
// Redirects followed in a row before the next control VM is tried: during a
// change of leader two control VMs may redirect to each other.
constexpr int kMaxRedirects = 3;

net::HttpRequest MakeRequest(const std::string& aMethod,
                             const std::string& aTarget,
                             const std::string& aBody)
{
  net::HttpRequest request;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_body = aBody;
  if (!aBody.empty()) {
    request.m_fields.push_back({ "Content-Type", "application/json" });
  }
  return request;
}

// Address in a Location header of the form http://ADDRESS/...
std::optional<SocketAddress> ParseLocation(const net::HttpResponse& aResponse)
{
  const std::string* location = net::FindField(aResponse.m_fields, "Location");
  const std::string scheme = "http://";
  if (location == nullptr || !boost::starts_with(*location, scheme)) {
    return std::nullopt;
  }
  const size_t end = location->find('/', scheme.size());
  const auto address =
    ParseSocketAddress(location->substr(scheme.size(), end - scheme.size()));
  return address ? std::optional(address.value()) : std::nullopt;
}

Result<Answer> ToAnswer(const SocketAddress& aAddress,
                        const net::HttpResponse& aResponse)
{
  Answer answer{ aResponse.m_status,
                 Json::parse(aResponse.m_body, nullptr, false) };
  if (!answer.m_json.is_object()) {
    return Error{ ErrorCode::Protocol,
                  "read answer",
                  ToString(aAddress),
                  "status " + std::to_string(aResponse.m_status) +
                    " without a JSON object" };
  }
  return answer;
}

} // namespace

std::string ErrorText(const Answer& aAnswer)
{
  if (aAnswer.m_json.contains("problems")) {
    std::string lines;
    for (const Json& problem : aAnswer.m_json["problems"]) {
      lines += (lines.empty() ? "" : "\n") +
               (problem.is_string() ? problem.get<std::string>() : "");
    }
    return lines;
  }
  const std::string status = "status " + std::to_string(aAnswer.m_status);
  const auto error = aAnswer.m_json.find("error");
  return error != aAnswer.m_json.end() && error->is_string()
           ? error->get<std::string>()
           : status;
}

ControlClient::ControlClient(const Environment& aEnvironment,
                             std::vector<SocketAddress> aAddresses,
                             Duration aTimeout)
  : m_environment(aEnvironment)
  , m_addresses(std::move(aAddresses))
  , m_timeout(aTimeout)
  , m_backoff(kBackoffBase, kBackoffMax, aEnvironment.m_seed)
{
}

SocketAddress ControlClient::NextAddress()
{
  return m_addresses[m_nextAddress++ % m_addresses.size()];
}

Result<net::HttpResponse> ControlClient::SendOnce(
  const SocketAddress& aAddress,
  const net::HttpRequest& aRequest,
  Duration aLeft)
{
  return m_environment.m_httpCall(
    aAddress, aRequest, std::min(aLeft, kAttemptTimeout));
}

Result<Answer> ControlClient::GetOnce(const SocketAddress& aAddress,
                                      const std::string& aTarget)
{
  const auto response = m_environment.m_httpCall(
    aAddress, MakeRequest("GET", aTarget, ""), kGetOnceTimeout);
  if (!response) {
    return response.error();
  }
  return ToAnswer(aAddress, response.value());
}

Result<Answer> ControlClient::Send(const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody)
{
  const TimePoint deadline = m_environment.m_now() + m_timeout;
  const net::HttpRequest request = MakeRequest(aMethod, aTarget, aBody);
  bool maybeReceived = false;
  std::string lastFailure;
  size_t attempts = 0;
  int redirects = 0;
  SocketAddress address = NextAddress();
  m_backoff.Reset();
  while (m_environment.m_now() < deadline) {
    const auto response =
      SendOnce(address, request, deadline - m_environment.m_now());
    if (response && response.value().m_status == 307) {
      const auto leader = ParseLocation(response.value());
      if (leader && redirects++ < kMaxRedirects) {
        address = *leader;
        continue;
      }
      lastFailure =
        ToString(address) + ": too many redirects or no valid Location";
    } else if (response && response.value().m_status != 503) {
      return ToAnswer(address, response.value());
    } else if (response) {
      const auto answer = ToAnswer(address, response.value());
      maybeReceived = true;
      lastFailure = ToString(address) + ": " +
                    (answer ? ErrorText(answer.value()) : "status 503");
    } else {
      maybeReceived = maybeReceived || response.error().m_step != "connect";
      lastFailure = response.error().ToString();
    }
    redirects = 0;
    address = NextAddress();
    // Every control VM gets one attempt before the first pause.
    if (++attempts >= m_addresses.size()) {
      m_environment.m_sleep(m_backoff.Next());
    }
  }
  return Error{ maybeReceived ? ErrorCode::Timeout : ErrorCode::Unavailable,
                aMethod + " " + aTarget,
                "",
                "no final answer; last failure: " + lastFailure };
}

} // namespace wigeonfold::client
