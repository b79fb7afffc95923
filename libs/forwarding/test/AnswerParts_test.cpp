// Guards against small answers that wait behind large ones on a slow link, and
// against large answers that are mixed up, cut or put together wrongly.
#include "wigeonfold/forwarding/AnswerParts.h"

#include <gtest/gtest.h>

namespace wigeonfold::forwarding {
namespace {

using std::chrono::milliseconds;
using Result = AnswerAssembly::Result;

constexpr uint64_t kRate = 17'000'000 / 8; // bytes per second of 17 Mbit/s
constexpr size_t kMaxBody = size_t{ 1 } << 20;

LargeAnswer Answer(const void* aConnection, int64_t aCallId, size_t aBytes)
{
  LargeAnswer answer;
  answer.m_connection = aConnection;
  answer.m_response.callId = aCallId;
  answer.m_response.status = 200;
  answer.m_response.body.assign(aBytes, static_cast<char>('a' + aCallId));
  return answer;
}

struct Sender
{
  // Hands out parts every 10 ms for that long and returns what was sent.
  std::vector<AnswerPart> Run(milliseconds aTime)
  {
    std::vector<AnswerPart> parts;
    for (const TimePoint end = m_now + aTime; m_now < end;
         m_now += milliseconds(10)) {
      while (auto part = m_queue.Next(m_now)) {
        m_link.OnSent(kPartBytes, m_now);
        m_worstBacklog = std::max(m_worstBacklog, m_link.Backlog(m_now));
        parts.push_back(std::move(*part));
      }
    }
    return parts;
  }

  admission::Link m_link{ kRate };
  AnswerSendQueue m_queue{ m_link };
  TimePoint m_now = TimePoint{} + std::chrono::hours(1);
  Duration m_worstBacklog{};
  int m_first = 0; // their addresses stand for connections
  int m_second = 0;
};

Result Feed(AnswerAssembly& aAssembly, const AnswerPart& aPart)
{
  return aPart.m_head ? aAssembly.OnResponse(*aPart.m_head)
                      : aAssembly.OnPart(*aPart.m_part);
}

// Of an answer of ten bytes to call 1.
wire::CallResponse FirstPart()
{
  wire::CallResponse head;
  head.callId = 1;
  head.__set_bodyBytes(10);
  head.body = "123";
  return head;
}

// Load pattern: ten downloads of 90 KB end at the same time. Sent at once they
// keep the link busy for 0.4 s, and an answer of a few bytes to an internal
// call with a deadline of 0.4 s waits behind them.
TEST(AnswerParts, ASmallAnswerWaitsForTwoPartsAtMost)
{
  Sender sender;
  for (int i = 0; i < 10; ++i) {
    sender.m_queue.Add(Answer(&sender.m_first, i, 90'000));
  }
  sender.Run(milliseconds(1000));
  EXPECT_EQ(sender.m_queue.Size(), 0U);
  EXPECT_LE(sender.m_worstBacklog,
            AnswerSendQueue::kMaxBacklog + sender.m_link.TimeFor(kPartBytes));
}

TEST(AnswerParts, TheLinkDoesNotIdleBetweenParts)
{
  Sender sender;
  sender.m_queue.Add(Answer(&sender.m_first, 1, kRate / 2));
  sender.Run(milliseconds(500));
  EXPECT_EQ(sender.m_queue.Size(), 0U);
}

TEST(AnswerParts, PartsArePutTogether)
{
  Sender sender;
  sender.m_queue.Add(Answer(&sender.m_first, 1, 90'000));
  sender.m_queue.Add(Answer(&sender.m_second, 2, kPartBytes + 1));
  AnswerAssembly first(kMaxBody);
  AnswerAssembly second(kMaxBody);
  std::vector<wire::CallResponse> complete;
  for (const AnswerPart& part : sender.Run(milliseconds(500))) {
    auto& assembly = part.m_connection == &sender.m_first ? first : second;
    const Result result = Feed(assembly, part);
    EXPECT_EQ(result == Result::Complete, part.m_last);
    if (result == Result::Complete) {
      complete.push_back(assembly.TakeComplete());
    }
  }
  ASSERT_EQ(complete.size(), 2U);
  EXPECT_EQ(complete[0].body, std::string(90'000, 'b'));
  EXPECT_EQ(complete[1].body, std::string(kPartBytes + 1, 'c'));
  EXPECT_EQ(complete[1].status, 200);
}

TEST(AnswerParts, DroppedAnswersAreNotSent)
{
  Sender sender;
  sender.m_queue.Add(Answer(&sender.m_first, 1, 90'000));
  sender.m_queue.Add(Answer(&sender.m_first, 2, 90'000));
  sender.m_queue.Add(Answer(&sender.m_second, 3, 90'000));
  sender.m_queue.DropCall(&sender.m_first, 1);
  EXPECT_EQ(sender.m_queue.Bytes(), 180'000U);
  sender.m_queue.DropConnection(&sender.m_first);
  EXPECT_EQ(sender.m_queue.Size(), 1U);
  EXPECT_EQ(sender.m_queue.Bytes(), 90'000U);
}

TEST(AnswerParts, AnswersThatDoNotFitTheirLengthAreInvalid)
{
  AnswerAssembly assembly(100);
  wire::CallResponse head;
  head.callId = 1;
  head.__set_bodyBytes(101);
  EXPECT_EQ(assembly.OnResponse(head), Result::Invalid);
  head.__set_bodyBytes(-1);
  EXPECT_EQ(assembly.OnResponse(head), Result::Invalid);
  head.__set_bodyBytes(10);
  head.body = "12345678901";
  EXPECT_EQ(assembly.OnResponse(head), Result::Invalid);
  head.body = "123";
  EXPECT_EQ(assembly.OnResponse(head), Result::Incomplete);
  EXPECT_EQ(assembly.OnResponse(head), Result::Invalid); // the id is in use
  wire::CallBodyPart part;
  part.callId = 1;
  part.body = "45678901";
  EXPECT_EQ(assembly.OnPart(part), Result::Invalid); // longer than announced
}

// Parts that never bring an answer further, and a second answer to a call, end
// the connection. Otherwise the call waits, and rests of the first answer stay.
TEST(AnswerParts, WhatDoesNotContinueAnAnswerIsInvalid)
{
  AnswerAssembly assembly(100);
  EXPECT_EQ(assembly.OnResponse(FirstPart()), Result::Incomplete);
  wire::CallBodyPart empty;
  empty.callId = 1;
  EXPECT_EQ(assembly.OnPart(empty), Result::Invalid);
  wire::CallResponse whole;
  whole.callId = 1;
  whole.body = "whole";
  EXPECT_EQ(assembly.OnResponse(whole), Result::Invalid);
}

// The parts of a cancelled call may be on their way.
TEST(AnswerParts, PartsOfAForgottenCallAreIgnored)
{
  AnswerAssembly assembly(100);
  wire::CallResponse head = FirstPart();
  EXPECT_EQ(assembly.OnResponse(head), Result::Incomplete);
  assembly.Forget(1);
  wire::CallBodyPart part;
  part.callId = 1;
  part.body = "4567890";
  EXPECT_EQ(assembly.OnPart(part), Result::Incomplete);
  head.callId = 2;
  head.body = "all of it!";
  EXPECT_EQ(assembly.OnResponse(head), Result::Complete);
}

} // namespace
} // namespace wigeonfold::forwarding
