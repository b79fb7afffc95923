// One request and its answer on a connection of a client.
#pragma once

#include "wigeonfold/net/AnswerReader.h"

#include <array>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>

namespace wigeonfold::net {

// Writes a request and then reads its answer, one exchange at a time. An answer
// that is whole counts although the request could not be written to its end.
// Not thread safe.
class ClientExchange
{
public:
  // Gets nothing if the answer is whole, else why there is none: Timeout when
  // the stream's time is over, Protocol for a broken answer, else Unavailable.
  using OnEnd = std::function<void(std::optional<Error>)>;

  // aPeer: address of the server, for the request and for errors. aStream must
  // outlive this object.
  ClientExchange(boost::beast::tcp_stream& aStream, std::string aPeer);

  // Calls aOnEnd once, never from inside this call. aOwner, which may be null,
  // is held until then: it owns this object.
  //
  // Precondition: the stream is connected, and no exchange is in progress.
  void Run(const HttpRequest& aRequest,
           bool aKeepAlive,
           std::shared_ptr<void> aOwner,
           OnEnd aOnEnd);

  // Precondition: the last exchange ended with a whole answer. Call once.
  HttpResponse TakeAnswer() { return m_reader.TakeAnswer(); }
  // Whether the connection can carry another exchange.
  //
  // Precondition: the last exchange ended with a whole answer.
  bool IsReusable() const;

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void Prepare(const HttpRequest& aRequest, bool aKeepAlive);
  void Read(std::shared_ptr<void> aOwner);
  void OnRead(boost::beast::error_code aCode,
              size_t aBytes,
              std::shared_ptr<void> aOwner);
  void OnFailed(AnswerReader::Result aResult, boost::beast::error_code aCode);
  void Fail(ErrorCode aError, const char* aStep, std::string aDetail);

  // Answers of the control API, such as a whole tree, may be larger than the
  // limit for request bodies.
  static constexpr size_t kMaxAnswerBytes = kMaxBodyBytes * 64;
  static constexpr size_t kReadBytes = size_t{ 16 } << 10;

  boost::beast::tcp_stream& m_stream;
  const std::string m_peer;
  Request m_request;
  AnswerReader m_reader{ kMaxAnswerBytes };
  std::array<char, kReadBytes> m_bytes{};
  boost::beast::error_code m_writeError;
  OnEnd m_onEnd;
};

} // namespace wigeonfold::net
