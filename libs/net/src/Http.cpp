// The HTTP server; its connections are in HttpSession.cpp, the client in
// HttpClient.cpp.
#include "HttpSession.h"

#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <set>

namespace wigeonfold::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// How often the time limits of the clients are checked.
constexpr std::chrono::seconds kTimeLimitCheckPeriod{ 1 };
// Wait after a failed accept, such as when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
// How long a request that has begun to arrive at the end of a drain's linger
// may take to arrive whole: a few round trips between availability zones.
constexpr std::chrono::milliseconds kUnfinishedRequestWait{ 200 };

class Server
  : public HttpServer
  , public HttpSessionHost
{
public:
  Server(tcp::acceptor aAcceptor,
         HttpHandler aHandler,
         std::vector<HttpField> aRejectFields,
         HttpLimits aLimits,
         HttpOnFailure aOnFailure)
    : HttpSessionHost(std::move(aHandler),
                      std::move(aRejectFields),
                      std::move(aOnFailure))
    , m_limits(aLimits)
    , m_acceptor(std::move(aAcceptor))
    , m_timer(m_acceptor.get_executor())
    , m_timeLimitTimer(m_acceptor.get_executor())
    , m_alive(std::make_shared<bool>(true))
  {
    Accept();
    CheckTimeLimits();
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
    m_timeLimitTimer.cancel();
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
  void SetCallerLimits(const CallerLimits& aLimits) override
  {
    m_limits.m_caller = aLimits;
  }
  const CallerLimits& GetCallerLimits() const override
  {
    return m_limits.m_caller;
  }
  bool IsDraining() const override { return m_draining; }
  bool IsLingerOver() const override { return m_lingerOver; }

  void Remove(const std::shared_ptr<HttpSession>& aSession) override
  {
    m_sessions.erase(aSession);
    if (m_lingerOver && m_sessions.empty() && m_onDrained) {
      asio::post(m_acceptor.get_executor(),
                 std::exchange(m_onDrained, nullptr));
    }
  }

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
    auto session =
      std::make_shared<HttpSession>(std::move(aSocket), *this, m_limits);
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

  // The listening socket stays usable after errors such as running out of file
  // descriptors.
  void AcceptLater()
  {
    auto timer = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(),
                                                      kAcceptRetryDelay);
    timer->async_wait(
      [this, timer, alive = m_alive](boost::system::error_code aCode) {
        if (!aCode && *alive && m_acceptor.is_open()) {
          Accept();
        }
      });
  }

  void CheckTimeLimits()
  {
    m_timeLimitTimer.expires_after(kTimeLimitCheckPeriod);
    m_timeLimitTimer.async_wait(
      [this, alive = m_alive](boost::system::error_code aCode) {
        if (aCode || !*alive) {
          return;
        }
        const TimePoint now = Clock::now();
        const auto sessions = m_sessions;
        for (const auto& session : sessions) {
          session->CheckTimeLimits(now, m_limits.m_caller);
        }
        CheckTimeLimits();
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

  // Clients that never complete their request must not delay the shutdown.
  void CloseUnfinished()
  {
    const auto sessions = m_sessions;
    for (const auto& session : sessions) {
      session->CloseIfReading();
    }
  }

  HttpLimits m_limits;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_timer;
  asio::steady_timer m_timeLimitTimer;
  std::set<std::shared_ptr<HttpSession>> m_sessions;
  std::function<void()> m_onDrained;
  bool m_draining = false;
  bool m_lingerOver = false;
  std::shared_ptr<bool> m_alive; // false once the server is destroyed
};

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
  HttpLimits aLimits,
  HttpOnFailure aOnFailure)
{
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(aAddress.m_host),
                                 aAddress.m_port);
    tcp::acceptor acceptor(aIo, endpoint);
    return std::unique_ptr<HttpServer>(
      std::make_unique<Server>(std::move(acceptor),
                               std::move(aHandler),
                               std::move(aRejectFields),
                               aLimits,
                               std::move(aOnFailure)));
  } catch (const boost::system::system_error& error) {
    return Error{
      ErrorCode::Io, "listen", ToString(aAddress), error.code().message()
    };
  }
}

} // namespace wigeonfold::net
