// Blocking HTTP client; the server is in Http.cpp.
#include "ClientExchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

Result<HttpResponse> HttpCall(const SocketAddress& aAddress,
                              const HttpRequest& aRequest,
                              Duration aTimeout)
{
  const std::string peer = ToString(aAddress);
  boost::system::error_code invalid;
  const auto address = asio::ip::make_address(aAddress.m_host, invalid);
  if (invalid) {
    return Error{
      ErrorCode::InvalidArgument, "connect", peer, "host is not an IP address"
    };
  }
  // The call runs its steps on an io_context of its own.
  asio::io_context io;
  beast::tcp_stream stream(io);
  ClientExchange exchange(stream, peer);
  std::optional<Error> failure;
  stream.expires_after(aTimeout);
  stream.async_connect(
    tcp::endpoint(address, aAddress.m_port), [&](beast::error_code aCode) {
      if (!aCode) {
        exchange.Run(
          aRequest, false, nullptr, [&failure](std::optional<Error> aError) {
            failure = std::move(aError);
          });
        return;
      }
      failure = Error{ aCode == beast::error::timeout ? ErrorCode::Timeout
                                                      : ErrorCode::Unavailable,
                       "connect",
                       peer,
                       aCode.message() };
    });
  io.run();
  if (failure) {
    return *failure;
  }
  return exchange.TakeAnswer();
}

} // namespace wigeonfold::net
