#include "wigeonfold/net/HttpPool.h"

#include "wigeonfold/net/SocketIo.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using BeastRequest = http::request<http::string_body>;

struct PendingCall
{
  HttpRequest m_request;
  TimePoint m_expires;
  HttpOnOutcome m_onOutcome;
};

BeastRequest ToBeast(const HttpRequest& aRequest, const std::string& aHost)
{
  BeastRequest request;
  request.method_string(aRequest.m_method);
  request.target(aRequest.m_target);
  request.version(11);
  request.set(http::field::host, aHost);
  for (const HttpField& field : aRequest.m_fields) {
    request.set(field.m_name, field.m_value);
  }
  request.body() = aRequest.m_body;
  request.prepare_payload();
  return request;
}

HttpResponse FromBeast(http::response<http::string_body>&& aResponse)
{
  HttpResponse response;
  response.m_status = static_cast<int>(aResponse.result_int());
  for (const auto& field : aResponse) {
    response.m_fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  response.m_body = std::move(aResponse.body());
  return response;
}

class Pool;

// ---- One connection --------------------------------------------------------

class PoolConnection : public std::enable_shared_from_this<PoolConnection>
{
public:
  PoolConnection(asio::io_context& aIo, Pool& aPool)
    : m_stream(aIo)
    , m_pool(&aPool)
  {
  }

  void Start(PendingCall aCall);
  // Closes the connection without reporting the outcome of a pending call.
  void Drop();

private:
  void Connect();
  void Write();
  void Read();
  void Finish();
  void Fail(const char* aStep, beast::error_code aCode);
  void WatchWhileIdle();

  beast::tcp_stream m_stream;
  Pool* m_pool; // null after Drop()
  beast::flat_buffer m_buffer{ kMaxClientBufferBytes };
  std::optional<http::response_parser<http::string_body>> m_parser;
  PendingCall m_call;
  BeastRequest m_request;
  bool m_busy = false;
  bool m_sent = false;
  bool m_watching = false;
};

// ---- Pool ------------------------------------------------------------------

class Pool : public HttpPool
{
public:
  Pool(asio::io_context& aIo,
       const SocketAddress& aAddress,
       size_t aMaxConnections)
    : m_address(ToString(aAddress))
    , m_io(aIo)
    , m_maxConnections(aMaxConnections)
    , m_timer(aIo)
    , m_alive(std::make_shared<bool>(true))
  {
    boost::system::error_code ignored;
    m_endpoint = tcp::endpoint(asio::ip::make_address(aAddress.m_host, ignored),
                               aAddress.m_port);
  }

  ~Pool() override
  {
    *m_alive = false;
    const auto all = std::move(m_all);
    for (const auto& connection : all) {
      connection->Drop();
    }
  }

  void Call(HttpRequest aRequest,
            Duration aTimeout,
            HttpOnOutcome aOnOutcome) override
  {
    m_waiting.push_back(
      { std::move(aRequest), Clock::now() + aTimeout, std::move(aOnOutcome) });
    Assign();
    if (!m_waiting.empty() && !m_expiryScheduled) {
      ScheduleExpiry();
    }
  }

  size_t Waiting() const override { return m_waiting.size(); }
  size_t Connections() const override { return m_all.size(); }

  void Release(const std::shared_ptr<PoolConnection>& aConnection)
  {
    m_idle.insert(aConnection);
    Assign();
  }

  void Remove(const std::shared_ptr<PoolConnection>& aConnection)
  {
    m_idle.erase(aConnection);
    m_all.erase(aConnection);
    // Posted, so that successive failures do not recurse and exhaust the stack.
    asio::post(m_io, [this, alive = m_alive] {
      if (*alive) {
        Assign();
      }
    });
  }

  const std::string m_address;
  tcp::endpoint m_endpoint;

private:
  void Assign()
  {
    while (!m_waiting.empty()) {
      std::shared_ptr<PoolConnection> connection;
      if (!m_idle.empty()) {
        connection = *m_idle.begin();
        m_idle.erase(m_idle.begin());
      } else if (m_all.size() < m_maxConnections) {
        connection = std::make_shared<PoolConnection>(m_io, *this);
        m_all.insert(connection);
      } else {
        return;
      }
      PendingCall call = std::move(m_waiting.front());
      m_waiting.pop_front();
      connection->Start(std::move(call));
    }
  }

  void ScheduleExpiry()
  {
    constexpr std::chrono::milliseconds kExpiryCheckPeriod{ 20 };
    m_expiryScheduled = true;
    m_timer.expires_after(kExpiryCheckPeriod);
    m_timer.async_wait(
      [this, alive = m_alive](boost::system::error_code aCode) {
        if (!aCode && *alive) {
          Expire();
        }
      });
  }

  void Expire()
  {
    m_expiryScheduled = false;
    const TimePoint now = Clock::now();
    std::deque<PendingCall> expired;
    for (PendingCall& call : std::exchange(m_waiting, {})) {
      (call.m_expires <= now ? expired : m_waiting).push_back(std::move(call));
    }
    if (!m_waiting.empty()) {
      ScheduleExpiry();
    }
    for (PendingCall& call : expired) {
      const Error error{
        ErrorCode::Timeout, "wait for a connection", m_address, "timed out"
      };
      asio::post(m_io, [outcome = std::move(call.m_onOutcome), error] {
        outcome({ std::nullopt, false, error });
      });
    }
  }

  asio::io_context& m_io;
  const size_t m_maxConnections;
  asio::steady_timer m_timer;
  std::deque<PendingCall> m_waiting;
  std::set<std::shared_ptr<PoolConnection>> m_all;
  std::set<std::shared_ptr<PoolConnection>> m_idle;
  bool m_expiryScheduled = false;
  std::shared_ptr<bool> m_alive; // false once the pool is destroyed
};

void PoolConnection::Start(PendingCall aCall)
{
  m_call = std::move(aCall);
  m_request = ToBeast(m_call.m_request, m_pool->m_address);
  m_busy = true;
  m_sent = false;
  m_stream.expires_after(m_call.m_expires - Clock::now());
  if (m_stream.socket().is_open()) {
    Write();
  } else {
    Connect();
  }
}

void PoolConnection::Connect()
{
  m_stream.async_connect(
    m_pool->m_endpoint, [self = shared_from_this()](beast::error_code aCode) {
      if (aCode) {
        self->Fail("connect", aCode);
        return;
      }
      boost::system::error_code ignored;
      self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
}

void PoolConnection::Write()
{
  m_sent = true;
  http::async_write(
    m_stream,
    m_request,
    [self = shared_from_this()](beast::error_code aCode, size_t) {
      if (aCode) {
        self->Fail("send request", aCode);
        return;
      }
      self->Read();
    });
}

void PoolConnection::Read()
{
  m_parser.emplace();
  m_parser->body_limit(kMaxBodyBytes * 64);
  m_parser->skip(m_request.method() == http::verb::head);
  http::async_read(
    m_stream,
    m_buffer,
    *m_parser,
    [self = shared_from_this()](beast::error_code aCode, size_t) {
      if (aCode) {
        self->Fail("read answer", aCode);
        return;
      }
      self->Finish();
    });
}

void PoolConnection::Finish()
{
  m_stream.expires_never();
  m_busy = false;
  if (m_pool == nullptr) {
    return;
  }
  const bool keep = m_parser->get().keep_alive() && m_buffer.size() == 0;
  HttpOutcome outcome{ FromBeast(m_parser->release()), true, {} };
  const auto onOutcome = std::exchange(m_call.m_onOutcome, nullptr);
  const auto self = shared_from_this();
  if (keep) {
    WatchWhileIdle();
    m_pool->Release(self);
  } else {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
    m_pool->Remove(self);
  }
  onOutcome(std::move(outcome));
}

void PoolConnection::Fail(const char* aStep, beast::error_code aCode)
{
  m_busy = false;
  if (m_pool == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_stream.socket().close(ignored);
  const auto onOutcome = std::exchange(m_call.m_onOutcome, nullptr);
  const bool timeout = aCode == beast::error::timeout;
  const Error error{ timeout ? ErrorCode::Timeout : ErrorCode::Unavailable,
                     aStep,
                     m_pool->m_address,
                     aCode.message() };
  m_pool->Remove(self);
  onOutcome({ std::nullopt, m_sent, error });
}

// Removes the connection from the pool if the server closes it while it is
// idle. Otherwise the next call on it would fail although the server is
// healthy.
void PoolConnection::WatchWhileIdle()
{
  if (m_watching) {
    return;
  }
  m_watching = true;
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](boost::system::error_code aCode) {
      self->m_watching = false;
      if (aCode || self->m_busy || self->m_pool == nullptr) {
        return;
      }
      boost::system::error_code ignored;
      self->m_stream.socket().close(ignored);
      self->m_pool->Remove(self);
    });
}

void PoolConnection::Drop()
{
  m_pool = nullptr;
  m_call.m_onOutcome = nullptr;
  boost::system::error_code ignored;
  m_stream.socket().close(ignored);
}

} // namespace

std::unique_ptr<HttpPool> MakeHttpPool(asio::io_context& aIo,
                                       const SocketAddress& aAddress,
                                       size_t aMaxConnections)
{
  return std::make_unique<Pool>(aIo, aAddress, aMaxConnections);
}

} // namespace wigeonfold::net
