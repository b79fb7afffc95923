// Guards against an acknowledged change that is gone, and a group that ends for
// good, after one lost disk while a voter is being replaced. The replaced voter
// stays one of three until its successor votes; a change on the two others is
// on a majority, but the loss of one of them leaves no quorum.
#include "ManagedCluster.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

class Survival : public testing::TestWithParam<uint64_t>
{
protected:
  void SetUp() override
  {
    m_cluster.emplace(3, 1, GetParam());
    ASSERT_TRUE(m_cluster->RunManagedUntil(
      [this] { return m_cluster->HasVoters(3); }, 10000));
    ASSERT_NE(m_cluster->Accept(), 0);
  }

  // A successor of a voter has had its time to catch up.
  void AddSuccessor()
  {
    m_cluster->AddVm();
    m_cluster->RunManaged(ManagedCluster::kSyncMs + 1000);
  }

  // The VM gets SIGTERM and never comes back.
  void TakeAway(MemberId aId)
  {
    m_cluster->Stop(aId);
    m_cluster->Remove(aId);
  }

  // The member that acknowledges a change loses its disk right after it.
  void LoseDiskAfterAcknowledgement()
  {
    const MemberId acknowledging = m_cluster->Accept();
    ASSERT_NE(acknowledging, 0);
    m_cluster->Wipe(acknowledging);
    EXPECT_NO_THROW(m_cluster->Recover());
  }

  std::optional<ManagedCluster> m_cluster;
};

// The old VM gets no SIGTERM, so it can't ask for its replacement.
TEST_P(Survival, LostDiskAfterAVoterEndedWithoutNotice)
{
  AddSuccessor();
  m_cluster->Remove(m_cluster->FollowerId());
  LoseDiskAfterAcknowledgement();
}

TEST_P(Survival, LostDiskAfterTheLeaderEndedWithoutNotice)
{
  AddSuccessor();
  m_cluster->Remove(m_cluster->LeaderId());
  LoseDiskAfterAcknowledgement();
}

TEST_P(Survival, LostDiskAfterAVoterWasStopped)
{
  AddSuccessor();
  TakeAway(m_cluster->FollowerId());
  LoseDiskAfterAcknowledgement();
}

TEST_P(Survival, LostDiskAfterTheLeaderWasStopped)
{
  AddSuccessor();
  TakeAway(m_cluster->LeaderId());
  LoseDiskAfterAcknowledgement();
}

// No change follows the planned replacement: the stopped voter has to be
// replaced before it ends.
TEST_P(Survival, DiskLostAtTheEndOfAStoppedVoter)
{
  AddSuccessor();
  TakeAway(m_cluster->FollowerId());
  m_cluster->Wipe(m_cluster->LeaderId());
  EXPECT_NO_THROW(m_cluster->Recover());
}

// A VM that lost its disk has been back for long enough to count as sound.
TEST_P(Survival, SecondDiskLostOnceTheFirstVmIsBack)
{
  m_cluster->Wipe(m_cluster->FollowerId());
  m_cluster->RunManaged(ManagedCluster::kSyncMs);
  LoseDiskAfterAcknowledgement();
}

// Without a VM that can take its place, changes don't wait for a lost voter.
TEST_P(Survival, ChangesGoOnWithoutAReplacement)
{
  m_cluster->Kill(m_cluster->FollowerId());
  EXPECT_NE(m_cluster->Accept(200), 0);
}

// An ordinary restart beside a learner that is not a standby voter: a change
// waits for the voter or for its replacement, and not longer.
TEST_P(Survival, ChangeIsAcknowledgedOnceTheVoterIsReplaced)
{
  m_cluster.emplace(3, 1, GetParam(), 0);
  ASSERT_TRUE(m_cluster->RunManagedUntil(
    [this] { return m_cluster->HasVoters(3); }, 10000));
  ASSERT_NE(m_cluster->Accept(), 0);
  AddSuccessor();
  m_cluster->Kill(m_cluster->FollowerId());
  EXPECT_EQ(m_cluster->Accept(500), 0);
  EXPECT_NE(m_cluster->Accept(3500), 0);
}

// With a standby voter a change needs no wait: the three voters that are left
// have it, and any two of them go on after a lost disk.
TEST_P(Survival, ChangeBesideAStandbyVoterIsAcknowledgedAtOnce)
{
  AddSuccessor();
  ASSERT_TRUE(m_cluster->HasVoters(4));
  m_cluster->Kill(m_cluster->FollowerId());
  const MemberId acknowledging = m_cluster->Accept(500);
  ASSERT_NE(acknowledging, 0);
  m_cluster->Wipe(acknowledging);
  EXPECT_NO_THROW(m_cluster->Recover());
}

// Guards against a cluster that never forms, or loses its first change, because
// one disk is lost at the first start: the creator was the only voter of the
// log that the others held, while that log kept them from forming another one.
class FirstStart : public testing::TestWithParam<uint64_t>
{};

TEST_P(FirstStart, FormsThoughAnyVmLosesItsDiskAtAnyMoment)
{
  for (int64_t moment = 0; moment <= 1500; moment += 50) {
    for (MemberId lost = 1; lost <= 3; ++lost) {
      ManagedCluster cluster(3, 1, GetParam());
      cluster.RunManaged(moment);
      cluster.Wipe(lost);
      EXPECT_NO_THROW(cluster.Recover()) << lost << " after " << moment;
    }
  }
}

TEST_P(FirstStart, FormsThoughAnyVmIsRestartedAtAnyMoment)
{
  for (int64_t moment = 0; moment <= 1500; moment += 50) {
    for (MemberId restarted = 1; restarted <= 3; ++restarted) {
      ManagedCluster cluster(3, 1, GetParam());
      cluster.RunManaged(moment);
      cluster.Kill(restarted);
      cluster.RunManaged(500);
      EXPECT_NO_THROW(cluster.Recover()) << restarted << " after " << moment;
    }
  }
}

TEST_P(FirstStart, KeepsItsFirstChangeThoughADiskIsLost)
{
  ManagedCluster cluster(3, 1, GetParam());
  const MemberId acknowledging = cluster.Accept();
  ASSERT_NE(acknowledging, 0);
  cluster.Wipe(acknowledging);
  EXPECT_NO_THROW(cluster.Recover());
}

INSTANTIATE_TEST_SUITE_P(Seeds, FirstStart, testing::Range<uint64_t>(1, 5));
INSTANTIATE_TEST_SUITE_P(Seeds, Survival, testing::Range<uint64_t>(1, 9));

} // namespace
} // namespace wigeonfold::consensus
