// Guards against a target that gets more requests than the limit that it names,
// and against a limit that outlives the need for it.
#include "wigeonfold/admission/Admission.h"

#include <deque>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace wigeonfold::admission {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{ 1h };

Request MakeRequest(uint64_t aId, TimePoint aNow)
{
  return Request{ aId, { { "offices", 100, 100 } }, 0, aNow + 10s, aNow };
}

TEST(RateLimit, WithoutALimitNothingWaits)
{
  RateLimit limit;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(limit.WaitFor(1000, kStart), Duration::zero());
    limit.OnSent(kStart);
  }
}

TEST(RateLimit, WaitGrowsWithTheRequestsAhead)
{
  RateLimit limit;
  limit.OnAnswer(10, kStart, kStart);
  EXPECT_EQ(limit.WaitFor(1, kStart), Duration::zero());
  EXPECT_EQ(limit.WaitFor(4, kStart), 300ms);
  limit.OnSent(kStart);
  EXPECT_EQ(limit.WaitFor(1, kStart), 100ms);
  // Five intervals fit into the burst time.
  EXPECT_EQ(limit.WaitFor(6, kStart + 10s), Duration::zero());
  EXPECT_EQ(limit.WaitFor(7, kStart + 10s), 100ms);
}

// Answers to requests that were written before the limit was named last arrive
// after it.
TEST(RateLimit, OnlyAnAnswerToALaterRequestEndsTheLimit)
{
  RateLimit limit;
  limit.OnAnswer(10, kStart, kStart + 50ms);
  EXPECT_FALSE(limit.OnAnswer(std::nullopt, kStart + 20ms, kStart + 60ms));
  EXPECT_EQ(limit.PerSecond(), 10);
  EXPECT_TRUE(limit.OnAnswer(std::nullopt, kStart + 60ms, kStart + 90ms));
  EXPECT_FALSE(limit.PerSecond());
}

TEST(RateLimit, HintCountsUntilTheTargetAnswers)
{
  RateLimit limit;
  EXPECT_TRUE(limit.OnHint(10, kStart));
  EXPECT_TRUE(limit.OnAnswer(std::nullopt, kStart, kStart + 50ms));
  EXPECT_FALSE(limit.OnHint(10, kStart + 60ms));
  EXPECT_FALSE(limit.PerSecond());
}

TEST(RateLimit, HintThatIsNoLimitIsIgnored)
{
  RateLimit limit;
  for (const double odd : { -1.0,
                            std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity() }) {
    EXPECT_FALSE(limit.OnHint(odd, kStart));
    EXPECT_FALSE(limit.PerSecond());
  }
}

// A target that got no request at all could not say that its limit has ended.
TEST(RateLimit, LimitOfZeroStillLetsARequestPassNowAndThen)
{
  RateLimit limit;
  limit.OnAnswer(0, kStart, kStart);
  limit.OnSent(kStart);
  EXPECT_EQ(limit.WaitFor(1, kStart), 2s);
}

// The bound that targets are promised: in any 4 s at most one and a half times
// what the limit allows, and five requests. And the limit is used: a target
// that could serve more gets nine tenths of it at least.
RC_GTEST_PROP(RateLimit, AnyFourSecondsStayWithinTheLimitAndUseIt, ())
{
  const double perSecond = *rc::gen::inRange(5, 2000) / 10.0;
  const int overload = *rc::gen::inRange(2, 8);
  const auto work = std::chrono::milliseconds(*rc::gen::inRange(1, 300));
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1000, 64, 500ms }, kStart);
  admission.Rate().OnAnswer(perSecond, kStart, kStart);
  std::vector<TimePoint> starts;
  std::deque<std::pair<TimePoint, uint64_t>> running;
  const auto apply = [&](const std::vector<Decision>& aDecisions,
                         TimePoint aNow) {
    for (const Decision& decision : aDecisions) {
      if (decision.m_start) {
        starts.push_back(aNow);
        running.emplace_back(aNow + work, decision.m_id);
      }
    }
  };
  const TimePoint end = kStart + 20s;
  double due = 0;
  uint64_t id = 0;
  for (TimePoint now = kStart; now < end; now += 10ms) {
    while (!running.empty() && running.front().first <= now) {
      const uint64_t finished = running.front().second;
      running.pop_front();
      apply(admission.Finished(finished, now), now);
    }
    for (due += perSecond * overload / 100; due >= 1; due -= 1) {
      apply(admission.Offer(MakeRequest(++id, now), now), now);
    }
    apply(admission.Tick(now), now);
  }
  size_t first = 0;
  for (size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] > 4s) {
      ++first;
    }
    RC_ASSERT(static_cast<double>(last - first + 1) <= 1.5 * 4 * perSecond + 5);
  }
  const double used = static_cast<double>(starts.size()) / 20;
  RC_ASSERT(used >= 0.9 * perSecond - 0.5);
}

// A request for which the limit has no room in time is refused at once, with
// the time after which it has, and a waiting one starts when the limit allows.
TEST(RateLimit, AdmissionRefusesAtOnceWhatTheLimitMakesLate)
{
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 12, 64, 1h }, kStart);
  admission.Rate().OnAnswer(10, kStart, kStart);
  Request request = MakeRequest(1, kStart);
  request.m_startBy = kStart + 150ms;
  EXPECT_TRUE(admission.HasRoom(kStart));
  EXPECT_TRUE(admission.Offer(request, kStart).front().m_start);
  EXPECT_FALSE(admission.HasRoom(kStart));
  request.m_id = 2;
  EXPECT_TRUE(admission.Offer(request, kStart).empty());
  request.m_id = 3;
  const auto refused = admission.Offer(request, kStart);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].m_reason, RejectReason::RateLimited);
  EXPECT_EQ(refused[0].m_retryAfter, 50ms);
  EXPECT_TRUE(admission.Tick(kStart + 90ms).empty());
  const auto started = admission.Tick(kStart + 100ms);
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].m_id, 2U);
  EXPECT_TRUE(started[0].m_start);
}

} // namespace
} // namespace wigeonfold::admission
