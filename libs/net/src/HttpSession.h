// One connection of the HTTP server.
#pragma once

#include "HttpExchangeQueue.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonfold::net {

class HttpSession;

// What a session needs of its server. All calls on the thread of the
// io_context.
class HttpSessionHost
{
public:
  HttpSessionHost(HttpHandler aHandler,
                  std::vector<HttpField> aRejectFields,
                  HttpOnFailure aOnFailure)
    : m_handler(std::move(aHandler))
    , m_rejectFields(std::move(aRejectFields))
    , m_onFailure(std::move(aOnFailure))
  {
  }
  virtual ~HttpSessionHost() = default;

  virtual const CallerLimits& GetCallerLimits() const = 0;
  virtual bool IsDraining() const = 0;
  // True once the linger of a drain has ended; idle connections are then
  // closed.
  virtual bool IsLingerOver() const = 0;
  // Forgets a session that was closed.
  virtual void Remove(const std::shared_ptr<HttpSession>& aSession) = 0;

  const HttpHandler m_handler;
  const std::vector<HttpField> m_rejectFields;
  const HttpOnFailure m_onFailure;
};

// Reads requests, passes them to the handler and writes the answers in the
// order of the requests. Requests that may be repeated run beside each other,
// others alone. Not thread safe.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  // aServer must outlive the session or detach it.
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              HttpSessionHost& aServer,
              const HttpLimits& aLimits);

  // Reads the first request.
  //
  // Precondition: IsAttached().
  void Read();
  void Close();
  // Closes the connection if no request is being handled or has begun to
  // arrive.
  void CloseIfIdle();
  // Closes the connection if it still waits for a whole request.
  void CloseIfReading();
  void Detach() { m_server = nullptr; }
  bool IsAttached() const { return m_server != nullptr; }
  // Answers 408 or closes the connection if the client exceeds a time limit.
  void CheckTimeLimits(TimePoint aNow, const CallerLimits& aLimits);

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool MayRead() const;
  void ContinueReading();
  bool HasBegun() const;
  void Resume();
  void WaitForBytes();
  void OnReadable();
  void Receive();
  size_t HeldBytes() const;
  bool UpdateRequestShare();
  void Parse();
  void OnRead(boost::system::error_code aCode);
  void Handle(Request&& aRequest);
  void Call(uint64_t aId, HttpRequest aRequest);
  void OnHandlerFailed(uint64_t aId, const std::exception& aError);
  void CloseIfDisconnected();
  bool HasClientClosed();
  void Reject(boost::beast::http::status aStatus);
  void Respond(uint64_t aId, HttpResponse aResponse);
  void LimitAnswer(HttpExchange& aExchange);
  void SendAnswers();
  bool IsLast(const HttpExchange& aExchange) const;
  void Send(HttpExchange&& aExchange);
  void WriteHead(const HttpExchange& aExchange);
  void OnSent(boost::system::error_code aCode);
  void CloseAfterAnswers();
  void Discard();
  bool IsIdle() const;

  boost::asio::ip::tcp::socket m_socket;
  std::string m_received; // not parsed yet
  std::optional<Parser> m_parser;
  std::string m_head; // of the answer that is being written
  std::string m_body; // of the same answer
  std::string m_peer; // IP address
  BudgetShare m_requestShare;
  BudgetShare m_answerShare;
  HttpExchangeQueue m_exchanges;
  HttpSessionHost* m_server;    // null once the connection or server is closed
  TimePoint m_lastActivityAt{}; // last bytes received, or start of the read
  TimePoint m_requestBeganAt{}; // first bytes of the request
  TimePoint m_writeBeganAt{};   // of the answer
  bool m_waiting = false;       // for the socket to become readable
  bool m_reading = false;       // a request, which is not whole yet
  // Bytes of that request have arrived that may not be read or parsed yet;
  // Resume() continues.
  bool m_paused = false;
  bool m_held = false; // m_parser holds a whole request that waits to run alone
  bool m_writing = false;        // an answer
  bool m_lastAnswer = false;     // the one written last closes the connection
  bool m_noMoreRequests = false; // none is read behind those in progress
  bool m_pipelines = false;      // the client sent requests before answers
  bool m_discarding = false;     // all is answered; what arrives is not read
};

} // namespace wigeonfold::net
