// Blocking HTTP client; the server is in Http.cpp.
#include "wigeonfold/net/Http.h"

#include "wigeonfold/net/SocketIo.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// State of one blocking call, which runs its steps on its own io_context.
struct ClientCall
{
  asio::io_context m_io;
  beast::tcp_stream m_stream{ m_io };
  beast::flat_buffer m_buffer{ kMaxClientBufferBytes };
  http::request<http::string_body> m_request;
  http::response_parser<http::string_body> m_parser;
  std::string m_step = "connect";
  beast::error_code m_code;
};

void RunCall(ClientCall& aCall, const tcp::endpoint& aEndpoint)
{
  aCall.m_stream.async_connect(aEndpoint, [&aCall](beast::error_code aCode) {
    aCall.m_code = aCode;
    if (aCode) {
      return;
    }
    aCall.m_step = "send request";
    http::async_write(aCall.m_stream,
                      aCall.m_request,
                      [&aCall](beast::error_code aWriteCode, size_t) {
                        aCall.m_code = aWriteCode;
                        if (aWriteCode) {
                          return;
                        }
                        aCall.m_step = "read answer";
                        http::async_read(
                          aCall.m_stream,
                          aCall.m_buffer,
                          aCall.m_parser,
                          [&aCall](beast::error_code aReadCode, size_t) {
                            aCall.m_code = aReadCode;
                          });
                      });
  });
  aCall.m_io.run();
}

} // namespace

Result<HttpResponse> HttpCall(const SocketAddress& aAddress,
                              const HttpRequest& aRequest,
                              Duration aTimeout)
{
  ClientCall call;
  call.m_request.method_string(aRequest.m_method);
  call.m_request.target(aRequest.m_target);
  call.m_request.version(11);
  call.m_request.set(http::field::host, ToString(aAddress));
  for (const HttpField& field : aRequest.m_fields) {
    call.m_request.set(field.m_name, field.m_value);
  }
  call.m_request.body() = aRequest.m_body;
  call.m_request.prepare_payload();
  call.m_request.keep_alive(false);
  // Answers of the control API, such as a whole tree, may be larger than the
  // limit for request bodies.
  call.m_parser.body_limit(wigeonfold::net::kMaxBodyBytes * 64);
  call.m_stream.expires_after(aTimeout);

  boost::system::error_code code;
  const auto address = asio::ip::make_address(aAddress.m_host, code);
  if (code) {
    return Error{ ErrorCode::InvalidArgument,
                  "connect",
                  ToString(aAddress),
                  "host is not an IP address" };
  }
  RunCall(call, tcp::endpoint(address, aAddress.m_port));
  if (call.m_code) {
    const bool timeout = call.m_code == beast::error::timeout;
    return Error{ timeout ? ErrorCode::Timeout : ErrorCode::Unavailable,
                  call.m_step,
                  ToString(aAddress),
                  call.m_code.message() };
  }
  auto answer = call.m_parser.release();
  HttpResponse response;
  response.m_status = static_cast<int>(answer.result_int());
  for (const auto& field : answer) {
    response.m_fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  response.m_body = std::move(answer.body());
  return response;
}

} // namespace wigeonfold::net
