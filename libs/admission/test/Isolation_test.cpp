// Guards against a request that has to run alone and gets company, and against
// a target that stays idle for it.
#include "wigeonfold/admission/Admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace wigeonfold::admission {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{ 1h };

Request MakeRequest(uint64_t aId, bool aIsolated, TimePoint aNow)
{
  Request request;
  request.m_id = aId;
  request.m_shares = { { "offices", 100, 100 } };
  request.m_deadline = aNow + 10s;
  request.m_arrived = aNow;
  request.m_isolated = aIsolated;
  return request;
}

class IsolationTest : public testing::Test
{
protected:
  IsolationTest() { m_admission.SetLimits({ 4, 100, 1h }, kStart); }

  void Apply(const std::vector<Decision>& aDecisions)
  {
    for (const Decision& decision : aDecisions) {
      if (decision.m_start) {
        m_running.insert(decision.m_id);
      } else {
        m_rejected[decision.m_id] = decision.m_reason;
      }
    }
  }
  void Offer(uint64_t aId, bool aIsolated)
  {
    Apply(m_admission.Offer(MakeRequest(aId, aIsolated, m_now), m_now));
  }
  void Finish(uint64_t aId)
  {
    m_running.erase(aId);
    Apply(m_admission.Finished(aId, m_now));
  }

  Admission m_admission{ MakeFairQueue() };
  TimePoint m_now = kStart;
  std::set<uint64_t> m_running;
  std::map<uint64_t, RejectReason> m_rejected;
};

using Ids = std::set<uint64_t>;

TEST_F(IsolationTest, RunsAloneAndThenLetsOthersStart)
{
  Offer(1, false);
  Offer(2, true);
  Offer(3, false);
  EXPECT_EQ(m_running, Ids{ 1 });
  EXPECT_FALSE(m_admission.HasRoom(m_now));
  Finish(1);
  EXPECT_EQ(m_running, Ids{ 2 });
  Offer(4, false);
  EXPECT_EQ(m_running, Ids{ 2 });
  Finish(2);
  EXPECT_EQ(m_running, (Ids{ 3, 4 }));
  EXPECT_TRUE(m_rejected.empty());
}

TEST_F(IsolationTest, IsRejectedWhenTheOthersDoNotEnd)
{
  Offer(1, false);
  Offer(2, true);
  Offer(3, false);
  m_now += Admission::kMaxIsolationWait + 1ms;
  Apply(m_admission.Tick(m_now));
  EXPECT_EQ(m_rejected[2], RejectReason::Isolation);
  EXPECT_EQ(m_running, (Ids{ 1, 3 }));
}

TEST_F(IsolationTest, CancelledOneHoldsNobodyUp)
{
  Offer(1, false);
  Offer(2, true);
  Offer(3, false);
  EXPECT_TRUE(m_admission.Cancel(2));
  Apply(m_admission.Tick(m_now));
  EXPECT_EQ(m_running, (Ids{ 1, 3 }));
}

TEST_F(IsolationTest, WaitingOnesAreBoundedAndRejectedByADrain)
{
  Offer(1, false);
  for (uint64_t id = 2; id < 20; ++id) {
    Offer(id, true);
  }
  EXPECT_EQ(m_rejected.size(), 18 - Admission::kMaxIsolated);
  Apply(m_admission.SetDraining(true, m_now));
  EXPECT_EQ(m_rejected.size(), 18U);
  EXPECT_EQ(m_admission.Queued(), 0);
}

// Whatever the order of arrivals, ends and time, an isolated request runs alone
// and each request gets one decision.
RC_GTEST_PROP(Isolation, IsAloneAndEachRequestIsDecided, ())
{
  Admission admission(MakeFairQueue());
  TimePoint now = kStart;
  std::map<uint64_t, bool> running; // whether isolated, by id
  std::map<uint64_t, bool> waiting;
  const auto apply = [&](const std::vector<Decision>& aDecisions) {
    for (const Decision& decision : aDecisions) {
      const auto entry = waiting.extract(decision.m_id);
      RC_ASSERT(!entry.empty());
      if (decision.m_start) {
        running[decision.m_id] = entry.mapped();
      }
      const bool anyIsolated =
        std::any_of(running.begin(), running.end(), [](const auto& aOne) {
          return aOne.second;
        });
      RC_ASSERT(!anyIsolated || running.size() == 1);
    }
  };
  apply(admission.SetLimits({ 3, 10, 1s }, now));
  const auto steps =
    *rc::gen::container<std::vector<uint8_t>>(rc::gen::arbitrary<uint8_t>());
  uint64_t id = 0;
  for (const uint8_t step : steps) {
    now += std::chrono::milliseconds(step % 64);
    switch (step % 5) {
      case 0:
      case 1: {
        const bool isolated = step % 3 == 0;
        waiting[++id] = isolated;
        apply(admission.Offer(MakeRequest(id, isolated, now), now));
        break;
      }
      case 2:
      case 3:
        if (!running.empty()) {
          const uint64_t ended = running.begin()->first;
          running.erase(ended);
          apply(admission.Finished(ended, now));
        }
        break;
      default:
        apply(admission.Tick(now));
        break;
    }
  }
  for (int i = 0; i < 100; ++i) {
    now += 20ms;
    for (const auto& [ended, isolated] : std::exchange(running, {})) {
      apply(admission.Finished(ended, now));
    }
    apply(admission.Tick(now));
  }
  RC_ASSERT(waiting.empty());
}

} // namespace
} // namespace wigeonfold::admission
