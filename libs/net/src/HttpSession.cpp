#include "HttpSession.h"

#include "wigeonfold/net/SocketIo.h"

#include <utility>

#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// After this time other clients have finished or were closed, as a rule.
constexpr const char* kRetryAfterSeconds = "1";
// Bytes of a connection that count for no budget, so that small requests are
// served while the budget is exhausted.
constexpr size_t kFreeBytes = size_t{ 4 } << 10;

using ParsedRequest = http::request<http::string_body>;

HttpRequest FromBeast(ParsedRequest&& aRequest)
{
  HttpRequest request;
  request.m_method = std::string(aRequest.method_string());
  request.m_target = std::string(aRequest.target());
  for (const auto& field : aRequest) {
    request.m_fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(aRequest.body());
  return request;
}

// Checks the head of a parsed request and returns the status to reject it with;
// nothing when it is valid. A request whose length or host is ambiguous must
// not be passed on (RFC 9112, 3.2 and 6.1).
std::optional<http::status> HeadProblem(const ParsedRequest& aRequest)
{
  const size_t hosts = aRequest.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && aRequest.version() >= 11)) {
    return http::status::bad_request;
  }
  if (aRequest.count(http::field::transfer_encoding) == 0) {
    return std::nullopt;
  }
  if (aRequest.count(http::field::content_length) > 0) {
    return http::status::bad_request;
  }
  const bool chunkedOnly =
    aRequest.count(http::field::transfer_encoding) == 1 &&
    boost::iequals(aRequest[http::field::transfer_encoding], "chunked");
  return chunkedOnly ? std::nullopt
                     : std::optional(http::status::not_implemented);
}

// The server writes these fields itself, so those of the handler are left out.
bool IsFramingField(const std::string& aName)
{
  return boost::iequals(aName, "content-length") ||
         boost::iequals(aName, "transfer-encoding") ||
         boost::iequals(aName, "connection");
}

void AppendField(std::string& aHead,
                 std::string_view aName,
                 std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace

HttpSession::HttpSession(tcp::socket aSocket,
                         HttpSessionHost& aServer,
                         const HttpLimits& aLimits)
  : m_socket(std::move(aSocket))
  , m_requestShare(aLimits.m_requestBudget, kFreeBytes)
  , m_answerShare(aLimits.m_answerBudget, kFreeBytes)
  , m_server(&aServer)
{
  boost::system::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  m_peer = m_socket.remote_endpoint(ignored).address().to_string(ignored);
}

void HttpSession::Read()
{
  if (m_server != nullptr && m_server->IsLingerOver() && m_received.empty()) {
    boost::system::error_code code;
    if (m_socket.available(code) == 0) {
      Close();
      return;
    }
  }
  m_parser.emplace();
  const CallerLimits& limits = m_server->GetCallerLimits();
  m_parser->header_limit(static_cast<uint32_t>(limits.m_headBytes));
  m_parser->body_limit(limits.m_bodyBytes);
  m_lastActivityAt = Clock::now();
  m_requestBeganAt = m_lastActivityAt;
  m_reading = true;
  if (m_received.empty()) {
    WaitForBytes();
    return;
  }
  // Posted, so that pipelined requests are handled in a loop and not by
  // recursion.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    if (self->m_reading) {
      self->Parse();
    }
  });
}

// The same wait detects the next request and, while a request is being handled,
// that the client has disconnected.
void HttpSession::WaitForBytes()
{
  if (m_waiting) {
    return;
  }
  m_waiting = true;
  m_socket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](boost::system::error_code aCode) {
      self->m_waiting = false;
      if (!aCode && self->m_socket.is_open()) {
        self->OnReadable();
      }
    });
}

void HttpSession::OnReadable()
{
  if (m_reading) {
    Receive();
  } else if (m_handling) {
    CloseIfDisconnected();
  }
}

void HttpSession::Receive()
{
  boost::system::error_code code;
  const std::string_view bytes = ReceiveNow(m_socket, code);
  if (code == asio::error::would_block) {
    WaitForBytes();
    return;
  }
  if (code) {
    m_reading = false;
    if (code == asio::error::eof) {
      EndParser(*m_parser, code);
    }
    OnRead(code);
    return;
  }
  m_lastActivityAt = Clock::now();
  if (m_received.empty() && !m_parser->got_some()) {
    m_requestBeganAt = m_lastActivityAt;
  }
  m_received.append(bytes);
  if (!m_requestShare.Set(m_received.size() + m_parser->get().body().size())) {
    m_reading = false;
    Reject(http::status::service_unavailable);
    return;
  }
  Parse();
}

void HttpSession::Parse()
{
  boost::system::error_code code;
  const size_t used = FeedParser(*m_parser, m_received, code);
  m_received.erase(0, used);
  if (m_received.empty()) {
    m_received.shrink_to_fit(); // saves memory: connections are idle for long
  }
  if (!code && !m_parser->is_done()) {
    if (m_parser->is_header_done() && m_received.size() > kMaxUnparsedBytes) {
      m_reading = false;
      Reject(http::status::bad_request);
    } else {
      WaitForBytes();
    }
    return;
  }
  m_reading = false;
  OnRead(code);
}

void HttpSession::CheckTimeLimits(TimePoint aNow, const CallerLimits& aLimits)
{
  if (m_writing && aNow - m_writeBeganAt > aLimits.m_writeTimeout) {
    Close();
    return;
  }
  if (!m_reading) {
    return;
  }
  const bool began = !m_received.empty() || m_parser->got_some();
  const Duration limit = m_parser->is_header_done() ? aLimits.m_requestTimeout
                                                    : aLimits.m_headTimeout;
  if (began && aNow - m_requestBeganAt > limit) {
    m_reading = false;
    Reject(http::status::request_timeout);
  } else if (aNow - m_lastActivityAt > aLimits.m_idleTimeout) {
    Close();
  }
}

void HttpSession::OnRead(boost::system::error_code aCode)
{
  if (m_server == nullptr) {
    return;
  }
  if (aCode == http::error::body_limit) {
    Reject(http::status::payload_too_large);
    return;
  }
  if (aCode == http::error::header_limit) {
    Reject(http::status::request_header_fields_too_large);
    return;
  }
  const bool malformed =
    aCode.category() == make_error_code(http::error::bad_method).category();
  if (malformed && aCode != http::error::end_of_stream &&
      aCode != http::error::partial_message) {
    Reject(http::status::bad_request);
    return;
  }
  if (aCode) {
    Close();
    return;
  }
  if (const auto problem = HeadProblem(m_parser->get())) {
    Reject(*problem);
    return;
  }
  Handle(m_parser->release());
}

void HttpSession::Handle(ParsedRequest&& aRequest)
{
  m_keepAlive = aRequest.keep_alive();
  m_isHead = aRequest.method() == http::verb::head;
  m_http10 = aRequest.version() < 11;
  m_handling = true;
  if (m_received.empty()) {
    WaitForBytes();
  }
  const std::weak_ptr<HttpSession> weak = shared_from_this();
  auto respond = [weak](HttpResponse aResponse) {
    if (const auto self = weak.lock()) {
      self->Respond(std::move(aResponse));
    }
  };
  auto onAbandon = [weak](std::function<void()> aCallback) {
    if (const auto self = weak.lock()) {
      self->m_onAbandon = std::move(aCallback);
    }
  };
  HttpRequest request = FromBeast(std::move(aRequest));
  request.m_peer = m_peer;
  try {
    m_server->m_handler(std::move(request), respond, onAbandon);
  } catch (const std::exception& error) {
    OnHandlerFailed(error);
  }
}

// The request alone fails: the state of the connection is its own, and one
// request must not end the process.
void HttpSession::OnHandlerFailed(const std::exception& aError)
{
  if (m_server != nullptr && m_server->m_onFailure) {
    m_server->m_onFailure(
      Error{ ErrorCode::Internal, "handle request", m_peer, aError.what() });
  }
  HttpResponse response;
  response.m_status = static_cast<int>(http::status::internal_server_error);
  response.m_body = "the request can't be handled\n";
  Respond(std::move(response));
}

// A readable socket without bytes means that the client has disconnected. Bytes
// belong to a pipelined request, which is read after the answer.
void HttpSession::CloseIfDisconnected()
{
  boost::system::error_code code;
  if (m_socket.available(code) == 0) {
    Close();
  }
}

void HttpSession::Reject(http::status aStatus)
{
  m_keepAlive = false;
  m_handling = true;
  HttpResponse response;
  response.m_status = static_cast<int>(aStatus);
  response.m_fields = m_server->m_rejectFields;
  response.m_body = std::string(http::obsolete_reason(aStatus)) + "\n";
  if (aStatus == http::status::service_unavailable) {
    response.m_fields.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  Respond(std::move(response));
}

// Replaces an answer that would exceed the budget.
void HttpSession::LimitAnswer(HttpResponse& aResponse)
{
  if (m_answerShare.Set(aResponse.m_body.size())) {
    return;
  }
  aResponse = {};
  aResponse.m_status = static_cast<int>(http::status::service_unavailable);
  aResponse.m_fields.push_back({ "Retry-After", kRetryAfterSeconds });
  aResponse.m_body = "too many answers wait to be read\n";
}

void HttpSession::Respond(HttpResponse aResponse)
{
  if (!m_handling || !m_socket.is_open()) {
    return;
  }
  m_handling = false;
  m_onAbandon = nullptr;
  m_requestShare.Set(0);
  LimitAnswer(aResponse);
  if (m_server == nullptr || m_server->IsDraining()) {
    m_keepAlive = false;
  }
  WriteHead(aResponse);
  m_body = m_isHead ? std::string() : std::move(aResponse.m_body);
  const size_t sent = SendNow(m_socket, { m_head, m_body });
  if (sent == m_head.size() + m_body.size()) {
    OnWritten({});
    return;
  }
  m_writing = true;
  m_writeBeganAt = Clock::now();
  const size_t ofHead = std::min(sent, m_head.size());
  const std::array<asio::const_buffer, 2> rest{
    asio::buffer(m_head) + ofHead, asio::buffer(m_body) + (sent - ofHead)
  };
  asio::async_write(
    m_socket,
    rest,
    [self = shared_from_this()](boost::system::error_code aCode, size_t) {
      self->OnWritten(aCode);
    });
}

// An answer to HEAD keeps the length that the handler gave, if any; 204 and
// 304 have neither body nor length (RFC 9110, 6.4.1 and 8.6).
void HttpSession::WriteHead(const HttpResponse& aResponse)
{
  const auto status = static_cast<http::status>(aResponse.m_status);
  const bool noBody =
    status == http::status::no_content || status == http::status::not_modified;
  m_head.assign(m_http10 ? "HTTP/1.0 " : "HTTP/1.1 ");
  m_head.append(std::to_string(aResponse.m_status)).append(" ");
  const auto reason = http::obsolete_reason(status);
  m_head.append(reason.data(), reason.size()).append("\r\n");
  for (const HttpField& field : aResponse.m_fields) {
    if (!IsFramingField(field.m_name)) {
      AppendField(m_head, field.m_name, field.m_value);
    }
  }
  // The default is to keep a connection of HTTP/1.1 and to close one of 1.0.
  if (m_keepAlive == m_http10) {
    AppendField(m_head, "Connection", m_keepAlive ? "keep-alive" : "close");
  }
  if (!noBody) {
    const std::string* length =
      m_isHead ? FindField(aResponse.m_fields, "content-length") : nullptr;
    AppendField(m_head,
                "Content-Length",
                length != nullptr ? *length
                                  : std::to_string(aResponse.m_body.size()));
  }
  m_head.append("\r\n");
}

void HttpSession::OnWritten(boost::system::error_code aCode)
{
  m_writing = false;
  m_body = {};
  m_answerShare.Set(0);
  if (aCode || !m_keepAlive) {
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    Close();
    return;
  }
  Read();
}

void HttpSession::CloseIfIdle()
{
  boost::system::error_code code;
  const bool arriving = !m_received.empty() ||
                        (m_parser && m_parser->got_some()) ||
                        m_socket.available(code) > 0;
  if (m_reading && !arriving) {
    Close();
  }
}

void HttpSession::CloseIfReading()
{
  if (m_reading) {
    Close();
  }
}

void HttpSession::Close()
{
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_handling = false;
  m_requestShare.Set(0);
  if (const auto onAbandon = std::exchange(m_onAbandon, nullptr)) {
    onAbandon();
  }
  if (HttpSessionHost* server = std::exchange(m_server, nullptr)) {
    server->Remove(self);
  }
}

} // namespace wigeonfold::net
