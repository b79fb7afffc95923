// Guards against a group that does not replace a lost voter, the removal of a
// voter without a quorum of the others, two clusters formed from the same
// seeds, and votes of a member id whose disk is lost.
#include "wigeonfold/consensus/MembershipPolicy.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

using namespace std::chrono_literals;
using Kind = MembershipChangeKind;

class MembershipPolicy : public testing::Test
{
protected:
  wire::Member& AddMember(MemberId aId, bool aVoter)
  {
    wire::Member member;
    member.memberId = aId;
    member.name = "c" + std::to_string(aId);
    member.peerAddress = "10.0.0." + std::to_string(aId) + ":1";
    member.voter = aVoter;
    m_membership.members.push_back(member);
    SetContact(aId, m_now);
    return m_membership.members.back();
  }

  ControlVmState& SetContact(MemberId aId, TimePoint aAt)
  {
    ControlVmState& vm = m_vms[aId];
    vm.m_hello.memberId = aId;
    vm.m_hello.name = "c" + std::to_string(aId);
    vm.m_hello.peerAddress = "10.0.0." + std::to_string(aId) + ":1";
    vm.m_helloAt = aAt;
    vm.m_contactAt = aAt;
    return vm;
  }

  std::optional<MembershipStep> Next() const
  {
    return NextMembershipStep(
      m_membership, 1, m_vms, m_caughtUp, m_options, m_now);
  }

  // Applies steps until there are none. False when there still are after 20.
  bool ApplyAllSteps()
  {
    for (int i = 0; i < 20; ++i) {
      const auto step = Next();
      if (!step) {
        return true;
      }
      const auto changed = ApplyChange(m_membership, step->m_change);
      EXPECT_TRUE(changed);
      m_membership = changed.value();
      for (const wire::Member& member : m_membership.members) {
        m_caughtUp.insert(member.memberId);
      }
    }
    return false;
  }

  std::set<MemberId> Voters() const
  {
    std::set<MemberId> voters;
    for (const wire::Member& member : m_membership.members) {
      if (member.voter) {
        voters.insert(member.memberId);
      }
    }
    return voters;
  }

  wire::Membership m_membership;
  std::map<MemberId, ControlVmState> m_vms;
  std::set<MemberId> m_caughtUp;
  MembershipPolicyOptions m_options;
  TimePoint m_now{ 1h };
};

TEST_F(MembershipPolicy, GrowsToThreeVotersFromOne)
{
  AddMember(1, true);
  SetContact(2, m_now);
  SetContact(3, m_now);
  SetContact(4, m_now);
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters().size(), 3U);
  EXPECT_EQ(m_membership.members.size(), 4U);
}

TEST_F(MembershipPolicy, ReplacesAVmThatLostItsDisk)
{
  AddMember(1, true);
  AddMember(2, true);
  AddMember(3, true);
  m_now += 3s;
  SetContact(1, m_now);
  SetContact(2, m_now);
  ControlVmState& replacement = SetContact(30, m_now);
  replacement.m_hello.name = "c3";
  replacement.m_hello.peerAddress = "10.0.0.3:1";
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 1, 2, 30 }));
  EXPECT_EQ(FindMember(m_membership, 3), nullptr);
}

TEST_F(MembershipPolicy, ReplacesAnUnreachableVoterByAVmAtAnotherAddress)
{
  AddMember(1, true);
  AddMember(2, true);
  AddMember(3, true);
  m_now += 2s;
  SetContact(1, m_now);
  SetContact(2, m_now);
  SetContact(9, m_now);
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 1, 2, 9 }));
}

// The voter may be back when its successor is promoted. If it were demoted
// first, two voters would be left for a moment, and one lost disk would end the
// group though three VMs have all entries.
TEST_F(MembershipPolicy, SuccessorOfAnUnreachableVoterIsPromotedFirst)
{
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  AddMember(4, false);
  m_caughtUp = { 1, 2, 4 };
  m_vms[3].m_contactAt = m_now - m_options.m_replaceAfter;
  const auto first = Next();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->m_change.m_kind, Kind::Promote);
  EXPECT_EQ(first->m_change.m_member.memberId, 4);
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 1, 2, 4 }));
}

// A learner that has just ended is in contact for a while longer.
TEST_F(MembershipPolicy, LearnerHeardOfLastIsPromoted)
{
  for (const MemberId id : { 1, 2 }) {
    AddMember(id, true);
  }
  AddMember(3, false);
  AddMember(4, false);
  m_caughtUp = { 1, 2, 3, 4 };
  m_vms[3].m_contactAt = m_now - 200ms;
  const auto step = Next();
  ASSERT_TRUE(step);
  EXPECT_EQ(step->m_change.m_member.memberId, 4);
}

// Guards against a zone that holds half of the voters, so that nothing can be
// decided while it is cut off.
TEST_F(MembershipPolicy, VotersAreSpreadOverTheZones)
{
  m_options.m_voters = 5;
  m_options.m_standbyVoters = 1;
  for (MemberId id = 1; id <= 15; ++id) {
    wire::Member& member = AddMember(id, id <= 3);
    member.availabilityZone = id <= 6 ? "a" : "z" + std::to_string(id % 4);
    m_caughtUp.insert(id);
    // Those of zone a were heard of last.
    m_vms[id].m_contactAt = m_now - (id <= 6 ? 10ms : 100ms);
  }
  ASSERT_TRUE(ApplyAllSteps());
  std::map<std::string, int> votersByZone;
  for (const wire::Member& member : m_membership.members) {
    votersByZone[member.availabilityZone] += member.voter ? 1 : 0;
  }
  EXPECT_EQ(Voters().size(), 6U);
  EXPECT_EQ(votersByZone["a"], 3); // of the beginning
  for (const auto& [zone, voters] : votersByZone) {
    EXPECT_LE(voters, zone == "a" ? 3 : 1) << zone;
  }
}

// A learner that may have ended is not promoted on account of its zone.
TEST_F(MembershipPolicy, LearnerNotHeardOfLatelyIsNoMatchForOneThatWas)
{
  AddMember(1, true).availabilityZone = "a";
  AddMember(2, true).availabilityZone = "b";
  AddMember(3, false).availabilityZone = "c";
  AddMember(4, false).availabilityZone = "a";
  m_caughtUp = { 1, 2, 3, 4 };
  m_vms[3].m_contactAt = m_now - 600ms;
  m_vms[4].m_contactAt = m_now - 50ms;
  const auto step = Next();
  ASSERT_TRUE(step);
  EXPECT_EQ(step->m_change.m_member.memberId, 4);
}

// With a standby voter the group has one more than it needs, until one has no
// contact; then the latter is demoted, and not another one.
TEST_F(MembershipPolicy, StandbyVoterIsKeptWhileAllAreInContact)
{
  m_options.m_standbyVoters = 1;
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  AddMember(4, false);
  AddMember(5, false);
  m_caughtUp = { 1, 2, 3, 4, 5 };
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters().size(), 4U);
  m_now += m_options.m_replaceAfter;
  for (const MemberId id : { 1, 2, 4, 5 }) {
    SetContact(id, m_now);
  }
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters().size(), 4U);
  EXPECT_EQ(Voters().count(3), 0U);
}

TEST_F(MembershipPolicy, KeepsAnUnreachableVoterWithoutAReplacement)
{
  AddMember(1, true);
  AddMember(2, true);
  AddMember(3, true);
  m_now += 10s;
  SetContact(1, m_now);
  SetContact(2, m_now);
  EXPECT_FALSE(Next());
}

TEST_F(MembershipPolicy, RemovesNoVoterWithoutAQuorumOfTheOthers)
{
  AddMember(1, true);
  AddMember(2, true);
  AddMember(3, true);
  AddMember(4, false);
  m_caughtUp = { 4 };
  m_now += 10s;
  SetContact(4, m_now);
  EXPECT_FALSE(Next());
}

TEST_F(MembershipPolicy, PromotesOnlyALearnerThatHasCaughtUp)
{
  AddMember(1, true);
  AddMember(2, true);
  AddMember(3, false);
  EXPECT_FALSE(Next());
  m_caughtUp = { 3 };
  ASSERT_TRUE(Next());
  EXPECT_EQ(Next()->m_change.m_kind, Kind::Promote);
}

// ---- Formation -------------------------------------------------------------

wire::ControlHello Hello(int aNumber, bool aMayBootstrap = true)
{
  wire::ControlHello hello;
  hello.memberId = aNumber;
  hello.peerAddress = "10.0.0." + std::to_string(aNumber) + ":1";
  hello.mayBootstrap = aMayBootstrap;
  return hello;
}

std::map<MemberId, ControlVmState> Vms(
  const std::vector<wire::ControlHello>& aHellos)
{
  std::map<MemberId, ControlVmState> vms;
  for (const wire::ControlHello& hello : aHellos) {
    vms[hello.memberId].m_hello = hello;
  }
  return vms;
}

TEST(Formation, ExactlyOneSeedCreatesTheCluster)
{
  int forming = 0;
  for (int self = 1; self <= 3; ++self) {
    std::set<std::string> seeds;
    std::vector<wire::ControlHello> hellos;
    for (int other = 1; other <= 3; ++other) {
      if (other != self) {
        seeds.insert(Hello(other).peerAddress);
        hellos.push_back(Hello(other));
      }
    }
    forming += MayFormCluster(Hello(self), seeds, Vms(hellos)) ? 1 : 0;
  }
  EXPECT_EQ(forming, 1);
}

TEST(Formation, WaitsForEverySeed)
{
  EXPECT_FALSE(MayFormCluster(
    Hello(1), { "10.0.0.2:1", "10.0.0.3:1" }, Vms({ Hello(2) })));
}

// A seed whose restart has taken away the right to create the cluster must not
// keep the next one from it.
TEST(Formation, NextSeedCreatesTheClusterWhenTheFirstMayNot)
{
  EXPECT_TRUE(MayFormCluster(Hello(2),
                             { "10.0.0.1:1", "10.0.0.3:1" },
                             Vms({ Hello(1, false), Hello(3) })));
}

// The first seed said that it may create the cluster, and lost its disk.
TEST(Formation, HelloOfALostDiskKeepsNobodyFromCreatingTheCluster)
{
  auto vms = Vms({ Hello(1), Hello(3) });
  wire::ControlHello again = Hello(1, false);
  again.memberId = 11;
  vms[11].m_hello = again;
  EXPECT_FALSE(MayFormCluster(Hello(2), { "10.0.0.1:1", "10.0.0.3:1" }, vms));
  vms[11].m_helloAt = vms[1].m_helloAt + 1s;
  EXPECT_TRUE(MayFormCluster(Hello(2), { "10.0.0.1:1", "10.0.0.3:1" }, vms));
  const auto first =
    FirstMembership(Hello(2), { "10.0.0.1:1", "10.0.0.3:1" }, vms, {});
  EXPECT_EQ(VoterCount(first), 3U);
  EXPECT_TRUE(IsVoter(first, 11));
}

// One disk must not hold all of a new cluster.
TEST(Formation, SeedsAreTheFirstVoters)
{
  const auto vms = Vms({ Hello(2), Hello(3), Hello(4) });
  const std::set<std::string> seeds = { "10.0.0.2:1", "10.0.0.3:1" };
  const auto first = FirstMembership(Hello(1), seeds, vms, {});
  EXPECT_EQ(VoterCount(first), 3U);
  EXPECT_FALSE(IsVoter(first, 4));
  MembershipPolicyOptions one;
  one.m_voters = 1;
  EXPECT_EQ(VoterCount(FirstMembership(Hello(1), seeds, vms, one)), 1U);
}

TEST(Formation, OnlyAVmThatIsNamedByItsIdTakesPart)
{
  auto hello = Hello(1);
  hello.__set_formation(FirstMembership(
    Hello(1), { "10.0.0.2:1", "10.0.0.3:1" }, Vms({ Hello(2), Hello(3) }), {}));
  const auto vms = Vms({ hello });
  EXPECT_NE(FindFormation(2, vms), nullptr);
  EXPECT_EQ(FindFormation(22, vms), nullptr);
}

TEST(Formation, CreatesNoSecondCluster)
{
  auto member = Hello(2);
  member.hasLog = true;
  EXPECT_FALSE(MayFormCluster(
    Hello(1), { "10.0.0.2:1", "10.0.0.3:1" }, Vms({ member, Hello(3) })));
}

// A planned replacement: one disk that is lost right after the old voter has
// ended must leave a quorum, so its successor votes before it stops.
TEST_F(MembershipPolicy, StoppingVoterIsDemotedOnceItsSuccessorVotes)
{
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  AddMember(4, false);
  m_caughtUp = { 1, 2, 3, 4 };
  EXPECT_FALSE(Next());
  m_vms[2].m_hello.stopping = true;
  const auto first = Next();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->m_change.m_kind, Kind::Promote);
  EXPECT_EQ(first->m_change.m_member.memberId, 4);
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 1, 3, 4 }));
}

TEST_F(MembershipPolicy, StoppingLeaderIsReplacedAsWell)
{
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  AddMember(4, false);
  m_caughtUp = { 1, 2, 3, 4 };
  m_vms[1].m_hello.stopping = true;
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 2, 3, 4 }));
}

// Two planned replacements, one right after the other.
TEST_F(MembershipPolicy, TwoStoppingVotersAreReplacedOneAfterTheOther)
{
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  AddMember(4, false);
  AddMember(5, false);
  m_caughtUp = { 1, 2, 3, 4, 5 };
  m_vms[2].m_hello.stopping = true;
  m_vms[3].m_hello.stopping = true;
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters(), (std::set<MemberId>{ 1, 4, 5 }));
}

// A voter is stopped and back before it was demoted. Four voters need three of
// them, so they bear no more losses than three do, and a silent end of one
// leaves nothing to spare.
TEST_F(MembershipPolicy, VoterThatIsBackAfterItWasReplacedIsOneTooMany)
{
  for (const MemberId id : { 1, 2, 3, 4 }) {
    AddMember(id, true);
  }
  ASSERT_TRUE(ApplyAllSteps());
  EXPECT_EQ(Voters().size(), 3U);
  EXPECT_TRUE(IsVoter(m_membership, 1));
}

TEST_F(MembershipPolicy, VoterWithoutContactIsTheOneTooMany)
{
  for (const MemberId id : { 1, 2, 3, 4 }) {
    AddMember(id, true);
  }
  m_vms[2].m_contactAt = m_now - m_options.m_replaceAfter;
  const auto step = Next();
  ASSERT_TRUE(step);
  EXPECT_EQ(step->m_change.m_kind, Kind::Demote);
  EXPECT_EQ(step->m_change.m_member.memberId, 2);
}

// Its successor votes, but the group needs three of four voters until the
// stopping one is demoted: one lost disk would leave two.
TEST_F(MembershipPolicy, StoppingVoterAwaitsItsDemotionOnceItsSuccessorVotes)
{
  for (const MemberId id : { 1, 2, 3, 4 }) {
    AddMember(id, true);
  }
  m_vms[2].m_hello.stopping = true;
  EXPECT_TRUE(ShouldAwaitDemotion(m_membership, 2, m_vms, m_options, m_now));
  // Another one stops as well, and nobody is there to replace both.
  m_vms[3].m_hello.stopping = true;
  EXPECT_FALSE(ShouldAwaitDemotion(m_membership, 2, m_vms, m_options, m_now));
}

// All VMs are stopped and started in turn: no learner is there, and the voter
// must not be taken away.
TEST_F(MembershipPolicy, StoppingVoterWithoutASuccessorStaysAVoter)
{
  for (const MemberId id : { 1, 2, 3 }) {
    AddMember(id, true);
  }
  m_caughtUp = { 1, 2, 3 };
  m_vms[2].m_hello.stopping = true;
  EXPECT_FALSE(Next());
  const auto awaits = [this](MemberId aSelf) {
    return ShouldAwaitDemotion(m_membership, aSelf, m_vms, m_options, m_now);
  };
  EXPECT_FALSE(awaits(2));
  SetContact(4, m_now); // not a member yet
  EXPECT_TRUE(awaits(2));
  EXPECT_FALSE(awaits(4));
  m_vms[4].m_hello.stopping = true;
  EXPECT_FALSE(awaits(2));
  m_vms[4].m_hello.stopping = false;
  m_vms[4].m_contactAt = m_now - m_options.m_replaceAfter;
  EXPECT_FALSE(awaits(2));
}

} // namespace
} // namespace wigeonfold::consensus
