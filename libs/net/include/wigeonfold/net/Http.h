// HTTP/1.1 server and client without Beast in the interface.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"

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
  std::string m_peer; // server: IP number of the sender
};

struct HttpResponse
{
  int m_status = 200;
  std::vector<HttpField> m_fields;
  std::string m_body;
};

// Largest body that is sent or taken.
inline constexpr size_t kMaxBodyBytes = size_t{ 1 } << 20;

// Answers a request; call exactly once, on the thread of the io_context. A
// call after the client went away does nothing.
using HttpRespond = std::function<void(HttpResponse)>;
// Registers a function that is called when the client goes away before the
// answer; use it to cancel work.
using HttpOnAbandon = std::function<void(std::function<void()>)>;
using HttpHandler =
  std::function<void(HttpRequest, HttpRespond, const HttpOnAbandon&)>;

// What callers may send, and how long they may take. Times are checked each
// second, so that they may be exceeded by as much.
struct CallerLimits
{
  size_t m_headBytes = size_t{ 16 } << 10;           // else 431
  size_t m_bodyBytes = kMaxBodyBytes;                // else 413
  Duration m_headTimeout = std::chrono::seconds(10); // else 408
  Duration m_idleTimeout = std::chrono::minutes(5);  // else closed
};

// Serves HTTP/1.1 with keep-alive and pipelining, one request of a connection
// at a time. All methods and handlers run on the thread of the io_context.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  // Graceful shutdown. For aLinger connections are still accepted and idle ones
  // stay open; each answer carries "Connection: close". Then the listening
  // socket and idle connections are closed. aDone is called when the last
  // connection is gone; a request that has begun to arrive is answered.
  virtual void Drain(Duration aLinger, std::function<void()> aDone) = 0;
  // Closes everything at once.
  virtual void Close() = 0;
  // Takes effect with the next request of each connection.
  virtual void SetCallerLimits(const CallerLimits& aLimits) = 0;

  virtual uint16_t Port() const = 0;
  virtual size_t Connections() const = 0;
};

// Bounds of a server; those on connections are for one that stands for a
// limited target.
struct HttpLimits
{
  size_t m_connections = 0; // further ones are closed at once; 0: no limit
  Duration m_connectionCost = Duration::zero(); // delay before the first read
  CallerLimits m_caller;
};

// Fails with Io when the address can't be bound. aRejectFields are added to
// the answers the server gives by itself (400, 408, 413, 431).
Result<std::unique_ptr<HttpServer>> ServeHttp(
  boost::asio::io_context& aIo,
  const SocketAddress& aAddress,
  HttpHandler aHandler,
  std::vector<HttpField> aRejectFields = {},
  HttpLimits aLimits = {});

// Sends one request on a connection of its own and waits for the answer.
// Blocks; for command line tools. Thread safe.
Result<HttpResponse> HttpCall(const SocketAddress& aAddress,
                              const HttpRequest& aRequest,
                              Duration aTimeout);

} // namespace wigeonfold::net
