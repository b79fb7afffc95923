// HTTP/1.1 server and blocking client, without Beast in the interface.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/net/ByteBudget.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace wigeonfold::net {

struct HttpField
{
  std::string m_name;
  std::string m_value;
};

// Value of the first field of that name (case-insensitive), or nullptr.
const std::string* FindField(const std::vector<HttpField>& aFields,
                             const std::string& aName);

struct HttpRequest
{
  std::string m_method;
  std::string m_target; // path with query
  std::vector<HttpField> m_fields;
  std::string m_body;
  std::string m_peer; // IP address of the client; set by the server
};

struct HttpResponse
{
  int m_status = 200;
  std::vector<HttpField> m_fields;
  std::string m_body;
};

// Upper limit for the body of a request, and of a target's response.
inline constexpr size_t kMaxBodyBytes = size_t{ 1 } << 20;

// Answers a request; call exactly once, on the thread of the io_context. Does
// nothing when the client has disconnected.
using HttpRespond = std::function<void(HttpResponse)>;
// Registers a function that is called when the connection closes before the
// request is answered; use it to cancel work. Replaces an earlier one.
using HttpOnAbandon = std::function<void(std::function<void()>)>;
using HttpHandler =
  std::function<void(HttpRequest, HttpRespond, const HttpOnAbandon&)>;

// Limits on the requests of a client. The times are checked once a second, so
// they may be exceeded by up to a second.
struct CallerLimits
{
  size_t m_headBytes = size_t{ 16 } << 10;           // status 431 above it
  size_t m_bodyBytes = kMaxBodyBytes;                // status 413 above it
  Duration m_headTimeout = std::chrono::seconds(10); // then status 408
  Duration m_idleTimeout = std::chrono::minutes(5);  // then closed
  // From the first byte of a request to its last one; then status 408.
  Duration m_requestTimeout = Duration::max();
  // For an answer that the client doesn't read; then closed.
  Duration m_writeTimeout = Duration::max();
};

// Serves HTTP/1.1 with keep-alive and pipelining. Up to 16 GET and HEAD
// requests of a connection are handled at the same time; any other request is
// handled alone. Answers leave in the order of the requests. All methods and
// handlers run on the thread of the io_context.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  // Graceful shutdown. During aLinger, connections are still accepted and idle
  // ones stay open. The answer to the last request that was read from a
  // connection carries "Connection: close". Then the listening
  // socket and idle connections are closed. A request that has begun to arrive
  // is answered if the rest arrives within 200 ms. aDone is called when the
  // last connection is closed.
  virtual void Drain(Duration aLinger, std::function<void()> aDone) = 0;
  // Closes the listening socket and all connections at once.
  virtual void Close() = 0;
  // Takes effect with the next request of each connection.
  virtual void SetCallerLimits(const CallerLimits& aLimits) = 0;

  virtual uint16_t Port() const = 0;
  virtual size_t Connections() const = 0;
};

// Limits of a server. The first two simulate a target of limited capacity.
// Requests and answers beyond 4 KiB count for the budgets, which may be shared
// with other servers of the io_context: a request that finds its one exhausted
// is answered with 503 at once, and an answer is replaced by 503, so an answer
// budget suits only a server whose requests may be repeated. Behind other
// requests of a connection, bytes that might exceed the budget are not read
// yet. Without an answer budget, answers that wait for an earlier one count for
// the request budget; only requests that may be repeated have such answers.
struct HttpLimits
{
  size_t m_connections = 0; // further ones are closed at once; 0: no limit
  Duration m_connectionCost = Duration::zero(); // delay before the first read
  CallerLimits m_caller;
  std::shared_ptr<ByteBudget> m_requestBudget; // null: no limit
  std::shared_ptr<ByteBudget> m_answerBudget;  // null: no limit
};

// Reports a handler that threw; for the log.
using HttpOnFailure = std::function<void(const Error&)>;

// Fails with Io when the address can't be bound. aRejectFields are added to
// the answers the server gives by itself (400, 408, 413, 431, 501). A request
// whose handler throws is answered with 500, without them, since it may have
// had an effect, and aOnFailure is called.
Result<std::unique_ptr<HttpServer>> ServeHttp(
  boost::asio::io_context& aIo,
  const SocketAddress& aAddress,
  HttpHandler aHandler,
  std::vector<HttpField> aRejectFields = {},
  HttpLimits aLimits = {},
  HttpOnFailure aOnFailure = {});

// Sends one request on a new connection and blocks until it is answered; for
// command line tools. Fails with InvalidArgument when the host is not an IP
// address, with Protocol when the answer is broken, with Timeout or with
// Unavailable. Thread safe.
Result<HttpResponse> HttpCall(const SocketAddress& aAddress,
                              const HttpRequest& aRequest,
                              Duration aTimeout);

} // namespace wigeonfold::net
