// Requests of the client to the control VMs.
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

// What the client needs from the outside; tests replace it.
struct Environment
{
  std::function<Result<net::HttpResponse>(const SocketAddress&,
                                          const net::HttpRequest&,
                                          Duration)>
    m_call;
  std::function<TimePoint()> m_now;
  std::function<void(Duration)> m_sleep;
  std::function<std::string()> m_drawId;
  uint64_t m_seed = 0; // of the backoff
};

struct Answer
{
  int m_status = 0;
  Json m_json;
};

// Text of the "error" field of an answer, or of its problems.
std::string ProblemOf(const Answer& aAnswer);

// Sends requests until one control VM gives a final answer. All requests of
// the operators' API can be sent again, so a lost answer is no error by itself.
// Not thread safe.
class ControlClient
{
public:
  ControlClient(const Environment& aEnvironment,
                std::vector<SocketAddress> aControl,
                Duration aTimeout);

  // Tries all control VMs in turn and follows 307 until an answer is other
  // than 307 and 503. Fails with Unavailable when none was reached, with
  // Timeout when one may have received the request but no final answer came.
  Result<Answer> Send(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = "");

  // One attempt at one control VM.
  Result<Answer> Ask(const SocketAddress& aAddress, const std::string& aTarget);

private:
  Result<net::HttpResponse> Call(const SocketAddress& aAddress,
                                 const net::HttpRequest& aRequest,
                                 Duration aLeft);
  SocketAddress Next();

  Environment m_environment;
  std::vector<SocketAddress> m_control;
  Duration m_timeout;
  Backoff m_backoff;
  size_t m_next = 0;
};

} // namespace wigeonfold::client
