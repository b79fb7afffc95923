#include "wigeonfold/net/HttpPool.h"

#include "ClientExchange.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <set>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

struct PendingCall
{
  HttpRequest m_request;
  TimePoint m_expires;
  HttpOnOutcome m_onOutcome;
};

class Pool;

// ---- One connection --------------------------------------------------------

class PoolConnection : public std::enable_shared_from_this<PoolConnection>
{
public:
  PoolConnection(asio::io_context& aIo, Pool& aPool);

  void Start(PendingCall aCall);
  // Closes the connection without reporting the outcome of a pending call.
  void Drop();

private:
  void Connect();
  void FailToConnect(beast::error_code aCode);
  void Exchange();
  void Finish();
  void Fail(Error aError);
  void WatchWhileIdle();

  beast::tcp_stream m_stream;
  Pool* m_pool; // null after Drop()
  ClientExchange m_exchange;
  PendingCall m_call;
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

PoolConnection::PoolConnection(asio::io_context& aIo, Pool& aPool)
  : m_stream(aIo)
  , m_pool(&aPool)
  , m_exchange(m_stream, aPool.m_address)
{
}

void PoolConnection::Start(PendingCall aCall)
{
  m_call = std::move(aCall);
  m_busy = true;
  m_sent = false;
  m_stream.expires_after(m_call.m_expires - Clock::now());
  if (m_stream.socket().is_open()) {
    Exchange();
  } else {
    Connect();
  }
}

void PoolConnection::Connect()
{
  m_stream.async_connect(
    m_pool->m_endpoint, [self = shared_from_this()](beast::error_code aCode) {
      if (aCode) {
        self->FailToConnect(aCode);
        return;
      }
      boost::system::error_code ignored;
      self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
      self->Exchange();
    });
}

void PoolConnection::FailToConnect(beast::error_code aCode)
{
  if (m_pool != nullptr) {
    Fail(Error{ aCode == beast::error::timeout ? ErrorCode::Timeout
                                               : ErrorCode::Unavailable,
                "connect",
                m_pool->m_address,
                aCode.message() });
  }
}

void PoolConnection::Exchange()
{
  m_sent = true;
  m_exchange.Run(m_call.m_request,
                 true,
                 shared_from_this(),
                 [this](std::optional<Error> aError) {
                   if (aError) {
                     Fail(std::move(*aError));
                   } else {
                     Finish();
                   }
                 });
}

void PoolConnection::Finish()
{
  m_stream.expires_never();
  m_busy = false;
  if (m_pool == nullptr) {
    return;
  }
  HttpOutcome outcome{ m_exchange.TakeAnswer(), true, {} };
  const auto onOutcome = std::exchange(m_call.m_onOutcome, nullptr);
  const auto self = shared_from_this();
  if (m_exchange.IsReusable()) {
    WatchWhileIdle();
    m_pool->Release(self);
  } else {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
    m_pool->Remove(self);
  }
  onOutcome(std::move(outcome));
}

void PoolConnection::Fail(Error aError)
{
  m_busy = false;
  if (m_pool == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_stream.socket().close(ignored);
  const auto onOutcome = std::exchange(m_call.m_onOutcome, nullptr);
  m_pool->Remove(self);
  onOutcome({ std::nullopt, m_sent, std::move(aError) });
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
