// Reads HTTP/1.1 answers from the bytes of a connection, without I/O. All
// clients of the project read through it, so that a broken answer is refused
// everywhere alike.
#pragma once

#include "wigeonfold/net/Http.h"

#include <array>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace wigeonfold::net {

// Whether HTTP has the status, and whether an answer with it ends an exchange
// (RFC 9110, 15). Thread safe.
bool IsStatus(int aStatus);
bool IsFinalStatus(int aStatus);

// What is wrong with an answer.
enum class AnswerFault
{
  Malformed,         // the bytes are no HTTP/1.1 answer
  StatusOutOfRange,  // HTTP has statuses from 100 to 599
  TransferCoding,    // other than chunked alone
  TooLarge,          // a part of it exceeds its limit
  TooManyInterim,    // more than kMaxInterimAnswers precede it
  SwitchesProtocols, // it has status 101, which no client here asks for
  CutShort,          // the connection ended within it
};

inline constexpr std::array kAnswerFaults{
  AnswerFault::Malformed,      AnswerFault::StatusOutOfRange,
  AnswerFault::TransferCoding, AnswerFault::TooLarge,
  AnswerFault::TooManyInterim, AnswerFault::SwitchesProtocols,
  AnswerFault::CutShort,
};

// Stable name for logs and metrics.
const char* ToString(AnswerFault aFault);

struct BrokenAnswer
{
  AnswerFault m_fault = AnswerFault::Malformed;
  std::string m_detail; // printable ASCII of at most kMaxDetailBytes

  static constexpr size_t kMaxDetailBytes = 320;
};

// Reads one answer at a time. Not thread safe.
class AnswerReader
{
public:
  enum class Result
  {
    Incomplete, // more bytes are needed
    Whole,      // TakeAnswer() returns the answer
    Broken,     // Fault() tells why; the connection must be closed
    Missing,    // the connection ended before an answer began
  };

  // aMaxBody: limit for the body of an answer, in bytes.
  explicit AnswerReader(size_t aMaxBody);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // Prepares for the answer to the next request. aIsHead: the request has the
  // method HEAD. Bytes behind an earlier answer stay; Add() with none reads
  // them.
  void Begin(bool aIsHead);
  // Takes the next bytes of the connection. Interim answers are skipped.
  //
  // Precondition: Begin() was called, and each result since was Incomplete.
  Result Add(std::string_view aBytes);
  // The connection has ended. aInOrder: the sender closed it; false if it was
  // reset or failed. Never returns Incomplete.
  //
  // Precondition: as for Add().
  Result End(bool aInOrder);

  // The answer without the fields of a trailer, which may not be merged into
  // the head (RFC 9110, 6.5.1).
  //
  // Precondition: the last result was Whole. Call once.
  HttpResponse TakeAnswer();
  // Precondition: the last result was Broken.
  const BrokenAnswer& Fault() const;

  // Whether the head of the current answer is whole and sound.
  bool IsHeadRead() const;
  // False if the answer has no length and ends with the connection.
  //
  // Precondition: the last result was Whole.
  bool IsDelimited() const;
  // Whether the connection can carry another exchange: the sender keeps it
  // open, and the end of the answer is certain.
  //
  // Precondition: the last result was Whole.
  bool KeepsConnection() const;
  // Whether bytes behind the answer have arrived.
  bool HasSurplus() const;

  // Interim answers (status 1xx) that may precede an answer.
  static constexpr int kMaxInterimAnswers = 16;

private:
  struct State;

  void BeginMessage();
  Result ReadMessage();
  Result ReadHead();
  Result CheckHead();
  bool HasBody(int aStatus) const;
  void TakeHead();
  bool IsInterim() const;
  Result RefuseBytes(std::string_view aBytes,
                     const boost::system::error_code& aCode);
  Result Refuse(AnswerFault aFault, std::string aDetail);

  const std::unique_ptr<State> m_state;
};

} // namespace wigeonfold::net
