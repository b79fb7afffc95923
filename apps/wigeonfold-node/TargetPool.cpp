#include "TargetPool.h"

#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/net/Http.h"

#include <utility>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace wigeonfold::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using Request = http::request<http::span_body<const char>>;
using Parser = http::response_parser<http::string_body>;

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Answers to earlier requests that are skipped before the connection is given
// up.
constexpr int kMaxSkipped = 2;
const std::string kTimeoutParameter = "timeout=";
constexpr int64_t kMaxKeepAliveSeconds = 3600;
// For targets that do not say when they close idle connections.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);

// ---- Connection ------------------------------------------------------------

class Connection
  : public TargetConnection
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aIo, uint64_t aGeneration)
    : m_socket(aIo)
    , m_timer(aIo)
    , m_generation(aGeneration)
  {
  }

  void Connect(const tcp::endpoint& aEndpoint,
               Duration aTimeout,
               std::function<void(bool)> aDone)
  {
    m_timer.expires_after(aTimeout);
    m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aCode) {
        if (!aCode) {
          boost::system::error_code ignored;
          self->m_socket.close(ignored);
        }
      });
    m_socket.async_connect(
      aEndpoint,
      [self = shared_from_this(), done = std::move(aDone)](
        boost::system::error_code aCode) { self->OnConnected(aCode, done); });
  }

  void Run(TargetRequest aRequest, std::function<void(Exchange)> aDone) override
  {
    m_source = std::move(aRequest.m_call);
    m_belongs = std::move(aRequest.m_belongs);
    m_done = std::move(aDone);
    m_written = false;
    m_skipped = 0;
    PrepareRequest(aRequest.m_extra);
    Read();
    http::async_write(
      m_socket,
      *m_request,
      [self = shared_from_this()](beast::error_code aCode, size_t aBytes) {
        self->OnWritten(aCode, aBytes);
      });
  }

  void Close() override
  {
    m_closed = true;
    m_done = nullptr;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  void SetIdleSince(TimePoint aNow) { m_idleSince = aNow; }
  bool IsStale(TimePoint aNow) const
  {
    return aNow - m_idleSince >= m_idleLimit;
  }

  // Whether an idle connection is open and silent. A readable idle connection
  // was closed by the target or holds bytes of an answer to nobody.
  bool IsQuiet()
  {
    char byte = 0;
    boost::system::error_code code;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block || code == asio::error::try_again;
  }

  uint64_t Generation() const { return m_generation; }

private:
  void OnConnected(const boost::system::error_code& aCode,
                   const std::function<void(bool)>& aDone)
  {
    m_timer.cancel();
    if (m_closed) {
      return;
    }
    const bool connected = !aCode && m_socket.is_open();
    if (connected) {
      boost::system::error_code ignored;
      m_socket.set_option(tcp::no_delay(true), ignored);
      m_socket.non_blocking(true, ignored);
    }
    aDone(connected);
  }

  void PrepareRequest(const std::vector<wire::HeaderField>& aExtra)
  {
    m_request.emplace();
    m_request->method_string(m_source->method);
    m_request->target(m_source->path);
    m_request->version(11);
    for (const wire::HeaderField& field : m_source->headers) {
      m_request->insert(field.name, field.value);
    }
    for (const wire::HeaderField& field : aExtra) {
      m_request->insert(field.name, field.value);
    }
    m_request->body() = { m_source->body.data(), m_source->body.size() };
    m_request->prepare_payload();
  }

  void Read()
  {
    m_parser.emplace();
    m_parser->body_limit(net::kMaxBodyBytes);
    m_parser->skip(m_source->method == "HEAD");
    // Beast 1.74 loses the body limit error of a header that is parsed together
    // with body bytes, so the header is read on its own.
    http::async_read_header(
      m_socket,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](beast::error_code aCode, size_t) {
        self->OnHeader(aCode);
      });
  }

  void OnHeader(const beast::error_code& aCode)
  {
    if (aCode || !m_done || m_parser->is_done()) {
      OnRead(aCode);
      return;
    }
    http::async_read(
      m_socket,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](beast::error_code aReadCode, size_t) {
        self->OnRead(aReadCode);
      });
  }

  void OnWritten(const beast::error_code& aCode, size_t aBytes)
  {
    m_written = !aCode;
    // After a part was written the target may still answer, so the read
    // decides; without a byte written there is nothing to wait for.
    if (aCode && aBytes == 0 && m_done) {
      Exchange exchange;
      exchange.m_anyByteWritten = false;
      Finish(std::move(exchange));
    }
  }

  void OnRead(const beast::error_code& aCode)
  {
    if (!m_done) {
      return;
    }
    Exchange exchange;
    if (aCode) {
      if (aCode == http::error::body_limit) {
        exchange.m_kind = Exchange::Kind::Unusable;
      }
      Finish(std::move(exchange));
      return;
    }
    const int status = m_parser->get().result_int();
    if (status < kFirstFinalStatus && status != kSwitchingProtocols) {
      Read(); // an interim answer
      return;
    }
    exchange.m_kind = status == kSwitchingProtocols ? Exchange::Kind::Unusable
                                                    : Exchange::Kind::Answer;
    exchange.m_reusable =
      m_written && m_buffer.size() == 0 && m_parser->keep_alive();
    const bool delimited = IsDelimited(status);
    m_idleLimit = KeepAliveLimit();
    TakeAnswer(exchange);
    if (m_belongs && !m_belongs(exchange.m_headers)) {
      Skip(delimited);
      return;
    }
    Finish(std::move(exchange));
  }

  // Reads on behind an answer to another request.
  void Skip(bool aDelimited)
  {
    if (aDelimited && ++m_skipped <= kMaxSkipped) {
      Read();
    } else {
      Finish(Exchange{});
    }
  }

  // Without a length the answer ends with the connection. A reset fails the
  // read, so only an orderly close ends such an answer as complete.
  bool IsDelimited(int aStatus) const
  {
    const bool empty = aStatus == kNoContent || aStatus == kNotModified ||
                       m_source->method == "HEAD";
    return empty || m_parser->chunked() || m_parser->content_length();
  }

  // How long the connection may be idle before the target may close it.
  Duration KeepAliveLimit() const
  {
    const std::string value(m_parser->get()["Keep-Alive"]);
    const size_t at = value.find(kTimeoutParameter);
    if (at == std::string::npos) {
      return kDefaultIdleLimit;
    }
    const auto seconds = forwarding::ParseNumber(value.substr(
      at + kTimeoutParameter.size(),
      value.find_first_not_of("0123456789", at + kTimeoutParameter.size()) -
        (at + kTimeoutParameter.size())));
    // The target's clock starts earlier than this one and its close travels.
    return seconds && *seconds <= kMaxKeepAliveSeconds
             ? std::chrono::milliseconds(*seconds * 1000 * 3 / 4)
             : kDefaultIdleLimit;
  }

  void TakeAnswer(Exchange& aExchange)
  {
    auto answer = m_parser->release();
    aExchange.m_status = answer.result_int();
    for (const auto& field : answer) {
      wire::HeaderField& added = aExchange.m_headers.emplace_back();
      added.name = std::string(field.name_string());
      added.value = std::string(field.value());
    }
    aExchange.m_body = std::move(answer.body());
  }

  void Finish(Exchange aExchange)
  {
    if (m_written) {
      m_source = nullptr; // an unfinished write still reads the body
    }
    std::exchange(m_done, nullptr)(std::move(aExchange));
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  const uint64_t m_generation;
  beast::flat_buffer m_buffer;
  std::shared_ptr<const wire::CallRequest> m_source;
  std::optional<Request> m_request;
  std::optional<Parser> m_parser;
  std::function<void(Exchange)> m_done;
  std::function<bool(const std::vector<wire::HeaderField>&)> m_belongs;
  Duration m_idleLimit = kDefaultIdleLimit;
  TimePoint m_idleSince{};
  int m_skipped = 0;
  bool m_written = false;
  bool m_closed = false;
};

// ---- Pool ------------------------------------------------------------------

class Pool : public TargetPool
{
public:
  Pool(asio::io_context& aIo, Duration aConnectTimeout)
    : m_io(aIo)
    , m_connectTimeout(aConnectTimeout)
  {
  }
  ~Pool() override { CloseIdle(); }

  void SetTarget(const SocketAddress& aAddress, size_t aMaxConnections) override
  {
    boost::system::error_code code;
    const auto address = asio::ip::make_address(aAddress.m_host, code);
    m_endpoint = tcp::endpoint(address, aAddress.m_port);
    m_maxConnections = aMaxConnections;
    ++m_generation;
    CloseIdle();
  }

  void SetMaxConnections(size_t aMaxConnections) override
  {
    m_maxConnections = aMaxConnections;
  }

  void CloseIdle() override
  {
    for (const auto& connection : std::exchange(m_idle, {})) {
      connection->Close();
    }
  }

  TargetConnectionPtr TakeIdle() override
  {
    while (!m_idle.empty()) {
      const auto connection = std::move(m_idle.back());
      m_idle.pop_back();
      if (!connection->IsStale(Clock::now()) && connection->IsQuiet()) {
        return connection;
      }
      connection->Close();
    }
    return nullptr;
  }

  TargetConnectionPtr Open(std::function<void(bool)> aDone) override
  {
    auto connection = std::make_shared<Connection>(m_io, m_generation);
    connection->Connect(m_endpoint, m_connectTimeout, std::move(aDone));
    return connection;
  }

  void GiveBack(TargetConnectionPtr aConnection) override
  {
    auto connection = std::static_pointer_cast<Connection>(aConnection);
    if (connection->Generation() != m_generation ||
        m_idle.size() >= m_maxConnections) {
      connection->Close();
      return;
    }
    connection->SetIdleSince(Clock::now());
    m_idle.push_back(std::move(connection));
  }

  void Sweep() override
  {
    const TimePoint now = Clock::now();
    const auto dead = std::stable_partition(
      m_idle.begin(), m_idle.end(), [now](const auto& aConnection) {
        return !aConnection->IsStale(now) && aConnection->IsQuiet();
      });
    std::for_each(dead, m_idle.end(), [](const auto& aOne) { aOne->Close(); });
    m_idle.erase(dead, m_idle.end());
  }

  size_t Idle() const override { return m_idle.size(); }

private:
  asio::io_context& m_io;
  const Duration m_connectTimeout;
  tcp::endpoint m_endpoint;
  size_t m_maxConnections = 0;
  uint64_t m_generation = 0;
  std::vector<std::shared_ptr<Connection>> m_idle;
};

} // namespace

std::unique_ptr<TargetPool> MakeTargetPool(asio::io_context& aIo,
                                           Duration aConnectTimeout)
{
  return std::make_unique<Pool>(aIo, aConnectTimeout);
}

} // namespace wigeonfold::node
