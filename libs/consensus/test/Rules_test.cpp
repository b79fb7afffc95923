// Guards single rules of the protocol that random faults seldom isolate: what
// waits for a sync, when votes are refused, when leases end, what commits.
#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/wire/Codec.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

using Kind = wire::RaftMessageKind;
using std::chrono::milliseconds;

constexpr TimePoint kStart{};
// Past any election timeout after the start.
constexpr TimePoint kLater = kStart + milliseconds(3000);

// Member 1 of the voters 1, 2 and 3, driven by hand. Entry 1 is the
// membership, the others have the given terms.
struct Driven
{
  explicit Driven(const std::vector<int64_t>& aTerms = {})
    : m_raft({}, Initial(aTerms), 1, kStart)
  {
  }

  static RaftInitialState Initial(const std::vector<int64_t>& aTerms)
  {
    RaftInitialState initial;
    initial.m_self = 1;
    wire::Membership membership;
    for (int64_t id = 1; id <= 3; ++id) {
      membership.members.emplace_back();
      membership.members.back().memberId = id;
      membership.members.back().voter = true;
    }
    initial.m_entries.resize(1 + aTerms.size());
    for (size_t i = 0; i < initial.m_entries.size(); ++i) {
      wire::LogEntry& entry = initial.m_entries[i];
      entry.index = static_cast<int64_t>(i) + 1;
      entry.term = i == 0 ? 1 : aTerms[i - 1];
      entry.kind = wire::LogEntryKind::Noop;
    }
    initial.m_entries[0].kind = wire::LogEntryKind::Membership;
    initial.m_entries[0].payload = wire::Encode(membership);
    initial.m_hardState.m_term = initial.m_entries.back().term;
    return initial;
  }

  // From member 2, of the given term, about the position.
  void Receive(TimePoint aNow,
               Kind::type aKind,
               int64_t aTerm,
               LogPosition aPosition,
               int64_t aRound = 0)
  {
    ReceiveFrom(2, aNow, aKind, aTerm, aPosition, aRound);
  }

  void ReceiveFrom(int64_t aMember,
                   TimePoint aNow,
                   Kind::type aKind,
                   int64_t aTerm,
                   LogPosition aPosition,
                   int64_t aRound = 0,
                   bool aEarly = false)
  {
    wire::RaftMessage message;
    message.kind = aKind;
    message.fromMember = aMember;
    message.early = aEarly;
    message.toMember = 1;
    message.term = aTerm;
    message.granted = true;
    message.logIndex = aPosition.m_index;
    message.logTerm = aPosition.m_term;
    message.round = aRound;
    m_raft.Receive(aNow, message);
  }

  // Reports everything as synced.
  void Sync() { m_raft.OnPersisted(kStart, m_raft.TakeActions().m_sequence); }

  void Elect()
  {
    m_raft.Tick(kLater);
    Receive(kLater, Kind::PreVoteReply, m_raft.Term() + 1, {});
    Sync();
    Receive(kLater, Kind::VoteReply, m_raft.Term(), {});
    Sync();
    ASSERT_EQ(m_raft.GetRole(), Role::Leader);
  }

  Raft m_raft;
};

TEST(RulesTest, VoteAndAcknowledgementWaitForTheSync)
{
  Driven member;
  member.Receive(kLater, Kind::VoteRequest, 2, { 1, 1 });
  RaftActions actions = member.m_raft.TakeActions();
  EXPECT_TRUE(actions.m_send.empty());
  ASSERT_TRUE(actions.m_hardState);
  EXPECT_EQ(actions.m_hardState->m_vote, 2);
  member.m_raft.OnPersisted(kLater, actions.m_sequence);
  EXPECT_TRUE(member.m_raft.TakeActions().m_send.at(0).granted);

  wire::RaftMessage append;
  append.kind = Kind::AppendRequest;
  append.fromMember = 2;
  append.toMember = 1;
  append.term = 2;
  append.logIndex = append.logTerm = 1;
  append.entries.resize(1);
  append.entries[0].index = append.entries[0].term = 2;
  member.m_raft.Receive(kLater, append);
  actions = member.m_raft.TakeActions();
  EXPECT_EQ(actions.m_send.at(0).logIndex, 1);
  member.m_raft.OnPersisted(kLater, actions.m_sequence);
  EXPECT_EQ(member.m_raft.TakeActions().m_send.at(0).logIndex, 2);
}

// The member may have confirmed a lease before it was restarted.
TEST(RulesTest, RestartedMemberRefusesVotesForAnElectionTimeout)
{
  Driven member;
  member.Receive(kStart + milliseconds(990), Kind::VoteRequest, 2, { 1, 1 });
  EXPECT_FALSE(member.m_raft.TakeActions().NeedsPersistence());
  member.Receive(kStart + milliseconds(1000), Kind::VoteRequest, 2, { 1, 1 });
  EXPECT_TRUE(member.m_raft.TakeActions().NeedsPersistence());
}

// After a loss of power everywhere, waiting for leases that nobody holds keeps
// callers waiting. With one voter that does not answer, it may be the leader.
TEST(RulesTest, EarlyCampaignNeedsTheGrantsOfAllVoters)
{
  const TimePoint early = kStart + milliseconds(200);
  Driven member;
  member.m_raft.Tick(early);
  for (const wire::RaftMessage& request : member.m_raft.TakeActions().m_send) {
    EXPECT_EQ(request.kind, Kind::PreVoteRequest);
    EXPECT_TRUE(request.early);
  }
  member.Receive(early, Kind::PreVoteReply, 2, {});
  EXPECT_EQ(member.m_raft.GetRole(), Role::PreCandidate);
  member.ReceiveFrom(3, early, Kind::PreVoteReply, 2, {});
  EXPECT_EQ(member.m_raft.GetRole(), Role::Candidate);
  member.Sync();
  member.Receive(early, Kind::VoteReply, 2, {});
  EXPECT_EQ(member.m_raft.GetRole(), Role::Leader);
}

TEST(RulesTest, OnlyAMemberWithoutALeaderSinceItsStartGrantsEarlyVotes)
{
  const TimePoint early = kStart + milliseconds(200);
  const auto grants = [&](Driven& aMember, bool aEarly) {
    aMember.ReceiveFrom(3, early, Kind::PreVoteRequest, 5, { 1, 1 }, 0, aEarly);
    const wire::RaftMessage reply = aMember.m_raft.TakeActions().m_send.back();
    EXPECT_EQ(reply.kind, Kind::PreVoteReply);
    return reply.granted;
  };
  Driven fresh;
  EXPECT_TRUE(grants(fresh, true));
  EXPECT_FALSE(grants(fresh, false));
  Driven follower;
  follower.Receive(early, Kind::AppendRequest, 2, { 1, 1 }, 1);
  follower.Sync();
  EXPECT_FALSE(grants(follower, true));
  Driven leader;
  leader.Elect();
  EXPECT_FALSE(grants(leader, true));
}

TEST(RulesTest, LeaseEndsAfterItsTime)
{
  Driven member;
  member.Elect();
  EXPECT_FALSE(member.m_raft.HasLease(kLater));
  member.Receive(kLater + milliseconds(50), Kind::AppendReply, 2, { 2, 2 }, 1);
  EXPECT_TRUE(member.m_raft.ReadIndex(kLater + milliseconds(699)));
  // The lease counts from the sending of the round, not from the reply.
  EXPECT_FALSE(member.m_raft.ReadIndex(kLater + milliseconds(700)));
  member.m_raft.Tick(kLater + milliseconds(1001));
  EXPECT_EQ(member.m_raft.GetRole(), Role::Follower);
}

// An entry of an earlier term on a majority can still be replaced.
TEST(RulesTest, OlderTermsCommitOnlyWithAnEntryOfTheOwnTerm)
{
  Driven member({ 2 });
  member.Elect();
  member.Receive(kLater, Kind::AppendReply, 3, { 2, 2 });
  EXPECT_EQ(member.m_raft.CommitIndex(), 0);
  member.Receive(kLater, Kind::AppendReply, 3, { 3, 3 });
  EXPECT_EQ(member.m_raft.CommitIndex(), 3);
}

TEST(RulesTest, ChangesWaitForTheOwnTermAndForOneAnother)
{
  Driven member;
  member.Elect();
  MembershipChange removal{ MembershipChangeKind::Remove, {} };
  removal.m_member.memberId = 3;
  EXPECT_FALSE(member.m_raft.ProposeChange(kLater, removal));
  member.Receive(kLater, Kind::AppendReply, 2, { 2, 2 });
  EXPECT_TRUE(member.m_raft.ProposeChange(kLater, removal));
  removal.m_member.memberId = 2;
  const auto second = member.m_raft.ProposeChange(kLater, removal);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().m_code, ErrorCode::Conflict);
}

} // namespace
} // namespace wigeonfold::consensus
