#include "TargetPool.h"

#include "wigeonfold/net/AnswerReader.h"
#include "wigeonfold/net/SocketIo.h"

#include <utility>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <optional>

namespace wigeonfold::node {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using ReadResult = net::AnswerReader::Result;

// Answers to earlier requests that are skipped before the connection is closed.
constexpr int kMaxSkipped = 2;
const std::string kTimeoutParameter = "timeout=";
constexpr int64_t kMaxKeepAliveSeconds = 3600;
// For targets that don't announce when they close idle connections.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);

// For this long after a target sent bytes that are no answer to any request,
// each request to it gets a connection of its own.
constexpr Duration kSurplusMemory = std::chrono::seconds(10);

// What the connections of a pool have in common.
struct TargetConduct
{
  // When the target last sent bytes beyond an answer that begin no other one.
  // They may arrive after the next request was written, and are then taken for
  // its answer.
  std::optional<TimePoint> m_surplusAt;

  bool HasSentSurplus(TimePoint aNow) const
  {
    return m_surplusAt && aNow - *m_surplusAt < kSurplusMemory;
  }
};

// ---- Connection ------------------------------------------------------------

class Connection
  : public TargetConnection
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aIo,
             uint64_t aGeneration,
             std::shared_ptr<TargetConduct> aConduct)
    : m_socket(aIo)
    , m_timer(aIo)
    , m_generation(aGeneration)
    , m_conduct(std::move(aConduct))
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
    m_request = std::move(aRequest.m_call);
    m_originOf = std::move(aRequest.m_originOf);
    m_done = std::move(aDone);
    m_sent = 0;
    m_written = false;
    m_writeError.clear();
    m_skipped = 0;
    PrepareHead(aRequest.m_extra);
    m_reader.Begin(m_request->method == "HEAD");
    WaitForBytes();
    Write();
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

  // True if an idle connection is open and has nothing to read. Otherwise the
  // target closed it or sent bytes that answer no request.
  bool IsQuiet()
  {
    std::array<char, 5> bytes{};
    boost::system::error_code code;
    const size_t count =
      m_socket.receive(asio::buffer(bytes), tcp::socket::message_peek, code);
    if (!code && !BeginsAnswer({ bytes.data(), count })) {
      m_conduct->m_surplusAt = Clock::now();
    }
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

  void PrepareHead(const std::vector<wire::HeaderField>& aExtra)
  {
    m_head.assign(m_request->method);
    m_head.append(" ").append(m_request->path).append(" HTTP/1.1\r\n");
    for (const auto* fields : { &m_request->headers, &aExtra }) {
      for (const wire::HeaderField& field : *fields) {
        AppendField(field.name, field.value);
      }
    }
    // Without a body the length is sent only for methods that expect a body.
    if (!m_request->body.empty() || m_request->method == "POST" ||
        m_request->method == "PUT") {
      AppendField("Content-Length", std::to_string(m_request->body.size()));
    }
    m_head.append("\r\n");
  }

  void AppendField(std::string_view aName, std::string_view aValue)
  {
    m_head.append(aName).append(": ").append(aValue).append("\r\n");
  }

  // Writes what the socket accepts, and the rest once it accepts more. Each
  // write happens here, in the handler that gets its result; see
  // net::IsOrderlyEnd().
  void Write()
  {
    const std::string_view head = m_head;
    const std::string_view body = m_request->body;
    const size_t ofHead = std::min(m_sent, head.size());
    boost::system::error_code code;
    m_sent += net::SendNow(
      m_socket, { head.substr(ofHead), body.substr(m_sent - ofHead) }, code);
    if (m_sent == head.size() + body.size()) {
      m_written = true;
    } else if (code && code != asio::error::would_block) {
      OnWriteFailed(code);
    } else {
      WaitToWrite();
    }
  }

  void WaitToWrite()
  {
    m_socket.async_wait(
      tcp::socket::wait_write,
      [self = shared_from_this()](boost::system::error_code aCode) {
        if (!aCode && self->m_done) {
          self->Write();
        }
      });
  }

  // If a part was written the target may still answer, so the read determines
  // the result. If no byte was written no answer can come.
  void OnWriteFailed(const boost::system::error_code& aCode)
  {
    m_writeError = aCode;
    if (m_sent > 0) {
      return;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      if (self->m_done) {
        Exchange exchange;
        exchange.m_anyByteWritten = false;
        self->Finish(std::move(exchange));
      }
    });
  }

  void WaitForBytes()
  {
    m_socket.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code aCode) {
        if (!aCode && self->m_done) {
          self->Receive();
        }
      });
  }

  void Receive()
  {
    boost::system::error_code code;
    const std::string_view bytes = net::ReceiveNow(m_socket, code);
    if (code == asio::error::would_block) {
      WaitForBytes();
      return;
    }
    OnRead(code ? m_reader.End(net::IsOrderlyEnd(code, m_writeError))
                : m_reader.Add(bytes));
  }

  void OnRead(ReadResult aResult)
  {
    switch (aResult) {
      case ReadResult::Incomplete:
        WaitForBytes();
        break;
      case ReadResult::Whole:
        OnAnswer();
        break;
      case ReadResult::Broken:
        OnBroken();
        break;
      case ReadResult::Missing:
        Finish(Exchange{});
        break;
    }
  }

  void OnAnswer()
  {
    m_hasAnswered = true;
    Exchange exchange;
    exchange.m_kind = Exchange::Kind::Answer;
    exchange.m_reusable =
      m_written && !m_reader.HasSurplus() && m_reader.KeepsConnection();
    const bool delimited = m_reader.IsDelimited();
    TakeAnswer(exchange);
    m_idleLimit = KeepAliveLimit(exchange.m_headers);
    const forwarding::AnswerOrigin origin =
      m_originOf ? m_originOf(exchange.m_headers)
                 : forwarding::AnswerOrigin::Unnamed;
    if (origin == forwarding::AnswerOrigin::Other) {
      Skip(delimited);
      return;
    }
    exchange.m_mayBeLate =
      m_answersNamed && origin == forwarding::AnswerOrigin::Unnamed;
    m_answersNamed |= origin == forwarding::AnswerOrigin::Named;
    Finish(std::move(exchange));
  }

  void OnBroken()
  {
    const net::AnswerFault fault = m_reader.Fault().m_fault;
    if (m_hasAnswered && !m_reader.IsHeadRead() &&
        fault != net::AnswerFault::CutShort) {
      m_conduct->m_surplusAt = Clock::now();
    }
    Exchange exchange;
    exchange.m_kind = fault == net::AnswerFault::CutShort
                        ? Exchange::Kind::Lost
                        : Exchange::Kind::Unusable;
    exchange.m_broken = m_reader.Fault();
    Finish(std::move(exchange));
  }

  // A late copy of an answer is told from the answer to the next request by the
  // request that it names, so it gives no reason for distrust.
  static bool BeginsAnswer(std::string_view aBytes)
  {
    constexpr std::string_view kVersion = "HTTP/";
    return aBytes == kVersion.substr(0, aBytes.size());
  }

  // Discards an answer to another request and reads the next one.
  void Skip(bool aDelimited)
  {
    if (aDelimited && ++m_skipped <= kMaxSkipped) {
      m_reader.Begin(m_request->method == "HEAD");
      OnRead(m_reader.Add({})); // bytes behind the skipped answer
    } else {
      Finish(Exchange{});
    }
  }

  // How long the connection may be idle without the target closing it.
  static Duration KeepAliveLimit(const std::vector<wire::HeaderField>& aFields)
  {
    const std::string* value = forwarding::FindField(aFields, "Keep-Alive");
    const size_t at =
      value == nullptr ? std::string::npos : value->find(kTimeoutParameter);
    if (at == std::string::npos) {
      return kDefaultIdleLimit;
    }
    const auto seconds = forwarding::ParseNumber(value->substr(
      at + kTimeoutParameter.size(),
      value->find_first_not_of("0123456789", at + kTimeoutParameter.size()) -
        (at + kTimeoutParameter.size())));
    // Uses three quarters of the target's timeout: the target starts to count
    // earlier, and its close takes time to arrive.
    return seconds && *seconds <= kMaxKeepAliveSeconds
             ? std::chrono::milliseconds(*seconds * 1000 * 3 / 4)
             : kDefaultIdleLimit;
  }

  void TakeAnswer(Exchange& aExchange)
  {
    net::HttpResponse answer = m_reader.TakeAnswer();
    aExchange.m_status = answer.m_status;
    aExchange.m_headers.reserve(answer.m_fields.size());
    for (net::HttpField& field : answer.m_fields) {
      wire::HeaderField& added = aExchange.m_headers.emplace_back();
      added.name = std::move(field.m_name);
      added.value = std::move(field.m_value);
    }
    aExchange.m_body = std::move(answer.m_body);
  }

  void Finish(Exchange aExchange)
  {
    m_request = nullptr;
    std::exchange(m_done, nullptr)(std::move(aExchange));
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  const uint64_t m_generation;
  const std::shared_ptr<TargetConduct> m_conduct;
  std::string m_head;                     // of the request in progress
  size_t m_sent = 0;                      // bytes of the request
  boost::system::error_code m_writeError; // of the request, if any
  std::shared_ptr<const wire::CallRequest> m_request;
  net::AnswerReader m_reader{ net::kMaxBodyBytes };
  std::function<void(Exchange)> m_done;
  std::function<forwarding::AnswerOrigin(const std::vector<wire::HeaderField>&)>
    m_originOf;
  Duration m_idleLimit = kDefaultIdleLimit;
  TimePoint m_idleSince{};
  int m_skipped = 0;
  bool m_written = false;
  bool m_closed = false;
  bool m_hasAnswered = false;  // an earlier request on this connection
  bool m_answersNamed = false; // an answer named the request that it answers
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
    m_conduct->m_surplusAt.reset();
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
    if (m_conduct->HasSentSurplus(Clock::now())) {
      CloseIdle();
    }
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
    auto connection =
      std::make_shared<Connection>(m_io, m_generation, m_conduct);
    connection->Connect(m_endpoint, m_connectTimeout, std::move(aDone));
    return connection;
  }

  void GiveBack(TargetConnectionPtr aConnection) override
  {
    auto connection = std::static_pointer_cast<Connection>(aConnection);
    if (connection->Generation() != m_generation ||
        m_conduct->HasSentSurplus(Clock::now()) ||
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
    const auto removed = std::stable_partition(
      m_idle.begin(), m_idle.end(), [now](const auto& aConnection) {
        return !aConnection->IsStale(now) && aConnection->IsQuiet();
      });
    std::for_each(removed, m_idle.end(), [](const auto& aConnection) {
      aConnection->Close();
    });
    m_idle.erase(removed, m_idle.end());
  }

  size_t Idle() const override { return m_idle.size(); }

private:
  asio::io_context& m_io;
  const Duration m_connectTimeout;
  tcp::endpoint m_endpoint;
  size_t m_maxConnections = 0;
  uint64_t m_generation = 0;
  const std::shared_ptr<TargetConduct> m_conduct =
    std::make_shared<TargetConduct>();
  std::vector<std::shared_ptr<Connection>> m_idle;
};

} // namespace

std::unique_ptr<TargetPool> MakeTargetPool(asio::io_context& aIo,
                                           Duration aConnectTimeout)
{
  return std::make_unique<Pool>(aIo, aConnectTimeout);
}

} // namespace wigeonfold::node
