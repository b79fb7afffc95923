#include "wigeonfold/net/Connection.h"

#include "wigeonfold/net/ByteBudget.h"

#include "LinkService.h"

#include "wigeonfold/net/SocketIo.h"

#include <utility>

#include <boost/asio.hpp>

namespace wigeonfold::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Wait after a failed accept, such as when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
// How often a connection on a silent link checks whether it is up again.
constexpr std::chrono::milliseconds kLinkCheckPeriod{ 20 };

std::string PeerName(const tcp::socket& aSocket)
{
  boost::system::error_code code;
  const tcp::endpoint endpoint = aSocket.remote_endpoint(code);
  if (code) {
    return "unknown";
  }
  return ToString(
    SocketAddress{ endpoint.address().to_string(), endpoint.port() });
}

// ---- Connection ------------------------------------------------------------

// Bytes of unfinished frames that the accepted connections of a listener hold
// together, and the part of each that doesn't count.
constexpr size_t kMaxPendingBytes = size_t{ 32 } << 20;
constexpr size_t kFreePendingBytes = size_t{ 64 } << 10;

class TcpConnection : public Connection
{
public:
  TcpConnection(asio::io_context& aIo,
                tcp::socket aSocket,
                ConnectionHandlers aHandlers,
                std::shared_ptr<ByteBudget> aBudget = nullptr)
    : m_links(asio::use_service<LinkService>(aIo))
    , m_socket(std::move(aSocket))
    , m_linkTimer(aIo)
    , m_handlers(std::move(aHandlers))
    , m_peer(PeerName(m_socket))
    , m_reader(m_peer)
    , m_pendingShare(std::move(aBudget), kFreePendingBytes)
  {
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_peerHost = m_socket.remote_endpoint(ignored).address().to_string(ignored);
  }

  void Start() { Read(); }

  bool SendFrame(wire::FrameType aType, const std::string& aPayload) override
  {
    if (!m_open || m_closeAfterWrites ||
        QueuedBytes() + aPayload.size() > kMaxQueuedBytes ||
        aPayload.size() > wire::kMaxPayloadBytes) {
      return false;
    }
    wire::AppendFrame(m_queued,
                      aType,
                      ProcessClock().Now(std::chrono::system_clock::now()),
                      aPayload);
    Write();
    return true;
  }

  void Close() override
  {
    if (!m_open) {
      return;
    }
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_linkTimer.cancel();
    // Posted, because a handler may be running now and must not be destroyed.
    asio::post(m_socket.get_executor(),
               [self = Self()] { self->m_handlers = {}; });
  }

  void CloseAfterWrites() override
  {
    m_closeAfterWrites = true;
    if (m_writing.empty()) {
      Close();
    }
  }

  bool IsOpen() const override { return m_open; }
  size_t QueuedBytes() const override
  {
    return m_queued.size() + m_writing.size();
  }
  uint64_t BytesSent() const override { return m_sent; }
  uint64_t BytesReceived() const override { return m_received; }
  const std::string& Peer() const override { return m_peer; }

private:
  std::shared_ptr<TcpConnection> Self()
  {
    return std::static_pointer_cast<TcpConnection>(shared_from_this());
  }

  void Read()
  {
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = Self()](boost::system::error_code aCode) {
                          if (!aCode) {
                            self->OnReadable();
                          }
                        });
  }

  void OnReadable()
  {
    if (!m_open ||
        HandleLinkDown([](TcpConnection& aSelf) { aSelf.OnReadable(); })) {
      return;
    }
    boost::system::error_code code;
    const std::string_view bytes = ReceiveNow(m_socket, code);
    if (code == asio::error::would_block) {
      Read();
      return;
    }
    if (code) {
      Fail(
        Error{ ErrorCode::Unavailable, "read frame", m_peer, code.message() });
      return;
    }
    m_received += bytes.size();
    m_reader.Feed(bytes);
    while (m_open) {
      auto next = m_reader.Next();
      if (!next) {
        Fail(next.error());
        return;
      }
      if (!next.value()) {
        break;
      }
      ProcessClock().Observe(next.value()->m_time);
      if (!HandleFrame(std::move(*next.value()))) {
        return;
      }
    }
    if (!m_open) {
      return;
    }
    if (!m_pendingShare.Set(m_reader.PendingBytes())) {
      Fail(Error{ ErrorCode::Protocol,
                  "read frame",
                  m_peer,
                  "unfinished frames of all connections exceed the limit" });
      return;
    }
    Read();
  }

  // False when the handler threw, which ends this connection alone.
  bool HandleFrame(wire::Frame aFrame)
  {
    if (!m_handlers.m_onFrame) {
      return true;
    }
    try {
      m_handlers.m_onFrame(Self(), std::move(aFrame));
      return true;
    } catch (const std::exception& error) {
      Fail(Error{ ErrorCode::Protocol, "handle frame", m_peer, error.what() });
      return false;
    }
  }

  void Write()
  {
    if (!m_writing.empty() || m_queued.empty() || !m_open) {
      return;
    }
    const LinkState link = m_links.StateOf(m_peerHost);
    if (link != LinkState::Up) {
      RetryWriteLater();
      return;
    }
    m_writing.swap(m_queued);
    boost::system::error_code ignored; // the next write fails as well
    const size_t sent = SendNow(m_socket, { m_writing }, ignored);
    m_sent += sent;
    if (sent == m_writing.size()) {
      m_writing.clear();
      return;
    }
    m_writing.erase(0, sent);
    asio::async_write(
      m_socket,
      asio::buffer(m_writing),
      [self = Self()](boost::system::error_code aCode, size_t aBytes) {
        self->OnWritten(aCode, aBytes);
      });
  }

  void OnWritten(const boost::system::error_code& aCode, size_t aBytes)
  {
    if (!m_open) {
      return;
    }
    if (aCode) {
      Fail(Error{
        ErrorCode::Unavailable, "write frame", m_peer, aCode.message() });
      return;
    }
    m_sent += aBytes;
    m_writing.clear();
    Write();
    if (m_writing.empty() && m_closeAfterWrites) {
      Close();
    }
  }

  // ---- Injected faults ----

  // Returns false when the link is up. Otherwise fails the connection if the
  // link is refused, or calls aRetry later if it is silent, and returns true.
  bool HandleLinkDown(std::function<void(TcpConnection&)> aRetry)
  {
    const LinkState link = m_links.StateOf(m_peerHost);
    if (link == LinkState::Up) {
      return false;
    }
    if (link == LinkState::Refused) {
      Fail(Error{ ErrorCode::Unavailable,
                  "read frame",
                  m_peer,
                  "link cut by a fault injection rule" });
      return true;
    }
    m_linkTimer.expires_after(kLinkCheckPeriod);
    m_linkTimer.async_wait([self = Self(), retry = std::move(aRetry)](
                             boost::system::error_code aCode) {
      if (!aCode) {
        retry(*self);
      }
    });
    return true;
  }

  void RetryWriteLater()
  {
    if (m_writeRetryPending) {
      return;
    }
    m_writeRetryPending = true;
    auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(),
                                                      kLinkCheckPeriod);
    timer->async_wait([self = Self(), timer](boost::system::error_code aCode) {
      self->m_writeRetryPending = false;
      if (aCode || !self->m_open) {
        return;
      }
      if (self->m_links.StateOf(self->m_peerHost) == LinkState::Refused) {
        self->Fail(Error{ ErrorCode::Unavailable,
                          "write frame",
                          self->m_peer,
                          "link cut by a fault injection rule" });
        return;
      }
      self->Write();
    });
  }

  void Fail(const Error& aError)
  {
    const auto onClose = m_handlers.m_onClose;
    Close();
    if (onClose) {
      onClose(Self(), aError);
    }
  }

  const LinkService& m_links;
  tcp::socket m_socket;
  asio::steady_timer m_linkTimer; // waits while the link is silent
  ConnectionHandlers m_handlers;
  std::string m_peer;
  std::string m_peerHost;
  wire::FrameReader m_reader;
  BudgetShare m_pendingShare;
  std::string m_queued;
  std::string m_writing;
  bool m_open = true;
  bool m_closeAfterWrites = false;
  bool m_writeRetryPending = false;
  uint64_t m_sent = 0;
  uint64_t m_received = 0;
};

// ---- Listener --------------------------------------------------------------

class TcpListener : public Listener
{
public:
  TcpListener(asio::io_context& aIo,
              tcp::acceptor aAcceptor,
              ConnectionHandlers aHandlers,
              std::function<void(const ConnectionPtr&)> aOnAccept)
    : m_state(std::make_shared<State>(aIo,
                                      std::move(aAcceptor),
                                      std::move(aHandlers),
                                      std::move(aOnAccept)))
  {
    Accept(m_state);
  }
  ~TcpListener() override { Stop(); }

  void Stop() override
  {
    boost::system::error_code ignored;
    m_state->m_acceptor.close(ignored);
    m_state->m_retry.cancel();
  }

  uint16_t Port() const override
  {
    boost::system::error_code ignored;
    return m_state->m_acceptor.local_endpoint(ignored).port();
  }

private:
  struct State
  {
    State(asio::io_context& aIo,
          tcp::acceptor aAcceptor,
          ConnectionHandlers aHandlers,
          std::function<void(const ConnectionPtr&)> aOnAccept)
      : m_io(aIo)
      , m_acceptor(std::move(aAcceptor))
      , m_retry(m_acceptor.get_executor())
      , m_handlers(std::move(aHandlers))
      , m_onAccept(std::move(aOnAccept))
    {
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    ConnectionHandlers m_handlers;
    std::function<void(const ConnectionPtr&)> m_onAccept;
    const std::shared_ptr<ByteBudget> m_budget =
      std::make_shared<ByteBudget>(kMaxPendingBytes);
  };

  static void Accept(const std::shared_ptr<State>& aState)
  {
    aState->m_acceptor.async_accept([aState](boost::system::error_code aCode,
                                             tcp::socket aSocket) {
      if (!aState->m_acceptor.is_open()) {
        return;
      }
      if (aCode) {
        AcceptLater(aState);
        return;
      }
      auto connection = std::make_shared<TcpConnection>(
        aState->m_io, std::move(aSocket), aState->m_handlers, aState->m_budget);
      if (aState->m_onAccept) {
        aState->m_onAccept(connection);
      }
      connection->Start();
      Accept(aState);
    });
  }

  static void AcceptLater(const std::shared_ptr<State>& aState)
  {
    aState->m_retry.expires_after(kAcceptRetryDelay);
    aState->m_retry.async_wait([aState](boost::system::error_code aCode) {
      if (!aCode && aState->m_acceptor.is_open()) {
        Accept(aState);
      }
    });
  }

  std::shared_ptr<State> m_state;
};

// ---- Connect ---------------------------------------------------------------

struct Attempt
{
  explicit Attempt(asio::io_context& aIo)
    : m_io(aIo)
    , m_socket(aIo)
    , m_timer(aIo)
  {
  }

  asio::io_context& m_io;
  tcp::socket m_socket;
  asio::steady_timer m_timer;
  bool m_timedOut = false;
};

// Fails an attempt to connect over a link that is down: at once when the link
// is refused, after the time-out when it is silent.
void FailOnDownLink(const std::shared_ptr<Attempt>& aAttempt,
                    LinkState aLink,
                    const SocketAddress& aAddress,
                    Duration aTimeout,
                    std::function<void(Result<ConnectionPtr>)> aDone)
{
  const bool silent = aLink == LinkState::Silent;
  aAttempt->m_timer.expires_after(silent ? aTimeout : Duration::zero());
  aAttempt->m_timer.async_wait(
    [aAttempt, silent, aAddress, done = std::move(aDone)](
      boost::system::error_code) {
      done(Error{ silent ? ErrorCode::Timeout : ErrorCode::Unavailable,
                  "connect",
                  ToString(aAddress),
                  "link cut by a fault injection rule" });
    });
}

// Sets the source address. On failure the operating system chooses it.
void BindToLocalHost(tcp::socket& aSocket, const std::string& aHost)
{
  boost::system::error_code code;
  const tcp::endpoint local(asio::ip::make_address(aHost, code), 0);
  if (!code) {
    aSocket.open(local.protocol(), code);
    aSocket.bind(local, code);
  }
}

} // namespace

void Connect(asio::io_context& aIo,
             const SocketAddress& aAddress,
             Duration aTimeout,
             ConnectionHandlers aHandlers,
             std::function<void(Result<ConnectionPtr>)> aDone)
{
  boost::system::error_code code;
  const auto address = asio::ip::make_address(aAddress.m_host, code);
  if (code) {
    asio::post(aIo, [aAddress, done = std::move(aDone)] {
      done(Error{ ErrorCode::InvalidArgument,
                  "connect",
                  ToString(aAddress),
                  "host is not an IP address" });
    });
    return;
  }
  auto attempt = std::make_shared<Attempt>(aIo);
  const auto& links = asio::use_service<LinkService>(aIo);
  const LinkState link = links.StateOf(aAddress.m_host);
  if (link != LinkState::Up) {
    FailOnDownLink(attempt, link, aAddress, aTimeout, std::move(aDone));
    return;
  }
  if (!links.m_localHost.empty()) {
    BindToLocalHost(attempt->m_socket, links.m_localHost);
  }
  attempt->m_timer.expires_after(aTimeout);
  attempt->m_timer.async_wait([attempt](boost::system::error_code aCode) {
    if (!aCode) {
      attempt->m_timedOut = true;
      boost::system::error_code ignored;
      attempt->m_socket.close(ignored);
    }
  });
  attempt->m_socket.async_connect(
    tcp::endpoint(address, aAddress.m_port),
    [attempt,
     aAddress,
     handlers = std::move(aHandlers),
     done = std::move(aDone)](boost::system::error_code aCode) mutable {
      attempt->m_timer.cancel();
      if (aCode || attempt->m_timedOut) {
        done(Error{ attempt->m_timedOut ? ErrorCode::Timeout
                                        : ErrorCode::Unavailable,
                    "connect",
                    ToString(aAddress),
                    aCode.message() });
        return;
      }
      auto connection = std::make_shared<TcpConnection>(
        attempt->m_io, std::move(attempt->m_socket), std::move(handlers));
      done(ConnectionPtr(connection));
      if (connection->IsOpen()) {
        connection->Start();
      }
    });
}

Result<std::unique_ptr<Listener>> Listen(
  asio::io_context& aIo,
  const SocketAddress& aAddress,
  ConnectionHandlers aHandlers,
  std::function<void(const ConnectionPtr&)> aOnAccept)
{
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(aAddress.m_host),
                                 aAddress.m_port);
    tcp::acceptor acceptor(aIo, endpoint);
    return std::unique_ptr<Listener>(std::make_unique<TcpListener>(
      aIo, std::move(acceptor), std::move(aHandlers), std::move(aOnAccept)));
  } catch (const boost::system::system_error& error) {
    return Error{
      ErrorCode::Io, "listen", ToString(aAddress), error.code().message()
    };
  }
}

} // namespace wigeonfold::net
