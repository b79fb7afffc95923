// Sends the client's requests to the control VMs.
#pragma once

#include "wigeonfold/base/Backoff.h"
#include "wigeonfold/base/Error.h"
#include "wigeonfold/net/Http.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wigeonfold::client {

using Json = nlohmann::ordered_json;

// Network, clock and random ids; tests substitute them.
struct Environment
{
  std::function<Result<net::HttpResponse>(const SocketAddress&,
                                          const net::HttpRequest&,
                                          Duration)>
    m_httpCall;
  std::function<TimePoint()> m_now;
  std::function<void(Duration)> m_sleep;
  std::function<std::string()> m_makeChangeId;
  uint64_t m_seed = 0; // for the jitter of the backoff
};

// Status and JSON object of an HTTP response.
struct Answer
{
  int m_status = 0;
  Json m_json;
};

// Message of a failed request: the answer's "problems", one a line, otherwise
// its "error", otherwise its status.
std::string ErrorText(const Answer& aAnswer);

// Sends requests until one control VM gives a final answer. All requests of the
// operators' API are idempotent, so one whose answer was lost is sent again.
// Not thread safe.
class ControlClient
{
public:
  ControlClient(const Environment& aEnvironment,
                std::vector<SocketAddress> aAddresses,
                Duration aTimeout);

  // Tries the control VMs in turn and follows redirects until one answers with
  // a status other than 307 and 503. Fails after the time limit: with
  // Unavailable when no control VM can have received the request, otherwise
  // with Timeout. Fails with Protocol when the answer is not a JSON object.
  Result<Answer> Send(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = "");

  // Sends a GET to one process, without retries and redirects. Fails with the
  // error of the call, and with Protocol when the answer is not a JSON object.
  Result<Answer> GetOnce(const SocketAddress& aAddress,
                         const std::string& aTarget);

private:
  Result<net::HttpResponse> SendOnce(const SocketAddress& aAddress,
                                     const net::HttpRequest& aRequest,
                                     Duration aLeft);
  SocketAddress NextAddress();

  Environment m_environment;
  std::vector<SocketAddress> m_addresses;
  Duration m_timeout;
  Backoff m_backoff;
  size_t m_nextAddress = 0;
};

} // namespace wigeonfold::client
