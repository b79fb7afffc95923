#include "wigeonfold/net/AnswerReader.h"

#include "Framing.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/net/SocketIo.h"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace wigeonfold::net {

namespace http = boost::beast::http;

namespace {

// Statuses of HTTP (RFC 9110, 15).
constexpr int kLeastStatus = 100;
constexpr int kGreatestStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Bytes of a broken answer that are shown.
constexpr size_t kMaxShownBytes = 64;

std::string_view ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string ToDigits(int aStatus)
{
  constexpr size_t kDigits = 3;
  const std::string text = std::to_string(aStatus);
  return std::string(kDigits - text.size(), '0') + text;
}

// The bytes up to the end of their line, escaped.
std::string Shown(std::string_view aBytes)
{
  const std::string_view line = aBytes.substr(0, aBytes.find("\r\n"));
  return "'" + EscapeBytes(line.substr(0, kMaxShownBytes)) + "'";
}

} // namespace

bool IsStatus(int aStatus)
{
  return aStatus >= kLeastStatus && aStatus <= kGreatestStatus;
}

bool IsFinalStatus(int aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus <= kGreatestStatus;
}

const char* ToString(AnswerFault aFault)
{
  constexpr std::array<const char*, kAnswerFaults.size()> kNames{
    "malformed",        "status-out-of-range", "transfer-coding", "too-large",
    "too-many-interim", "switches-protocols",  "cut-short",
  };
  return kNames.at(static_cast<size_t>(aFault));
}

struct AnswerReader::State
{
  explicit State(size_t aMaxBody)
    : m_maxBody(aMaxBody)
  {
  }

  const size_t m_maxBody;
  std::optional<http::response_parser<http::string_body>> m_parser;
  std::string m_received; // not parsed yet
  bool m_isHead = false;
  int m_interim = 0;        // interim answers to the request
  bool m_mustClose = false; // the connection, behind the current message
  HttpResponse m_answer;    // head of the current message
  BrokenAnswer m_fault;
};

AnswerReader::AnswerReader(size_t aMaxBody)
  : m_state(std::make_unique<State>(aMaxBody))
{
}

AnswerReader::~AnswerReader() = default;

void AnswerReader::Begin(bool aIsHead)
{
  m_state->m_isHead = aIsHead;
  m_state->m_interim = 0;
  BeginMessage();
}

void AnswerReader::BeginMessage()
{
  m_state->m_parser.emplace();
  m_state->m_parser->body_limit(m_state->m_maxBody);
  m_state->m_parser->skip(m_state->m_isHead);
}

AnswerReader::Result AnswerReader::Add(std::string_view aBytes)
{
  m_state->m_received.append(aBytes);
  Result result = Result::Incomplete;
  while ((result = ReadMessage()) == Result::Whole && IsInterim()) {
    if (++m_state->m_interim > kMaxInterimAnswers) {
      return Refuse(AnswerFault::TooManyInterim, {});
    }
    BeginMessage();
  }
  return result;
}

// Reads on in the current message, which may be an interim answer.
AnswerReader::Result AnswerReader::ReadMessage()
{
  auto& parser = *m_state->m_parser;
  if (!parser.is_header_done()) {
    const Result head = ReadHead();
    if (head == Result::Broken || !parser.is_header_done()) {
      return head;
    }
  }
  std::string& received = m_state->m_received;
  boost::system::error_code code;
  const size_t used = FeedParser(parser, received, code);
  if (code) {
    return RefuseBytes(std::string_view(received).substr(used), code);
  }
  received.erase(0, used);
  if (parser.is_done()) {
    return Result::Whole;
  }
  if (received.size() > kMaxUnparsedBytes) {
    return Refuse(AnswerFault::TooLarge, "a part without end");
  }
  return Result::Incomplete;
}

// Reads the head as soon as all of it has arrived, and checks it before any of
// the body is waited for.
AnswerReader::Result AnswerReader::ReadHead()
{
  std::string& received = m_state->m_received;
  boost::system::error_code code;
  const size_t used = FeedPart(*m_state->m_parser, received, code);
  if (code) {
    return RefuseBytes(std::string_view(received).substr(used), code);
  }
  received.erase(0, used);
  if (!m_state->m_parser->is_header_done()) {
    return Result::Incomplete;
  }
  const Result result = CheckHead();
  TakeHead();
  return result;
}

AnswerReader::Result AnswerReader::CheckHead()
{
  const int status = static_cast<int>(m_state->m_parser->get().result_int());
  if (!IsStatus(status)) {
    return Refuse(AnswerFault::StatusOutOfRange, "status " + ToDigits(status));
  }
  if (status == kSwitchingProtocols) {
    return Refuse(AnswerFault::SwitchesProtocols, {});
  }
  if (HasBody(status) && HasUnknownCoding(m_state->m_parser->get())) {
    return Refuse(
      AnswerFault::TransferCoding,
      Shown(ToView(m_state->m_parser->get()[http::field::transfer_encoding])));
  }
  return Result::Incomplete;
}

bool AnswerReader::HasBody(int aStatus) const
{
  return !m_state->m_isHead && IsFinalStatus(aStatus) &&
         aStatus != kNoContent && aStatus != kNotModified;
}

AnswerReader::Result AnswerReader::RefuseBytes(
  std::string_view aBytes,
  const boost::system::error_code& aCode)
{
  if (aCode == http::error::body_limit || aCode == http::error::header_limit) {
    return Refuse(AnswerFault::TooLarge, aCode.message());
  }
  return Refuse(AnswerFault::Malformed,
                aCode.message() + " at " + Shown(aBytes));
}

AnswerReader::Result AnswerReader::Refuse(AnswerFault aFault,
                                          std::string aDetail)
{
  aDetail.resize(std::min(aDetail.size(), BrokenAnswer::kMaxDetailBytes));
  m_state->m_fault = { aFault, std::move(aDetail) };
  return Result::Broken;
}

AnswerReader::Result AnswerReader::End(bool aInOrder)
{
  auto& parser = *m_state->m_parser;
  if (!parser.got_some()) {
    return Result::Missing;
  }
  boost::system::error_code code;
  if (aInOrder) {
    parser.put_eof(code);
    if (!code) {
      return Result::Whole;
    }
  }
  const std::string how = aInOrder ? "closed" : "reset or failed";
  const std::string where =
    IsHeadRead() ? "after " + std::to_string(parser.get().body().size()) +
                     " bytes of the body"
                 : "within the head";
  return Refuse(AnswerFault::CutShort, how + " " + where);
}

bool AnswerReader::IsInterim() const
{
  return !IsFinalStatus(m_state->m_answer.m_status);
}

// Copies the head before the parser adds the fields of a trailer to it.
void AnswerReader::TakeHead()
{
  const auto& message = m_state->m_parser->get();
  HttpResponse& answer = m_state->m_answer;
  answer.m_status = static_cast<int>(message.result_int());
  // HTTP/1.0 has no transfer codings, so the sender may mean another end of the
  // body (RFC 9112, 6.1).
  m_state->m_mustClose = message.version() < kHttp11 &&
                         message.count(http::field::transfer_encoding) > 0;
  answer.m_fields.clear();
  for (const auto& field : message) {
    answer.m_fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
}

HttpResponse AnswerReader::TakeAnswer()
{
  auto message = m_state->m_parser->release(); // frees the fields as well
  m_state->m_answer.m_body = std::move(message.body());
  return std::move(m_state->m_answer);
}

const BrokenAnswer& AnswerReader::Fault() const
{
  return m_state->m_fault;
}

bool AnswerReader::IsHeadRead() const
{
  return m_state->m_parser->is_header_done();
}

bool AnswerReader::IsDelimited() const
{
  return !m_state->m_parser->need_eof();
}

bool AnswerReader::KeepsConnection() const
{
  return m_state->m_parser->keep_alive() && !m_state->m_mustClose;
}

bool AnswerReader::HasSurplus() const
{
  return !m_state->m_received.empty();
}

} // namespace wigeonfold::net
