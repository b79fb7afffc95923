// Guards against a change that is acknowledged and then lost with one disk,
// since the group had too few voters, and against a group that accepts nothing
// because a VM is lost.
#include "wigeonfold/consensus/ChangeGate.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

using namespace std::chrono_literals;

class Gate : public testing::Test
{
protected:
  // Voters 1 to aVoters; aOthers are in contact but no voters.
  bool MayAccept(MemberId aVoters, const std::set<MemberId>& aOthers)
  {
    wire::Membership membership;
    for (MemberId id = 1; id <= aVoters; ++id) {
      wire::Member member;
      member.memberId = id;
      member.voter = true;
      membership.members.push_back(member);
    }
    std::map<MemberId, ControlVmState> vms;
    for (const MemberId id : aOthers) {
      vms[id].m_hello.memberId = id;
      vms[id].m_contactAt = m_lastContact;
    }
    return m_gate->MayAccept(membership, 1, vms, m_now);
  }

  TimePoint m_now{ 1h };
  TimePoint m_lastContact{ 1h };
  std::optional<ChangeGate> m_gate{ std::in_place,
                                    1,
                                    MembershipPolicyOptions() };
};

// At the first start the third VM is promoted a moment after the second one.
TEST_F(Gate, WaitsForTheVoterThatBearsTheLossOfAnother)
{
  EXPECT_FALSE(MayAccept(1, { 2, 3 }));
  EXPECT_FALSE(MayAccept(2, { 3 }));
  EXPECT_TRUE(MayAccept(3, {}));
}

TEST_F(Gate, AcceptsWithoutAVmThatIsLostAlready)
{
  EXPECT_FALSE(MayAccept(1, {}));
  EXPECT_TRUE(MayAccept(2, {}));
  m_now += 2s; // no contact to it meanwhile
  EXPECT_TRUE(MayAccept(2, { 3 }));
}

TEST_F(Gate, DoesNotWaitForeverForAVmThatDoesNotCatchUp)
{
  EXPECT_FALSE(MayAccept(2, { 3 }));
  m_now = m_lastContact += ChangeGate::kMaxWait - 1ms;
  EXPECT_FALSE(MayAccept(2, { 3 }));
  m_now = m_lastContact += 1ms;
  EXPECT_TRUE(MayAccept(2, { 3 }));
  // A later replacement is waited for anew.
  EXPECT_TRUE(MayAccept(3, {}));
  EXPECT_FALSE(MayAccept(2, { 4 }));
}

TEST_F(Gate, WithoutToleratedLossesOneVoterIsEnough)
{
  m_gate.emplace(0, MembershipPolicyOptions());
  EXPECT_TRUE(MayAccept(1, { 2, 3 }));
}

} // namespace
} // namespace wigeonfold::consensus
