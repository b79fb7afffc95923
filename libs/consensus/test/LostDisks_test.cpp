// Guards against a sound member that is taken for one with a lost disk, which
// could lead to two leaders, and against a lost disk that goes unnoticed.
#include "wigeonfold/consensus/LostDisks.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

using namespace std::chrono_literals;

class LostDisksTest : public testing::Test
{
protected:
  static wire::Membership MembershipOf(std::initializer_list<MemberId> aIds)
  {
    wire::Membership membership;
    for (const MemberId id : aIds) {
      wire::Member member;
      member.memberId = id;
      member.peerAddress = AddressOf(id);
      member.voter = true;
      membership.members.push_back(member);
    }
    return membership;
  }

  // Ids 1 and 10 have the same address, 2 and 20, and so on.
  static std::string AddressOf(MemberId aId)
  {
    return "10.0.0." + std::to_string(aId < 10 ? aId : aId / 10) + ":1";
  }

  void Answer(MemberId aId, TimePoint aDialedAt)
  {
    ControlVmState& vm = m_vms[aId];
    vm.m_hello.memberId = aId;
    vm.m_hello.peerAddress = AddressOf(aId);
    vm.m_dialedAt = aDialedAt;
  }

  void Update(const wire::Membership& aMembership, TimePoint aNow)
  {
    m_disks.Update(aMembership, aMembership, aNow);
  }

  LostDisks m_disks;
  std::map<MemberId, ControlVmState> m_vms;
  const TimePoint m_start{ 1h };
};

TEST_F(LostDisksTest, AddressThatAnswersWithAnotherId)
{
  Update(MembershipOf({ 1, 2, 3 }), m_start);
  Answer(2, m_start + 1s);
  EXPECT_TRUE(m_disks.Find(m_vms).empty());
  Answer(20, m_start + 2s);
  EXPECT_EQ(m_disks.Find(m_vms), std::set<MemberId>{ 2 });
}

// The new id was added while an old hello of the lost one is still known, or
// arrives late on a connection from before.
TEST_F(LostDisksTest, OldAnswerProvesNothingAgainstANewMember)
{
  Answer(2, m_start);
  Update(MembershipOf({ 1, 20, 3 }), m_start + 1s);
  EXPECT_TRUE(m_disks.Find(m_vms).empty());
  Answer(2, m_start + 500ms);
  EXPECT_TRUE(m_disks.Find(m_vms).empty());
}

// A connection that is opened right after the start stays open, and is the only
// proof that there will be.
TEST_F(LostDisksTest, MembersOfTheLogAtTheStartAreOlderThanAllConnections)
{
  const wire::Membership membership = MembershipOf({ 1, 2, 3 });
  m_disks = LostDisks(membership, membership);
  Answer(20, m_start);
  Update(membership, m_start + 100ms);
  EXPECT_EQ(m_disks.Find(m_vms), std::set<MemberId>{ 2 });
}

TEST_F(LostDisksTest, HelloOfAnIncomingConnectionProvesNothing)
{
  Update(MembershipOf({ 1, 2, 3 }), m_start);
  Answer(20, m_start + 1s);
  m_vms[20].m_dialedAt.reset();
  EXPECT_TRUE(m_disks.Find(m_vms).empty());
}

// An uncommitted removal leaves the member in the quorum of the membership
// before it.
TEST_F(LostDisksTest, MemberOfThePreviousMembershipIsFound)
{
  Update(MembershipOf({ 1, 2, 3 }), m_start);
  Answer(20, m_start + 1s);
  m_disks.Update(MembershipOf({ 1, 3 }), MembershipOf({ 1, 2, 3 }), m_start);
  EXPECT_EQ(m_disks.Find(m_vms), std::set<MemberId>{ 2 });
  Update(MembershipOf({ 1, 3 }), m_start);
  EXPECT_TRUE(m_disks.Find(m_vms).empty());
}

// Any two groups that can decide share a voter whose disk is not lost, also
// when only one of them knows of the lost disks.
TEST(QuorumSizeAfterLoss, QuorumsOverlapInASoundVoter)
{
  for (size_t voters = 1; voters <= 21; ++voters) {
    for (size_t lost = 0; lost < voters; ++lost) {
      const size_t sound = voters - lost;
      const size_t small = QuorumSizeAfterLoss(voters, lost);
      EXPECT_GT(2 * small, sound) << voters << " voters, " << lost << " lost";
      const size_t majority = QuorumSizeAfterLoss(voters, 0);
      EXPECT_EQ(majority, voters / 2 + 1);
      const size_t soundOfMajority = majority > lost ? majority - lost : 0;
      EXPECT_GT(soundOfMajority + small, sound)
        << voters << " voters, " << lost << " lost";
    }
  }
}

} // namespace
} // namespace wigeonfold::consensus
