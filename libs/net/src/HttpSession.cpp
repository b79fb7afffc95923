#include "HttpSession.h"

#include "Framing.h"

#include "wigeonfold/net/SocketIo.h"

#include <utility>

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <poll.h>

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
// How long unread requests are discarded after the last answer. Closing a
// socket with unread bytes resets the connection, and the client may then lose
// answers that it has not read yet.
constexpr std::chrono::seconds kDiscardTime{ 1 };

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
  return HasUnknownCoding(aRequest)
           ? std::optional(http::status::not_implemented)
           : std::nullopt;
}

// A request that may be repeated may run beside others of its connection: if an
// earlier answer closes the connection, the client sends it again.
bool MayRunBesideOthers(http::verb aMethod)
{
  return aMethod == http::verb::get || aMethod == http::verb::head;
}

size_t SizeOf(const HttpRequest& aRequest)
{
  size_t bytes = aRequest.m_target.size() + aRequest.m_body.size();
  for (const HttpField& field : aRequest.m_fields) {
    bytes += field.m_name.size() + field.m_value.size();
  }
  return bytes;
}

// A caller takes 503 for a request that has not run, but a node's request may
// have run when its answer has to be dropped.
HttpResponse AnswerDropped()
{
  HttpResponse response;
  response.m_status = static_cast<int>(http::status::internal_server_error);
  response.m_body = "the answer was dropped: too many wait to be sent\n";
  return response;
}

HttpResponse BudgetExhausted()
{
  HttpResponse response;
  response.m_status = static_cast<int>(http::status::service_unavailable);
  response.m_fields.push_back({ "Retry-After", kRetryAfterSeconds });
  response.m_body = "too many answers wait to be read\n";
  return response;
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

// ---- Reading ---------------------------------------------------------------

// False while the next request must wait for answers to earlier ones, and once
// no further request is accepted. During a graceful shutdown the requests in
// progress are the last ones.
bool HttpSession::MayRead() const
{
  if (m_server == nullptr || m_noMoreRequests || m_writing || m_held) {
    return false;
  }
  return m_exchanges.IsEmpty() ||
         (!m_exchanges.IsFull() && !m_exchanges.HasAlone() &&
          !m_server->IsDraining());
}

void HttpSession::Read()
{
  if (m_server->IsLingerOver() && m_received.empty()) {
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
  m_reading = true;
  ContinueReading();
}

// The time during which the server did not read isn't the client's.
void HttpSession::ContinueReading()
{
  m_paused = false;
  if (m_exchanges.IsEmpty() || HasBegun()) {
    m_lastActivityAt = Clock::now();
    m_requestBeganAt = m_lastActivityAt;
  }
  if (m_received.empty()) {
    WaitForBytes();
    return;
  }
  // Posted, so that pipelined requests are handled in a loop and not by
  // recursion.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    if (!self->m_reading) {
      return;
    }
    if (self->MayRead()) {
      self->Parse();
    } else {
      self->m_paused = true;
    }
  });
}

// True when a part of the request that is being read has arrived.
bool HttpSession::HasBegun() const
{
  return !m_received.empty() || m_parser->got_some();
}

// Starts what was waiting for an answer, or for the client to read one.
void HttpSession::Resume()
{
  if (m_held && m_exchanges.IsEmpty() && !m_writing) {
    m_held = false;
    Handle(m_parser->release());
    return;
  }
  if (!MayRead()) {
    WaitForBytes();
    return;
  }
  if (!m_reading) {
    Read();
  } else if (m_paused) {
    ContinueReading();
  } else if (m_exchanges.IsEmpty()) {
    m_lastActivityAt = Clock::now(); // the connection may be idle from now on
  }
}

// The same wait detects the next request and, while requests are being handled,
// that the client has disconnected.
void HttpSession::WaitForBytes()
{
  if (m_waiting || !m_socket.is_open()) {
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
  if (m_discarding) {
    Discard();
  } else if (m_reading && MayRead()) {
    Receive();
  } else {
    m_paused = m_reading;
    if (!m_exchanges.IsEmpty() || m_held) {
      CloseIfDisconnected();
    }
  }
}

void HttpSession::Receive()
{
  // Behind other requests, bytes that might exceed the budget stay with the
  // client until an answer has left.
  if (!m_exchanges.IsEmpty() &&
      !m_requestShare.Set(HeldBytes() + kMaxReceivedBytes)) {
    m_paused = true;
    return;
  }
  boost::system::error_code code;
  const std::string_view bytes = ReceiveNow(m_socket, code);
  if (code == asio::error::would_block) {
    UpdateRequestShare();
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
  if (!UpdateRequestShare()) {
    m_reading = false;
    Reject(http::status::service_unavailable);
    return;
  }
  Parse();
}

size_t HttpSession::HeldBytes() const
{
  const size_t unread = m_reading || m_held ? m_parser->get().body().size() : 0;
  const size_t answers =
    m_answerShare.HasBudget() ? 0 : m_exchanges.AnswerBytes();
  return m_exchanges.RequestBytes() + answers + m_received.size() + unread;
}

bool HttpSession::UpdateRequestShare()
{
  return m_requestShare.Set(HeldBytes());
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
  if (m_discarding && aNow - m_lastActivityAt > kDiscardTime) {
    Close();
    return;
  }
  if (!m_exchanges.IsEmpty() && !m_waiting && HasClientClosed()) {
    Close();
    return;
  }
  if (!m_reading || m_paused || !MayRead()) {
    return; // the server doesn't read now
  }
  const Duration limit = m_parser->is_header_done() ? aLimits.m_requestTimeout
                                                    : aLimits.m_headTimeout;
  if (HasBegun() && aNow - m_requestBeganAt > limit) {
    m_reading = false;
    Reject(http::status::request_timeout);
  } else if (m_exchanges.IsEmpty() &&
             aNow - m_lastActivityAt > aLimits.m_idleTimeout) {
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
  if (!m_exchanges.IsEmpty() && !MayRunBesideOthers(m_parser->get().method())) {
    m_held = true;
    WaitForBytes();
    return;
  }
  Handle(m_parser->release());
}

// ---- Requests in progress --------------------------------------------------

void HttpSession::Handle(ParsedRequest&& aRequest)
{
  HttpExchange exchange;
  exchange.m_keepAlive = aRequest.keep_alive();
  exchange.m_isHead = aRequest.method() == http::verb::head;
  exchange.m_http10 = aRequest.version() < 11;
  exchange.m_alone = !MayRunBesideOthers(aRequest.method());
  m_noMoreRequests = !exchange.m_keepAlive;
  m_pipelines |= !m_exchanges.IsEmpty() || !m_received.empty();
  HttpRequest request = FromBeast(std::move(aRequest));
  request.m_peer = m_peer;
  exchange.m_requestBytes = SizeOf(request);
  const uint64_t id = m_exchanges.Add(std::move(exchange));
  UpdateRequestShare();
  Call(id, std::move(request));
  if (IsAttached()) {
    Resume();
  }
}

void HttpSession::Call(uint64_t aId, HttpRequest aRequest)
{
  const std::weak_ptr<HttpSession> weak = shared_from_this();
  auto respond = [weak, aId](HttpResponse aResponse) {
    if (const auto self = weak.lock()) {
      self->Respond(aId, std::move(aResponse));
    }
  };
  auto onAbandon = [weak, aId](std::function<void()> aCallback) {
    const auto self = weak.lock();
    if (HttpExchange* exchange = self ? self->m_exchanges.Find(aId) : nullptr) {
      exchange->m_onAbandon = std::move(aCallback);
    }
  };
  try {
    m_server->m_handler(std::move(aRequest), respond, onAbandon);
  } catch (const std::exception& error) {
    OnHandlerFailed(aId, error);
  }
}

// The request alone fails: the state of the connection is its own, and one
// request must not end the process.
void HttpSession::OnHandlerFailed(uint64_t aId, const std::exception& aError)
{
  if (m_server != nullptr && m_server->m_onFailure) {
    m_server->m_onFailure(
      Error{ ErrorCode::Internal, "handle request", m_peer, aError.what() });
  }
  HttpResponse response;
  response.m_status = static_cast<int>(http::status::internal_server_error);
  response.m_body = "the request can't be handled\n";
  Respond(aId, std::move(response));
}

// A readable socket without bytes means that the client has disconnected. Bytes
// belong to a pipelined request, which is read later.
void HttpSession::CloseIfDisconnected()
{
  boost::system::error_code code;
  if (m_socket.available(code) == 0) {
    Close();
  }
}

// Also true when unread bytes precede the end, which a wait for bytes does not
// show.
bool HttpSession::HasClientClosed()
{
  pollfd poll{ m_socket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&poll, 1, 0) > 0;
}

// The answer leaves after those to the requests before it; no request behind it
// is read.
void HttpSession::Reject(http::status aStatus)
{
  m_noMoreRequests = true;
  HttpResponse response;
  response.m_status = static_cast<int>(aStatus);
  response.m_fields = m_server->m_rejectFields;
  response.m_body = std::string(http::obsolete_reason(aStatus)) + "\n";
  if (aStatus == http::status::service_unavailable) {
    response.m_fields.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  HttpExchange exchange;
  exchange.m_keepAlive = false;
  exchange.m_http10 = m_parser->get().version() < 11;
  Respond(m_exchanges.Add(std::move(exchange)), std::move(response));
}

// ---- Answers ---------------------------------------------------------------

void HttpSession::Respond(uint64_t aId, HttpResponse aResponse)
{
  HttpExchange* const exchange = m_exchanges.Find(aId);
  if (exchange == nullptr || exchange->m_response || !m_socket.is_open()) {
    return;
  }
  exchange->m_onAbandon = nullptr;
  exchange->m_requestBytes = 0;
  exchange->m_response = std::move(aResponse);
  LimitAnswer(*exchange);
  SendAnswers();
}

// Replaces an answer that would exceed a budget. An answer that can leave at
// once needs the answer budget alone.
void HttpSession::LimitAnswer(HttpExchange& aExchange)
{
  const bool waits = m_writing || !m_exchanges.IsFirstAnswered();
  if (!m_answerShare.Set(m_body.size() + m_exchanges.AnswerBytes())) {
    aExchange.m_response = BudgetExhausted();
    m_answerShare.Set(m_body.size() + m_exchanges.AnswerBytes());
  }
  if (waits && !UpdateRequestShare()) {
    aExchange.m_response = AnswerDropped();
    UpdateRequestShare();
  }
}

void HttpSession::SendAnswers()
{
  while (!m_writing && m_exchanges.IsFirstAnswered()) {
    HttpExchange exchange = m_exchanges.TakeFirst();
    UpdateRequestShare();
    Send(std::move(exchange));
  }
  if (IsAttached() && !m_discarding) {
    Resume();
  }
}

// A graceful shutdown closes the connection with the answer to the last request
// that was read.
bool HttpSession::IsLast(const HttpExchange& aExchange) const
{
  const bool draining = m_server == nullptr || m_server->IsDraining();
  return !aExchange.m_keepAlive ||
         (draining && m_exchanges.IsEmpty() && !m_held);
}

void HttpSession::Send(HttpExchange&& aExchange)
{
  m_lastAnswer = IsLast(aExchange);
  m_noMoreRequests |= m_lastAnswer;
  WriteHead(aExchange);
  m_body = aExchange.m_isHead ? std::string()
                              : std::move(aExchange.m_response->m_body);
  boost::system::error_code ignored; // the next write fails as well
  const size_t sent = SendNow(m_socket, { m_head, m_body }, ignored);
  if (sent == m_head.size() + m_body.size()) {
    OnSent({});
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
      self->m_writing = false;
      self->OnSent(aCode);
      if (self->IsAttached()) {
        self->SendAnswers();
      }
    });
}

// An answer to HEAD keeps the length that the handler gave, if any; 204 and
// 304 have neither body nor length (RFC 9110, 6.4.1 and 8.6).
void HttpSession::WriteHead(const HttpExchange& aExchange)
{
  const HttpResponse& response = *aExchange.m_response;
  const auto status = static_cast<http::status>(response.m_status);
  const bool noBody =
    status == http::status::no_content || status == http::status::not_modified;
  m_head.assign(aExchange.m_http10 ? "HTTP/1.0 " : "HTTP/1.1 ");
  m_head.append(std::to_string(response.m_status)).append(" ");
  const auto reason = http::obsolete_reason(status);
  m_head.append(reason.data(), reason.size()).append("\r\n");
  for (const HttpField& field : response.m_fields) {
    if (!IsFramingField(field.m_name)) {
      AppendField(m_head, field.m_name, field.m_value);
    }
  }
  // The default is to keep a connection of HTTP/1.1 and to close one of 1.0.
  if (m_lastAnswer != aExchange.m_http10) {
    AppendField(m_head, "Connection", m_lastAnswer ? "close" : "keep-alive");
  }
  if (!noBody) {
    const std::string* length =
      aExchange.m_isHead ? FindField(response.m_fields, "content-length")
                         : nullptr;
    AppendField(m_head,
                "Content-Length",
                length != nullptr ? *length
                                  : std::to_string(response.m_body.size()));
  }
  m_head.append("\r\n");
}

void HttpSession::OnSent(boost::system::error_code aCode)
{
  std::string().swap(m_body); // assigning {} would keep the memory
  m_answerShare.Set(m_exchanges.AnswerBytes());
  if (aCode) {
    Close();
  } else if (m_lastAnswer) {
    CloseAfterAnswers();
  }
}

// ---- Closing ---------------------------------------------------------------

void HttpSession::CloseAfterAnswers()
{
  boost::system::error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (!m_pipelines && m_received.empty() && m_socket.available(ignored) == 0) {
    Close();
    return;
  }
  m_discarding = true;
  m_lastActivityAt = Clock::now();
  m_reading = false;
  std::string().swap(m_received);
  m_requestShare.Set(0);
  WaitForBytes();
}

void HttpSession::Discard()
{
  boost::system::error_code code;
  ReceiveNow(m_socket, code);
  if (code && code != asio::error::would_block) {
    Close();
  } else {
    WaitForBytes();
  }
}

void HttpSession::CloseIfIdle()
{
  boost::system::error_code code;
  const bool arriving = !m_received.empty() ||
                        (m_parser && m_parser->got_some()) ||
                        m_socket.available(code) > 0;
  if (IsIdle() && !arriving) {
    Close();
  }
}

void HttpSession::CloseIfReading()
{
  if (IsIdle()) {
    Close();
  }
}

bool HttpSession::IsIdle() const
{
  return m_reading && !m_writing && m_exchanges.IsEmpty();
}

void HttpSession::Close()
{
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_reading = false;
  m_held = false;
  for (const auto& onAbandon : m_exchanges.Abandon()) {
    onAbandon();
  }
  m_requestShare.Set(0);
  m_answerShare.Set(m_body.size());
  if (HttpSessionHost* server = std::exchange(m_server, nullptr)) {
    server->Remove(self);
  }
}

} // namespace wigeonfold::net
