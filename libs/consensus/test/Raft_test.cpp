// Guards against committed entries that are lost or replaced, two leaders in
// one term, reads from an outdated lease holder and votes of members that must
// not vote yet, under crashes, message faults, partitions, membership changes
// and snapshots.
#include "Cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::consensus {
namespace {

enum class StepKind
{
  Run,
  Propose,
  Crash,
  Restart,
  Partition,
  Isolate,
  Heal,
  BadNetwork,
  SlowDisks,
  AddMember,
  Promote,
  RemoveMember,
  DemoteMember,
};

// A step of a generated test. m_argument is an arbitrary number that selects
// the member, duration or other detail of the step.
struct TestStep
{
  StepKind m_kind = StepKind::Run;
  int m_argument = 0;
};

// Printed by RapidCheck when a sequence of steps fails.
std::ostream& operator<<(std::ostream& aOut, const TestStep& aStep)
{
  return aOut << static_cast<int>(aStep.m_kind) << ":" << aStep.m_argument;
}

rc::Gen<std::vector<TestStep>> GenerateSteps()
{
  return rc::gen::container<std::vector<TestStep>>(rc::gen::apply(
    [](int aKind, int aArgument) {
      return TestStep{ static_cast<StepKind>(aKind), aArgument };
    },
    rc::gen::inRange(0, static_cast<int>(StepKind::DemoteMember) + 1),
    rc::gen::inRange(0, 1000)));
}

// The member that a step's argument selects.
MemberId MemberAt(const Cluster& aCluster, int aArgument)
{
  auto node = aCluster.m_nodes.begin();
  std::advance(node, aArgument % static_cast<int>(aCluster.m_nodes.size()));
  return node->first;
}

void ChangeOnce(Cluster& aCluster, MembershipChangeKind aKind, MemberId aId)
{
  // Waits at most 1 s, since the change need not succeed under faults.
  (void)aCluster.Change(aKind, aId, 1000);
}

void ExecuteStep(Cluster& aCluster, const TestStep& aStep)
{
  const int argument = aStep.m_argument;
  const MemberId id = MemberAt(aCluster, argument);
  FakeNetwork& network = aCluster.m_network;
  switch (aStep.m_kind) {
    case StepKind::Run:
      aCluster.Run(argument * 4);
      break;
    case StepKind::Propose:
      for (int i = 0; i < 1 + argument % 30; ++i) {
        aCluster.ProposeToAllLeaders();
      }
      aCluster.Run(argument / 20);
      break;
    case StepKind::Crash:
      aCluster.Crash(id);
      break;
    case StepKind::Restart:
      for (auto& [each, node] : aCluster.m_nodes) {
        aCluster.Start(each);
      }
      break;
    case StepKind::Partition:
      for (auto& [each, node] : aCluster.m_nodes) {
        network.m_partition[each] = (argument >> (each % 8)) & 1;
      }
      break;
    case StepKind::Isolate:
      if (const Raft* leader = aCluster.Leader()) {
        network.m_partition[leader->Self()] = 2;
      }
      break;
    case StepKind::Heal:
      network.m_partition.clear();
      break;
    case StepKind::BadNetwork:
      network.m_lossPercent = argument % 30;
      network.m_duplicatePercent = argument % 20;
      network.m_maxDelayMs = argument % 300;
      break;
    case StepKind::SlowDisks:
      network.m_maxSyncMs = argument;
      break;
    case StepKind::AddMember:
      if (aCluster.m_nodes.size() < 7) {
        const MemberId added = aCluster.NewNode();
        aCluster.Start(added);
        ChangeOnce(aCluster, MembershipChangeKind::AddLearner, added);
      }
      break;
    case StepKind::Promote:
      ChangeOnce(aCluster, MembershipChangeKind::Promote, id);
      break;
    case StepKind::RemoveMember:
      ChangeOnce(aCluster, MembershipChangeKind::Remove, id);
      break;
    case StepKind::DemoteMember:
      ChangeOnce(aCluster, MembershipChangeKind::Demote, id);
      break;
  }
}

void CheckSafety(size_t aVoters)
{
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto steps = *rc::gen::scale(2.0, GenerateSteps());
  Cluster cluster(aVoters, seed);
  cluster.Run(2500);
  for (const TestStep& step : steps) {
    ExecuteStep(cluster, step);
    cluster.Run(100);
    cluster.CheckLogs();
  }
  cluster.Converge();
}

RC_GTEST_PROP(RaftTest, ThreeMembersStaySafeUnderFaults, ())
{
  CheckSafety(3);
}

RC_GTEST_PROP(RaftTest, FiveMembersStaySafeUnderFaults, ())
{
  CheckSafety(5);
}

// A member that lost its disk rejoins with a new member id. It must not count
// towards a quorum until it is promoted; after that the group must tolerate
// another loss.
RC_GTEST_PROP(RaftTest, ReplacedMemberCountsOnlyOncePromoted, ())
{
  Cluster cluster(3, *rc::gen::arbitrary<uint64_t>());
  for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
    RC_ASSERT(cluster.Commit());
  }
  const MemberId lost = MemberAt(cluster, *rc::gen::inRange(0, 3));
  cluster.LoseDisk(lost);
  const MemberId replacement = cluster.NewNode();
  cluster.Start(replacement);
  RC_ASSERT(cluster.Commit());
  RC_ASSERT(cluster.Change(MembershipChangeKind::AddLearner, replacement));

  // Only leader and learner run: two members, but one voter of three.
  const MemberId leaderId = cluster.Leader()->Self();
  for (auto& [id, node] : cluster.m_nodes) {
    if (id != leaderId && id != replacement) {
      cluster.Crash(id);
    }
  }
  RC_ASSERT(!cluster.Commit(5000));
  for (auto& [id, node] : cluster.m_nodes) {
    cluster.Start(id);
  }

  RC_ASSERT(cluster.Change(MembershipChangeKind::Remove, lost));
  RC_ASSERT(cluster.Change(MembershipChangeKind::Promote, replacement));
  MemberId second = MemberAt(cluster, *rc::gen::inRange(0, 3));
  second = second == replacement ? leaderId : second;
  cluster.LoseDisk(second);
  RC_ASSERT(cluster.Commit());
  cluster.Converge();
}

TEST(RaftTest, MemberWithoutMembershipNeitherVotesNorCampaigns)
{
  Cluster cluster(1, 1);
  const MemberId added = cluster.NewNode();
  cluster.Start(added);
  cluster.Run(10000);
  const Raft& raft = *cluster.m_nodes.at(added).m_raft;
  EXPECT_EQ(raft.GetRole(), Role::Follower);
  EXPECT_EQ(raft.Term(), 0);
  Raft voter(RaftSettings{}, { added }, 1, TimePoint{});
  wire::RaftMessage request;
  request.kind = wire::RaftMessageKind::VoteRequest;
  request.fromMember = 9;
  request.toMember = added;
  request.term = 5;
  voter.Receive(TimePoint{} + std::chrono::seconds(10), request);
  EXPECT_FALSE(voter.TakeActions().NeedsPersistence());
  EXPECT_TRUE(voter.TakeActions().m_send.empty());
}

TEST(RaftTest, LearnerThatHasNotCaughtUpIsNotPromoted)
{
  Cluster cluster(3, 2);
  ASSERT_TRUE(cluster.Commit());
  const MemberId absent = cluster.NewNode();
  ASSERT_TRUE(cluster.Change(MembershipChangeKind::AddLearner, absent));
  EXPECT_FALSE(cluster.Change(MembershipChangeKind::Promote, absent, 5000));
  cluster.Start(absent);
  EXPECT_TRUE(cluster.Change(MembershipChangeKind::Promote, absent));
}

TEST(RaftTest, BootstrappedMemberGrowsToThreeVoters)
{
  const TimePoint start;
  wire::Membership alone;
  alone.members.push_back(Cluster::MakeMember(7, true));
  Raft raft(RaftSettings{}, { 7 }, 1, start);
  ASSERT_TRUE(raft.Bootstrap(start, alone));
  EXPECT_FALSE(raft.Bootstrap(start, alone));
  raft.OnPersisted(start, raft.TakeActions().m_sequence);
  raft.Tick(start + std::chrono::seconds(3));
  // The member's own vote counts only once it is synced.
  EXPECT_EQ(raft.GetRole(), Role::Candidate);
  raft.OnPersisted(start + std::chrono::seconds(3),
                   raft.TakeActions().m_sequence);
  EXPECT_EQ(raft.GetRole(), Role::Leader);

  Cluster cluster(1, 3);
  ASSERT_TRUE(cluster.Commit());
  for (int i = 0; i < 2; ++i) {
    const MemberId added = cluster.NewNode();
    cluster.Start(added);
    ASSERT_TRUE(cluster.Change(MembershipChangeKind::AddLearner, added));
    ASSERT_TRUE(cluster.Change(MembershipChangeKind::Promote, added));
  }
  cluster.Crash(cluster.Leader()->Self());
  EXPECT_TRUE(cluster.Commit());
}

TEST(RaftTest, ProposalToAFollowerNamesTheLeader)
{
  Cluster cluster(3, 4);
  ASSERT_TRUE(cluster.Commit());
  cluster.Run(500);
  const MemberId leaderId = cluster.Leader()->Self();
  for (auto& [id, node] : cluster.m_nodes) {
    if (id == leaderId) {
      continue;
    }
    const auto refused = node.m_raft->Propose(TimePoint{}, "x");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().m_code, ErrorCode::Unavailable);
    EXPECT_EQ(refused.error().m_peer, "api-" + std::to_string(leaderId));
  }
}

// A member without a quorum must report how long its data has not been
// confirmed as current.
TEST(RaftTest, FreshnessAgeGrowsWithoutAQuorum)
{
  Cluster cluster(3, 5);
  ASSERT_TRUE(cluster.Commit());
  cluster.Run(1000);
  Raft& isolated = *cluster.Leader();
  cluster.m_network.m_partition[isolated.Self()] = 1;
  cluster.Run(4000);
  for (auto& [id, node] : cluster.m_nodes) {
    const Duration age = node.m_raft->FreshnessAge(cluster.Now(id));
    if (node.m_raft.get() == &isolated) {
      EXPECT_GT(age, milliseconds(3000));
      EXPECT_NE(isolated.GetRole(), Role::Leader);
    } else {
      EXPECT_LT(age, milliseconds(1000));
    }
  }
}

} // namespace
} // namespace wigeonfold::consensus
