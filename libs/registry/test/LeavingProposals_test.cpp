// Guards against leaves that are never stored, and against a log entry for each
// repeated report of one.
#include "wigeonfold/registry/LeavingProposals.h"

#include <gtest/gtest.h>

namespace wigeonfold::registry {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow = TimePoint() + 1h;

TEST(LeavingProposals, CollectsReportsWhileAnEntryIsUnderWay)
{
  LeavingStarts stored;
  LeavingProposals proposals;
  proposals.Add("n", { "a", 1 });
  EXPECT_EQ(proposals.Next(stored, kNow)->size(), 1U);
  proposals.OnProposed(kNow);
  proposals.Add("m", { "b", 1 });
  proposals.Add("o", { "c", 1 });
  EXPECT_FALSE(proposals.Next(stored, kNow + 10ms));
  proposals.OnApplied();
  EXPECT_EQ(proposals.Next(stored, kNow + 20ms)->size(), 2U);
}

// The node repeats its report until it hears that the start is stored.
TEST(LeavingProposals, RepeatedReportOfAStoredStartIsNotProposed)
{
  LeavingStarts stored;
  LeavingProposals proposals;
  proposals.Add("n", { "a", 1 });
  proposals.OnProposed(kNow);
  proposals.Add("n", { "a", 1 });
  stored.Add("n", { "a", 1 });
  proposals.OnApplied();
  EXPECT_FALSE(proposals.Next(stored, kNow + 10ms));
}

TEST(LeavingProposals, EntryLostWithItsLeaderDoesNotBlockLaterOnes)
{
  LeavingStarts stored;
  LeavingProposals proposals;
  proposals.Add("n", { "a", 1 });
  proposals.OnProposed(kNow);
  proposals.Add("n", { "a", 1 });
  EXPECT_FALSE(proposals.Next(stored, kNow + 999ms));
  EXPECT_TRUE(proposals.Next(stored, kNow + LeavingProposals::kTimeout));
}

// The leader has not the voters to accept it now.
TEST(LeavingProposals, StartThatWasNotProposedWaitsOn)
{
  LeavingStarts stored;
  LeavingProposals proposals;
  proposals.Add("n", { "a", 1 });
  EXPECT_TRUE(proposals.Next(stored, kNow));
  EXPECT_TRUE(proposals.Next(stored, kNow + 1ms));
}

TEST(LeavingProposals, AreBounded)
{
  LeavingStarts stored;
  LeavingProposals proposals;
  for (size_t i = 0; i < 2 * LeavingProposals::kMaxWaiting; ++i) {
    proposals.Add("n" + std::to_string(i), { "a", 1 });
  }
  EXPECT_EQ(proposals.Next(stored, kNow)->size(),
            LeavingProposals::kMaxWaiting);
}

} // namespace
} // namespace wigeonfold::registry
