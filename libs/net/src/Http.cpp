// The HTTP server; the client is in HttpClient.cpp.
#include "wigeonfold/net/Http.h"

#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::chrono::minutes kIdleTimeout{ 5 };
constexpr std::chrono::milliseconds kAcceptRetry{ 100 };
// A request that has begun to arrive when a drain ends its linger may be
// completed in this time: a few round trips between zones.
constexpr std::chrono::milliseconds kUnfinishedRequestWait{ 200 };

using ParsedRequest = http::request<http::string_body>;
using PlainResponse = http::response<http::string_body>;

HttpRequest ToPlain(ParsedRequest&& aRequest)
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

// What is wrong with the head of a request that could be parsed, as the status
// of the answer; nothing when it is sound. A request whose length or host can
// be read in two ways must not be passed on (RFC 9112, 3.2 and 6.1).
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

// The server frames the message itself, so fields that do so are left out.
bool IsFramingField(const std::string& aName)
{
  return boost::iequals(aName, "content-length") ||
         boost::iequals(aName, "transfer-encoding") ||
         boost::iequals(aName, "connection");
}

class Server;

// ---- One connection --------------------------------------------------------

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, Server& aServer)
    : m_stream(std::move(aSocket))
    , m_server(&aServer)
  {
    boost::system::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    m_peer = m_stream.socket().remote_endpoint(ignored).address().to_string();
  }

  void Read();
  void Close();
  // Closes the connection if no request is under way or has begun to arrive.
  void CloseIfIdle();
  // Closes the connection if no whole request has arrived.
  void CloseIfReading();
  void Detach() { m_server = nullptr; }
  bool IsAttached() const { return m_server != nullptr; }

private:
  void OnRead(beast::error_code aCode);
  void Handle(ParsedRequest&& aRequest);
  void WatchForClose();
  void Reject(http::status aStatus);
  void Respond(HttpResponse aResponse);
  void SetBody(HttpResponse aResponse);
  void OnWritten(beast::error_code aCode);

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::shared_ptr<PlainResponse> m_response;
  std::string m_peer; // IP number
  std::function<void()> m_onAbandon;
  Server* m_server; // null after the server is gone
  bool m_reading = false;
  bool m_handling = false;
  bool m_keepAlive = true;
  bool m_head = false;
  bool m_http10 = false;
};

// ---- Server ----------------------------------------------------------------

class Server : public HttpServer
{
public:
  Server(tcp::acceptor aAcceptor,
         HttpHandler aHandler,
         std::vector<HttpField> aRejectFields,
         HttpLimits aLimits)
    : m_handler(std::move(aHandler))
    , m_rejectFields(std::move(aRejectFields))
    , m_limits(aLimits)
    , m_acceptor(std::move(aAcceptor))
    , m_timer(m_acceptor.get_executor())
    , m_alive(std::make_shared<bool>(true))
  {
    Accept();
  }

  ~Server() override
  {
    *m_alive = false;
    m_onDrained = nullptr;
    Close();
  }

  void Drain(Duration aLinger, std::function<void()> aDone) override
  {
    m_draining = true;
    m_onDrained = std::move(aDone);
    m_timer.expires_after(aLinger);
    m_timer.async_wait(
      [this, alive = m_alive](boost::system::error_code aCode) {
        if (!aCode && *alive) {
          FinishDrain();
        }
      });
  }

  void Close() override
  {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_timer.cancel();
    const auto sessions = std::move(m_sessions);
    m_sessions.clear();
    for (const auto& session : sessions) {
      session->Detach();
      session->Close();
    }
  }

  uint16_t Port() const override
  {
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
  }

  size_t Connections() const override { return m_sessions.size(); }
  bool IsDraining() const { return m_draining; }
  // True once idle connections are to be closed.
  bool IsLingerOver() const { return m_lingerOver; }

  void Remove(const std::shared_ptr<Session>& aSession)
  {
    m_sessions.erase(aSession);
    if (m_lingerOver && m_sessions.empty() && m_onDrained) {
      asio::post(m_acceptor.get_executor(),
                 std::exchange(m_onDrained, nullptr));
    }
  }

  const HttpHandler m_handler;
  const std::vector<HttpField> m_rejectFields;
  const HttpLimits m_limits;

private:
  void Accept()
  {
    m_acceptor.async_accept(
      [this, alive = m_alive](boost::system::error_code aCode,
                              tcp::socket aSocket) {
        if (!*alive || !m_acceptor.is_open()) {
          return;
        }
        if (aCode) {
          AcceptLater();
          return;
        }
        Open(std::move(aSocket));
        Accept();
      });
  }

  void Open(tcp::socket aSocket)
  {
    if (m_limits.m_connections > 0 &&
        m_sessions.size() >= m_limits.m_connections) {
      return;
    }
    auto session = std::make_shared<Session>(std::move(aSocket), *this);
    m_sessions.insert(session);
    if (m_limits.m_connectionCost == Duration::zero()) {
      session->Read();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
      m_acceptor.get_executor(), m_limits.m_connectionCost);
    timer->async_wait([timer, session](boost::system::error_code) {
      if (session->IsAttached()) {
        session->Read();
      }
    });
  }

  // Errors such as a lack of file descriptors pass; the socket stays usable.
  void AcceptLater()
  {
    auto timer = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(),
                                                      kAcceptRetry);
    timer->async_wait(
      [this, timer, alive = m_alive](boost::system::error_code aCode) {
        if (!aCode && *alive && m_acceptor.is_open()) {
          Accept();
        }
      });
  }

  void FinishDrain()
  {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_lingerOver = true;
    const auto sessions = m_sessions;
    for (const auto& session : sessions) {
      session->CloseIfIdle();
    }
    if (m_sessions.empty() && m_onDrained) {
      std::exchange(m_onDrained, nullptr)();
      return;
    }
    m_timer.expires_after(kUnfinishedRequestWait);
    m_timer.async_wait(
      [this, alive = m_alive](boost::system::error_code aCode) {
        if (!aCode && *alive) {
          CloseUnfinished();
        }
      });
  }

  // Callers that never end their request must not hold up the end of the
  // process.
  void CloseUnfinished()
  {
    const auto sessions = m_sessions;
    for (const auto& session : sessions) {
      session->CloseIfReading();
    }
  }

  tcp::acceptor m_acceptor;
  asio::steady_timer m_timer;
  std::set<std::shared_ptr<Session>> m_sessions;
  std::function<void()> m_onDrained;
  bool m_draining = false;
  bool m_lingerOver = false;
  std::shared_ptr<bool> m_alive; // false once the server is destroyed
};

void Session::Read()
{
  if (m_server != nullptr && m_server->IsLingerOver() && m_buffer.size() == 0) {
    boost::system::error_code code;
    if (m_stream.socket().available(code) == 0) {
      Close();
      return;
    }
  }
  m_parser.emplace();
  m_parser->body_limit(m_server->m_limits.m_bodyBytes);
  m_stream.expires_after(kIdleTimeout);
  m_reading = true;
  http::async_read(m_stream,
                   m_buffer,
                   *m_parser,
                   [self = shared_from_this()](
                     beast::error_code aCode, size_t) { self->OnRead(aCode); });
}

void Session::OnRead(beast::error_code aCode)
{
  m_reading = false;
  if (m_server == nullptr) {
    return;
  }
  if (aCode == http::error::body_limit) {
    Reject(http::status::payload_too_large);
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

void Session::Handle(ParsedRequest&& aRequest)
{
  m_keepAlive = aRequest.keep_alive();
  m_head = aRequest.method() == http::verb::head;
  m_http10 = aRequest.version() < 11;
  m_handling = true;
  m_stream.expires_never();
  if (m_buffer.size() == 0) {
    WatchForClose();
  }
  const std::weak_ptr<Session> weak = shared_from_this();
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
  HttpRequest request = ToPlain(std::move(aRequest));
  request.m_peer = m_peer;
  m_server->m_handler(std::move(request), respond, onAbandon);
}

void Session::WatchForClose()
{
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (aCode || !self->m_handling) {
        return;
      }
      boost::system::error_code code;
      if (self->m_stream.socket().available(code) == 0) {
        self->Close();
      }
    });
}

void Session::Reject(http::status aStatus)
{
  m_keepAlive = false;
  m_handling = true;
  HttpResponse response;
  response.m_status = static_cast<int>(aStatus);
  response.m_fields = m_server->m_rejectFields;
  response.m_body = std::string(http::obsolete_reason(aStatus)) + "\n";
  Respond(std::move(response));
}

void Session::Respond(HttpResponse aResponse)
{
  if (!m_handling || !m_stream.socket().is_open()) {
    return;
  }
  m_handling = false;
  m_onAbandon = nullptr;
  if (m_server == nullptr || m_server->IsDraining()) {
    m_keepAlive = false;
  }
  m_response = std::make_shared<PlainResponse>();
  m_response->result(static_cast<unsigned>(aResponse.m_status));
  m_response->version(m_http10 ? 10 : 11);
  for (const HttpField& field : aResponse.m_fields) {
    if (!IsFramingField(field.m_name)) {
      m_response->insert(field.m_name, field.m_value);
    }
  }
  m_response->keep_alive(m_keepAlive);
  SetBody(std::move(aResponse));
  http::async_write(
    m_stream,
    *m_response,
    [self = shared_from_this()](beast::error_code aCode, size_t) {
      self->OnWritten(aCode);
    });
}

// An answer to HEAD keeps the length that the handler gave, if any; 204 and
// 304 have neither body nor length (RFC 9110, 6.4.1 and 8.6).
void Session::SetBody(HttpResponse aResponse)
{
  const auto status = m_response->result();
  if (status == http::status::no_content ||
      status == http::status::not_modified) {
    return;
  }
  const std::string* length =
    m_head ? FindField(aResponse.m_fields, "content-length") : nullptr;
  if (length != nullptr) {
    m_response->set(http::field::content_length, *length);
  } else {
    m_response->content_length(aResponse.m_body.size());
  }
  if (!m_head) {
    m_response->body() = std::move(aResponse.m_body);
  }
}

void Session::OnWritten(beast::error_code aCode)
{
  if (aCode || !m_keepAlive) {
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    Close();
    return;
  }
  Read();
}

void Session::CloseIfIdle()
{
  boost::system::error_code code;
  const bool arriving = m_buffer.size() > 0 ||
                        (m_parser && m_parser->got_some()) ||
                        m_stream.socket().available(code) > 0;
  if (m_reading && !arriving) {
    Close();
  }
}

void Session::CloseIfReading()
{
  if (m_reading) {
    Close();
  }
}

void Session::Close()
{
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_stream.socket().close(ignored);
  m_handling = false;
  if (const auto onAbandon = std::exchange(m_onAbandon, nullptr)) {
    onAbandon();
  }
  if (Server* server = std::exchange(m_server, nullptr)) {
    server->Remove(self);
  }
}

} // namespace

const std::string* FindField(const std::vector<HttpField>& aFields,
                             const std::string& aName)
{
  for (const HttpField& field : aFields) {
    if (boost::iequals(field.m_name, aName)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

Result<std::unique_ptr<HttpServer>> ServeHttp(
  asio::io_context& aIo,
  const SocketAddress& aAddress,
  HttpHandler aHandler,
  std::vector<HttpField> aRejectFields,
  HttpLimits aLimits)
{
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(aAddress.m_host),
                                 aAddress.m_port);
    tcp::acceptor acceptor(aIo, endpoint);
    return std::unique_ptr<HttpServer>(
      std::make_unique<Server>(std::move(acceptor),
                               std::move(aHandler),
                               std::move(aRejectFields),
                               aLimits));
  } catch (const boost::system::system_error& error) {
    return Error{
      ErrorCode::Io, "listen", ToString(aAddress), error.code().message()
    };
  }
}

} // namespace wigeonfold::net
