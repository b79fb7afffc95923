// Guards against a group that ends for good because a disk is lost at the
// moment at which a voter ends without notice, or before its successor has
// taken its place. No reaction to the silence is fast enough: of three voters
// one is left, and the successor, which has all entries, may not vote.
#include "ManagedCluster.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

TEST(SilentReplacement, DiskLostBeforeTheSuccessorIsPromoted)
{
  ManagedCluster cluster(3, 1, 1);
  ASSERT_TRUE(
    cluster.RunManagedUntil([&] { return cluster.HasVoters(3); }, 10000));
  ASSERT_NE(cluster.Accept(), 0);
  cluster.AddVm();
  cluster.RunManaged(ManagedCluster::kSyncMs + 1000);
  cluster.Remove(cluster.FollowerId());
  cluster.Wipe(cluster.LeaderId());
  EXPECT_NO_THROW(cluster.Recover());
}

// Which of the four voters ends, which one loses its disk, and how many
// milliseconds later.
struct Case
{
  size_t m_ends = 0;
  size_t m_loses = 0;
  int64_t m_gapMs = 0;
};

void PrintTo(const Case& aCase, std::ostream* aOut)
{
  *aOut << aCase.m_ends << " ends, " << aCase.m_loses << " loses its disk "
        << aCase.m_gapMs << " ms later";
}

std::vector<Case> AllCases()
{
  std::vector<Case> cases;
  for (const int64_t gapMs : { 0, 100, 500, 1300, 2000 }) {
    for (size_t ends = 0; ends < 4; ++ends) {
      for (size_t loses = 0; loses < 4; ++loses) {
        if (ends != loses) {
          cases.push_back({ ends, loses, gapMs });
        }
      }
    }
  }
  return cases;
}

class EndAndLostDisk : public testing::TestWithParam<Case>
{};

// Voter 0 leads. What was acknowledged just before has to be on the two that
// are left, and they have to elect a leader.
TEST_P(EndAndLostDisk, TheTwoOthersGoOn)
{
  const Case& param = GetParam();
  ManagedCluster cluster(3, 1, 7);
  ASSERT_TRUE(
    cluster.RunManagedUntil([&] { return cluster.HasVoters(3); }, 10000));
  cluster.AddVm();
  cluster.RunManaged(ManagedCluster::kSyncMs);
  ASSERT_TRUE(cluster.HasVoters(4));
  ASSERT_NE(cluster.Accept(), 0);
  const std::vector<MemberId> voters = cluster.Voters();
  cluster.Remove(voters[param.m_ends]);
  cluster.RunManaged(param.m_gapMs);
  cluster.Wipe(voters[param.m_loses]);
  EXPECT_NO_THROW(cluster.Recover());
}

INSTANTIATE_TEST_SUITE_P(AllCases,
                         EndAndLostDisk,
                         testing::ValuesIn(AllCases()));

// The same with two tolerated losses: of six voters one ends and two lose their
// disks.
class EndAndTwoLostDisks : public testing::TestWithParam<size_t>
{};

TEST_P(EndAndTwoLostDisks, TheThreeOthersGoOn)
{
  ManagedCluster cluster(5, 2, GetParam());
  ASSERT_TRUE(
    cluster.RunManagedUntil([&] { return cluster.HasVoters(5); }, 15000));
  cluster.AddVm();
  cluster.RunManaged(ManagedCluster::kSyncMs + 1000);
  ASSERT_TRUE(cluster.HasVoters(6));
  ASSERT_NE(cluster.Accept(), 0);
  std::vector<MemberId> voters = cluster.Voters();
  std::rotate(voters.begin(),
              voters.begin() + static_cast<long>(GetParam() % voters.size()),
              voters.end());
  cluster.Remove(voters[0]);
  cluster.Kill(voters[1]);
  cluster.Wipe(voters[2]);
  cluster.Wipe(voters[1]);
  EXPECT_NO_THROW(cluster.Recover());
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         EndAndTwoLostDisks,
                         testing::Range<size_t>(1, 13));

} // namespace
} // namespace wigeonfold::consensus
