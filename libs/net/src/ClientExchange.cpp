#include "ClientExchange.h"

#include "Framing.h"

#include "wigeonfold/net/SocketIo.h"

#include <boost/asio.hpp>
#include <utility>

namespace wigeonfold::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr const char* kSendStep = "send request";
constexpr const char* kReadStep = "read answer";

} // namespace

ClientExchange::ClientExchange(beast::tcp_stream& aStream, std::string aPeer)
  : m_stream(aStream)
  , m_peer(std::move(aPeer))
{
}

void ClientExchange::Run(const HttpRequest& aRequest,
                         bool aKeepAlive,
                         std::shared_ptr<void> aOwner,
                         OnEnd aOnEnd)
{
  Prepare(aRequest, aKeepAlive);
  m_onEnd = std::move(aOnEnd);
  m_writeError = {};
  m_reader.Begin(m_request.method() == http::verb::head);
  http::async_write(
    m_stream,
    m_request,
    [this, owner = std::move(aOwner)](beast::error_code aCode, size_t) {
      if (aCode == beast::error::timeout) {
        Fail(ErrorCode::Timeout, kSendStep, aCode.message());
        return;
      }
      // The server may have answered before it had read all.
      m_writeError = aCode;
      Read(owner);
    });
}

void ClientExchange::Prepare(const HttpRequest& aRequest, bool aKeepAlive)
{
  m_request = {};
  m_request.method_string(aRequest.m_method);
  m_request.target(aRequest.m_target);
  m_request.version(kHttp11);
  m_request.set(http::field::host, m_peer);
  for (const HttpField& field : aRequest.m_fields) {
    m_request.set(field.m_name, field.m_value);
  }
  m_request.body() = aRequest.m_body;
  m_request.prepare_payload();
  if (!aKeepAlive) {
    m_request.keep_alive(false);
  }
}

void ClientExchange::Read(std::shared_ptr<void> aOwner)
{
  m_stream.async_read_some(
    asio::buffer(m_bytes),
    [this, owner = std::move(aOwner)](beast::error_code aCode, size_t aBytes) {
      OnRead(aCode, aBytes, owner);
    });
}

void ClientExchange::OnRead(beast::error_code aCode,
                            size_t aBytes,
                            std::shared_ptr<void> aOwner)
{
  if (aCode == beast::error::timeout) {
    Fail(ErrorCode::Timeout, kReadStep, aCode.message());
    return;
  }
  const AnswerReader::Result result =
    aCode ? m_reader.End(IsOrderlyEnd(aCode, m_writeError))
          : m_reader.Add({ m_bytes.data(), aBytes });
  switch (result) {
    case AnswerReader::Result::Incomplete:
      Read(std::move(aOwner));
      break;
    case AnswerReader::Result::Whole:
      std::exchange(m_onEnd, nullptr)(std::nullopt);
      break;
    case AnswerReader::Result::Broken:
    case AnswerReader::Result::Missing:
      OnFailed(result, aCode);
      break;
  }
}

void ClientExchange::OnFailed(AnswerReader::Result aResult,
                              beast::error_code aCode)
{
  if (aResult == AnswerReader::Result::Missing) {
    const bool unsent = m_writeError.failed();
    Fail(ErrorCode::Unavailable,
         unsent ? kSendStep : kReadStep,
         (unsent ? m_writeError : aCode).message());
    return;
  }
  const BrokenAnswer& broken = m_reader.Fault();
  Fail(broken.m_fault == AnswerFault::CutShort ? ErrorCode::Unavailable
                                               : ErrorCode::Protocol,
       kReadStep,
       std::string("the answer is broken: ") + ToString(broken.m_fault) + ", " +
         broken.m_detail);
}

void ClientExchange::Fail(ErrorCode aError,
                          const char* aStep,
                          std::string aDetail)
{
  std::exchange(m_onEnd,
                nullptr)(Error{ aError, aStep, m_peer, std::move(aDetail) });
}

bool ClientExchange::IsReusable() const
{
  return !m_writeError && m_reader.KeepsConnection() && !m_reader.HasSurplus();
}

} // namespace wigeonfold::net
