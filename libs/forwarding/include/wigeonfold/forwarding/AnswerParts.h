// Large answers between nodes: sent in parts, so that small ones don't wait
// behind them on the link, and put together again.
#pragma once

#include "wigeonfold/admission/Link.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace wigeonfold::forwarding {

// An answer with a larger body is sent in parts of this size.
inline constexpr size_t kPartBytes = size_t{ 16 } << 10;

// An answer of which parts are left to send. m_connection identifies the
// connection; the queue never uses it.
struct LargeAnswer
{
  const void* m_connection = nullptr;
  wire::CallResponse m_response; // with the whole body
};

// The next part to send. Exactly one of the messages is set.
struct AnswerPart
{
  const void* m_connection = nullptr;
  int64_t m_callId = 0;
  std::optional<wire::CallResponse> m_head; // with the first part of the body
  std::optional<wire::CallBodyPart> m_part;
  bool m_last = false;
};

// Sends one large answer after the other, since two at a time would both end
// late, and a part only while the link has little else to carry. Not thread
// safe.
class AnswerSendQueue
{
public:
  // aLink must outlive this object.
  explicit AnswerSendQueue(const admission::Link& aLink)
    : m_link(aLink)
  {
  }

  void Add(LargeAnswer aAnswer);
  // Drops the answers of a connection that was closed, or one call's answer.
  void DropConnection(const void* aConnection);
  void DropCall(const void* aConnection, int64_t aCallId);
  // The part to send now; nothing while the link is busy. The caller reports
  // what it sends to the link.
  std::optional<AnswerPart> Next(TimePoint aNow);

  // Bytes of bodies that were not handed out yet.
  size_t Bytes() const { return m_bytes; }
  size_t Size() const { return m_answers.size(); }

  // A part is handed out while the link is busy for less than this. Two ticks
  // of the node, so that the link doesn't idle between them.
  static constexpr Duration kMaxBacklog = std::chrono::milliseconds(20);

private:
  struct Entry
  {
    LargeAnswer m_answer;
    size_t m_sent = 0; // bytes of the body
  };

  size_t Left(const Entry& aEntry) const;
  AnswerPart TakePart(Entry& aEntry);

  const admission::Link& m_link;
  std::deque<Entry> m_answers;
  size_t m_bytes = 0;
};

// Puts the parts of answers on one connection together. Not thread safe.
class AnswerAssembly
{
public:
  enum class Result
  {
    Incomplete,
    Complete, // TakeComplete() returns the answer
    Invalid,  // the connection must be closed
  };

  // aMaxBody limits the body of one answer.
  explicit AnswerAssembly(size_t aMaxBody)
    : m_maxBody(aMaxBody)
  {
  }

  // An answer or part that doesn't fit what came before of its call is invalid.
  Result OnResponse(wire::CallResponse aResponse);
  Result OnPart(wire::CallBodyPart aPart);
  wire::CallResponse TakeComplete() { return std::move(m_complete); }
  // Forgets a call that was cancelled. Parts that are still on their way are
  // ignored, like all parts of unknown calls.
  void Forget(int64_t aCallId);

private:
  const size_t m_maxBody;
  std::unordered_map<int64_t, wire::CallResponse> m_partial; // by call id
  wire::CallResponse m_complete;
};

} // namespace wigeonfold::forwarding
