// Guards against the end of a target that is not noticed or is taken for a
// single lost connection, and against requests that are blamed for an end in
// which they had no part.
#include "wigeonfold/forwarding/Fingerprint.h"
#include "wigeonfold/forwarding/TargetCrash.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace wigeonfold::forwarding {
namespace {

using namespace std::chrono_literals;

class TargetCrashTest : public testing::Test
{
protected:
  void Write(uint64_t aId)
  {
    m_detector.OnWritten(aId, { std::to_string(aId), aId, m_now });
  }

  std::vector<uint64_t> End()
  {
    std::vector<uint64_t> ids;
    for (const WrittenRequest& request : m_detector.OnEnded(m_now).m_requests) {
      ids.push_back(request.m_fingerprint);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  CrashDetector m_detector;
  TimePoint m_now{ 1h };
};

using Ids = std::vector<uint64_t>;

TEST_F(TargetCrashTest, AllConnectionsAreLost)
{
  Write(1);
  Write(2);
  m_detector.OnLost(1, m_now);
  EXPECT_FALSE(m_detector.MayHaveEnded()); // 2 is still under way
  m_detector.OnLost(2, m_now);
  EXPECT_TRUE(m_detector.MayHaveEnded());
  EXPECT_EQ(End(), (Ids{ 1, 2 }));
  EXPECT_EQ(End(), Ids{}); // reported once
}

// The target resets one connection and goes on.
TEST_F(TargetCrashTest, AnswerAfterALostConnectionExonerates)
{
  Write(1);
  m_detector.OnLost(1, m_now);
  m_now += 1ms;
  Write(2);
  m_now += 1ms;
  m_detector.OnAnswered(2, m_now);
  EXPECT_FALSE(m_detector.MayHaveEnded());
  EXPECT_EQ(End(), Ids{});
}

// The answer was on its way before the target ended.
TEST_F(TargetCrashTest, AnswerToAnEarlierRequestDoesNotExonerateALostOne)
{
  Write(1);
  Write(2);
  m_detector.OnLost(1, m_now);
  m_now += 1ms;
  m_detector.OnAnswered(2, m_now);
  EXPECT_EQ(End(), Ids{ 1 });
}

// A request hangs the whole target, its caller gives up, and the target is
// started anew.
TEST_F(TargetCrashTest, AbandonedRequestOfASilentTarget)
{
  Write(1);
  m_now += 1s;
  m_detector.OnAbandoned(1, m_now);
  m_now += 3s;
  EXPECT_EQ(End(), Ids{ 1 });
}

TEST_F(TargetCrashTest, AnswerAfterAnAbandonedRequestExonerates)
{
  Write(1);
  Write(2);
  m_detector.OnAbandoned(1, m_now);
  m_now += 1ms;
  m_detector.OnAnswered(2, m_now);
  EXPECT_EQ(End(), Ids{});
}

TEST_F(TargetCrashTest, OldAndUnsentRequestsDoNotCount)
{
  Write(1);
  m_detector.OnAbandoned(1, m_now);
  m_now += CrashDetector::kMaxAge + 1ms;
  Write(2);
  m_detector.OnNotSent(2);
  EXPECT_EQ(End(), Ids{});
}

TEST_F(TargetCrashTest, KeepsABoundedNumberOfRequests)
{
  for (uint64_t id = 0; id < 1000; ++id) {
    Write(id);
    m_detector.OnAbandoned(id, m_now);
  }
  EXPECT_EQ(End().size(), CrashDetector::kMaxUnanswered);
}

wire::CallRequest MakeRequest()
{
  wire::CallRequest request;
  request.route = "r";
  request.method = "POST";
  request.path = "/a";
  request.office = "offices/arita";
  request.body = "one";
  request.requestId = "1";
  return request;
}

TEST(Fingerprint, IsThatOfTheContent)
{
  const wire::CallRequest first = MakeRequest();
  wire::CallRequest again = MakeRequest();
  again.requestId = "2";
  again.callerService = "another node's";
  again.callId = 7;
  EXPECT_EQ(FingerprintOf(first), FingerprintOf(again));
  for (std::string wire::CallRequest::*part : { &wire::CallRequest::route,
                                                &wire::CallRequest::method,
                                                &wire::CallRequest::path,
                                                &wire::CallRequest::office,
                                                &wire::CallRequest::body }) {
    wire::CallRequest other = MakeRequest();
    other.*part += "x";
    EXPECT_NE(FingerprintOf(first), FingerprintOf(other));
  }
}

TEST(Fingerprint, HasSixteenDigitsInLogs)
{
  EXPECT_EQ(FormatFingerprint(0x1f), "000000000000001f");
}

} // namespace
} // namespace wigeonfold::forwarding
