// Guards against lost or replaced commits, two leaders of a term, outdated
// lease holders and members that count before they should, under crashes,
// message faults, partitions, membership changes and snapshots.
#include "Cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::consensus {
namespace {

enum class Fault
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

struct Incident
{
  Fault m_fault = Fault::Run;
  int m_number = 0;
};

// Shown by RapidCheck when a sequence of incidents fails.
std::ostream& operator<<(std::ostream& aOut, const Incident& aIncident)
{
  return aOut << static_cast<int>(aIncident.m_fault) << ":"
              << aIncident.m_number;
}

rc::Gen<std::vector<Incident>> Incidents()
{
  return rc::gen::container<std::vector<Incident>>(rc::gen::apply(
    [](int aFault, int aNumber) {
      return Incident{ static_cast<Fault>(aFault), aNumber };
    },
    rc::gen::inRange(0, static_cast<int>(Fault::DemoteMember) + 1),
    rc::gen::inRange(0, 1000)));
}

// The member that a number stands for.
MemberId Pick(const Cluster& aCluster, int aNumber)
{
  auto node = aCluster.m_nodes.begin();
  std::advance(node, aNumber % static_cast<int>(aCluster.m_nodes.size()));
  return node->first;
}

void ChangeOnce(Cluster& aCluster, MembershipChangeKind aKind, MemberId aId)
{
  // At most 1 s: under faults the change may well not happen.
  (void)aCluster.Change(aKind, aId, 1000);
}

void Cause(Cluster& aCluster, const Incident& aIncident)
{
  const int number = aIncident.m_number;
  const MemberId id = Pick(aCluster, number);
  FakeNetwork& network = aCluster.m_network;
  switch (aIncident.m_fault) {
    case Fault::Run:
      aCluster.Run(number * 4);
      break;
    case Fault::Propose:
      for (int i = 0; i < 1 + number % 30; ++i) {
        aCluster.ProposeEverywhere();
      }
      aCluster.Run(number / 20);
      break;
    case Fault::Crash:
      aCluster.Crash(id);
      break;
    case Fault::Restart:
      for (auto& [each, node] : aCluster.m_nodes) {
        aCluster.Start(each);
      }
      break;
    case Fault::Partition:
      for (auto& [each, node] : aCluster.m_nodes) {
        network.m_side[each] = (number >> (each % 8)) & 1;
      }
      break;
    case Fault::Isolate:
      if (const Raft* leader = aCluster.Leader()) {
        network.m_side[leader->Self()] = 2;
      }
      break;
    case Fault::Heal:
      network.m_side.clear();
      break;
    case Fault::BadNetwork:
      network.m_lossPercent = number % 30;
      network.m_duplicatePercent = number % 20;
      network.m_maxDelayMs = number % 300;
      break;
    case Fault::SlowDisks:
      network.m_maxSyncMs = number;
      break;
    case Fault::AddMember:
      if (aCluster.m_nodes.size() < 7) {
        const MemberId added = aCluster.NewNode();
        aCluster.Start(added);
        ChangeOnce(aCluster, MembershipChangeKind::AddLearner, added);
      }
      break;
    case Fault::Promote:
      ChangeOnce(aCluster, MembershipChangeKind::Promote, id);
      break;
    case Fault::RemoveMember:
      ChangeOnce(aCluster, MembershipChangeKind::Remove, id);
      break;
    case Fault::DemoteMember:
      ChangeOnce(aCluster, MembershipChangeKind::Demote, id);
      break;
  }
}

void SafetyHolds(size_t aVoters)
{
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto incidents = *rc::gen::scale(2.0, Incidents());
  Cluster cluster(aVoters, seed);
  cluster.Run(2500);
  for (const Incident& incident : incidents) {
    Cause(cluster, incident);
    cluster.Run(100);
    cluster.CheckLogs();
  }
  cluster.Converge();
}

RC_GTEST_PROP(RaftTest, ThreeMembersStaySafeUnderFaults, ())
{
  SafetyHolds(3);
}

RC_GTEST_PROP(RaftTest, FiveMembersStaySafeUnderFaults, ())
{
  SafetyHolds(5);
}

// A member that lost its disk comes back under a new identity. It must not
// help to commit until promoted; from then on another loss is survived.
RC_GTEST_PROP(RaftTest, ReplacedMemberCountsOnlyOncePromoted, ())
{
  Cluster cluster(3, *rc::gen::arbitrary<uint64_t>());
  for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
    RC_ASSERT(cluster.Commit());
  }
  const MemberId lost = Pick(cluster, *rc::gen::inRange(0, 3));
  cluster.LoseDisk(lost);
  const MemberId fresh = cluster.NewNode();
  cluster.Start(fresh);
  RC_ASSERT(cluster.Commit());
  RC_ASSERT(cluster.Change(MembershipChangeKind::AddLearner, fresh));

  // Learner and leader alone: two running members, but one voter of three.
  const MemberId leading = cluster.Leader()->Self();
  for (auto& [id, node] : cluster.m_nodes) {
    if (id != leading && id != fresh) {
      cluster.Crash(id);
    }
  }
  RC_ASSERT(!cluster.Commit(5000));
  for (auto& [id, node] : cluster.m_nodes) {
    cluster.Start(id);
  }

  RC_ASSERT(cluster.Change(MembershipChangeKind::Remove, lost));
  RC_ASSERT(cluster.Change(MembershipChangeKind::Promote, fresh));
  MemberId second = Pick(cluster, *rc::gen::inRange(0, 3));
  second = second == fresh ? leading : second;
  cluster.LoseDisk(second);
  RC_ASSERT(cluster.Commit());
  cluster.Converge();
}

TEST(RaftTest, FreshMemberNeitherVotesNorCampaigns)
{
  Cluster cluster(1, 1);
  const MemberId fresh = cluster.NewNode();
  cluster.Start(fresh);
  cluster.Run(10000);
  const Raft& raft = *cluster.m_nodes.at(fresh).m_raft;
  EXPECT_EQ(raft.GetRole(), Role::Follower);
  EXPECT_EQ(raft.Term(), 0);
  Raft voter(RaftSettings{}, { fresh }, 1, TimePoint{});
  wire::RaftMessage request;
  request.kind = wire::RaftMessageKind::VoteRequest;
  request.fromMember = 9;
  request.toMember = fresh;
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
  // The own vote counts only once it is synced.
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

TEST(RaftTest, ProposalElsewhereNamesTheLeader)
{
  Cluster cluster(3, 4);
  ASSERT_TRUE(cluster.Commit());
  cluster.Run(500);
  const MemberId leading = cluster.Leader()->Self();
  for (auto& [id, node] : cluster.m_nodes) {
    if (id == leading) {
      continue;
    }
    const auto refused = node.m_raft->Propose(TimePoint{}, "x");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().m_code, ErrorCode::Unavailable);
    EXPECT_EQ(refused.error().m_peer, "api-" + std::to_string(leading));
  }
}

// A minority must notice that its data is no longer confirmed as current.
TEST(RaftTest, AgeGrowsOnTheMinoritySide)
{
  Cluster cluster(3, 5);
  ASSERT_TRUE(cluster.Commit());
  cluster.Run(1000);
  Raft& isolated = *cluster.Leader();
  cluster.m_network.m_side[isolated.Self()] = 1;
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
