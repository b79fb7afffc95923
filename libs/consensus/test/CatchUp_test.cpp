// Guards against a successor that doesn't catch up in the time in which its
// machine counts as lost: applying each large entry since the last snapshot, or
// of the retained log, takes far longer than restoring the state. Until it has
// caught up, a second lost disk ends the group.
#include "Cluster.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

constexpr size_t kEntryBytes = size_t{ 256 } << 10;
// Log that a new member may have to apply.
constexpr size_t kMaxLogBytes = size_t{ 2 } << 20;

class CatchUp : public testing::Test
{
protected:
  CatchUp()
    : m_cluster(3, 1, RaftSettings{})
  {
  }

  void ProposeLarge(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Raft* leader = m_cluster.Leader();
      ASSERT_NE(leader, nullptr);
      const MemberId id = leader->Self();
      ASSERT_TRUE(
        leader->Propose(m_cluster.Now(id), std::string(kEntryBytes, 'x')));
      m_cluster.Run(50);
    }
  }

  MemberId AddLearner()
  {
    const MemberId learner = m_cluster.NewNode();
    m_cluster.Start(learner);
    EXPECT_TRUE(
      m_cluster.Change(MembershipChangeKind::AddLearner, learner, 2000));
    return learner;
  }

  bool HasCaughtUp(MemberId aId)
  {
    const Raft* leader = m_cluster.Leader();
    const auto match =
      leader == nullptr ? std::nullopt : leader->MatchIndex(aId);
    return match && *match >= leader->CommitIndex();
  }

  Cluster m_cluster;
};

class CatchUpAfter
  : public CatchUp
  , public testing::WithParamInterface<int>
{};

// With the given number of large entries before, with and without a snapshot
// among them.
TEST_P(CatchUpAfter, NewMemberAppliesLittleOfTheLog)
{
  ASSERT_TRUE(m_cluster.Commit());
  ProposeLarge(GetParam());
  const MemberId learner = AddLearner();
  ASSERT_TRUE(m_cluster.RunUntil([&] { return HasCaughtUp(learner); }, 3000));
  EXPECT_LE(m_cluster.m_nodes.at(learner).m_raft->GetLog().Bytes(),
            kMaxLogBytes);
  m_cluster.Converge();
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         CatchUpAfter,
                         testing::Values(0, 3, 7, 12, 30, 45, 60, 70));

// A leader whose snapshots hang, such as on a full disk, sends the log.
TEST_F(CatchUp, NewMemberGetsTheLogWhenNoSnapshotIsWritten)
{
  ASSERT_TRUE(m_cluster.Commit());
  ProposeLarge(20);
  m_cluster.m_network.m_maxSyncMs = 0;
  m_cluster.HoldSnapshots();
  const MemberId learner = AddLearner();
  EXPECT_TRUE(m_cluster.RunUntil([&] { return HasCaughtUp(learner); }, 6000));
}

} // namespace
} // namespace wigeonfold::consensus
