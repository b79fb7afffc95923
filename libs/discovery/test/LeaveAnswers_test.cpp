// Guards against a leave that is acknowledged before it is stored: if all
// processes end then, a late heartbeat makes the target look ready again.
#include "wigeonfold/discovery/LeaveAnswers.h"

#include <gtest/gtest.h>

namespace wigeonfold::discovery {
namespace {

using namespace std::chrono_literals;

using Ids = std::vector<LeaveAnswers::ReportId>;

constexpr TimePoint kNow = TimePoint() + 1h;

TEST(LeaveAnswers, AcknowledgeOnlyWhatIsStored)
{
  LeaveAnswers answers;
  answers.Wait(1, { "a", 100 }, kNow);
  answers.Wait(2, { "a", 100 }, kNow);
  answers.Wait(3, { "b", 100 }, kNow);
  EXPECT_EQ(answers.OnStored({ "a", 90 }), Ids());
  EXPECT_EQ(answers.OnStored({ "a", 100 }), Ids({ 1, 2 }));
  EXPECT_TRUE(answers.IsStored({ "a", 100 }));
  EXPECT_FALSE(answers.IsStored({ "a", 101 }));
  EXPECT_FALSE(answers.IsStored({ "b", 100 }));
}

// Without a quorum nothing is stored; the target has to hear so in time.
TEST(LeaveAnswers, RefuseWhatIsNotStoredInTime)
{
  LeaveAnswers answers;
  answers.Wait(1, { "a", 100 }, kNow);
  answers.Wait(2, { "a", 100 }, kNow + 300ms);
  EXPECT_EQ(answers.TakeExpired(kNow + 899ms), Ids());
  EXPECT_EQ(answers.TakeExpired(kNow + 900ms), Ids({ 1 }));
  EXPECT_EQ(answers.OnStored({ "a", 100 }), Ids({ 2 }));
  EXPECT_EQ(answers.TakeExpired(kNow + 2s), Ids());
}

TEST(LeaveAnswers, RememberABoundedNumberOfStoredStarts)
{
  LeaveAnswers answers;
  for (size_t i = 0; i <= LeaveAnswers::kMaxStored; ++i) {
    answers.OnStored({ std::to_string(i), 1 });
  }
  EXPECT_FALSE(answers.IsStored({ "0", 1 }));
  EXPECT_TRUE(answers.IsStored({ "1", 1 }));
}

} // namespace
} // namespace wigeonfold::discovery
