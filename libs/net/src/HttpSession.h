// One connection of the HTTP server.
#pragma once

#include "wigeonfold/net/Http.h"

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

// Reads requests one after the other, passes them to the handler and writes the
// answers. Not thread safe.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  // aServer must outlive the session or detach it.
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              HttpSessionHost& aServer,
              const HttpLimits& aLimits);

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

  void WaitForBytes();
  void OnReadable();
  void Receive();
  void Parse();
  void OnRead(boost::system::error_code aCode);
  void Handle(Request&& aRequest);
  void OnHandlerFailed(const std::exception& aError);
  void CloseIfDisconnected();
  void Reject(boost::beast::http::status aStatus);
  void LimitAnswer(HttpResponse& aResponse);
  void Respond(HttpResponse aResponse);
  void WriteHead(const HttpResponse& aResponse);
  void OnWritten(boost::system::error_code aCode);

  boost::asio::ip::tcp::socket m_socket;
  std::string m_received; // not parsed yet
  std::optional<Parser> m_parser;
  std::string m_head; // of the answer that is being written
  std::string m_body; // of the same answer
  std::string m_peer; // IP address
  BudgetShare m_requestShare;
  BudgetShare m_answerShare;
  std::function<void()> m_onAbandon;
  HttpSessionHost* m_server;    // null once the connection or server is closed
  TimePoint m_lastActivityAt{}; // last bytes received, or start of the read
  TimePoint m_requestBeganAt{}; // first bytes of the request
  TimePoint m_writeBeganAt{};   // of the answer
  bool m_waiting = false;       // for the socket to become readable
  bool m_reading = false;       // a request, which is not whole yet
  bool m_handling = false;      // a request, which is not answered yet
  bool m_writing = false;       // an answer
  bool m_keepAlive = true;
  bool m_isHead = false; // the request method is HEAD
  bool m_http10 = false;
};

} // namespace wigeonfold::net
