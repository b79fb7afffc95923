// Asynchronous HTTP/1.1 client with a bounded pool of kept-alive connections.
#pragma once

#include "wigeonfold/net/Http.h"

#include <functional>
#include <memory>
#include <optional>

namespace wigeonfold::net {

// Result of a call: a response, or an error. On an error, m_sent tells whether
// the server may have received part of the request.
struct HttpOutcome
{
  std::optional<HttpResponse> m_response;
  bool m_sent = false;
  Error m_error;
};

using HttpOnOutcome = std::function<void(HttpOutcome)>;

// Sends requests to one address, one at a time per connection, without
// pipelining. When all connections are busy, further calls wait in order. A
// call is never retried. All methods and callbacks run on the thread of the
// io_context. Destroying the pool cancels its calls without calling back.
class HttpPool
{
public:
  virtual ~HttpPool() = default;

  // aTimeout runs from this call and includes the wait for a connection.
  virtual void Call(HttpRequest aRequest,
                    Duration aTimeout,
                    HttpOnOutcome aOnOutcome) = 0;

  virtual size_t Waiting() const = 0;
  virtual size_t Connections() const = 0;
};

std::unique_ptr<HttpPool> MakeHttpPool(boost::asio::io_context& aIo,
                                       const SocketAddress& aAddress,
                                       size_t aMaxConnections);

} // namespace wigeonfold::net
