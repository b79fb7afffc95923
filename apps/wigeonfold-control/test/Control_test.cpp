// Guards against settings that create a second cluster or let a lease outlast
// the election timeout, against membership steps that change more than one
// member, and against reordered values in a channel whose ring was full.
#include "Core.h"

#include <gtest/gtest.h>

namespace wigeonfold::control {
namespace {

constexpr const char* kValidSettings = R"([control]
name = a
availability-zone = z1
data-folder = data
peer-listen = 127.0.0.1:7101
node-listen = 127.0.0.1:7102
api-listen = 127.0.0.1:7103
seeds = 127.0.0.1:7101, 127.0.0.1:7201
)";

std::vector<std::string> Problems(const std::string& aExtra)
{
  auto file = SettingsFile::Parse("a.ini", kValidSettings + aExtra);
  ReadControlSettings(file);
  return file.Finish();
}

wire::Member MakeMember(int64_t aId, bool aVoter)
{
  wire::Member member;
  member.memberId = aId;
  member.voter = aVoter;
  return member;
}

TEST(ControlSettings, OwnAddressIsNoSeed)
{
  auto file = SettingsFile::Parse("a.ini", kValidSettings);
  const auto settings = ReadControlSettings(file);
  EXPECT_TRUE(file.Finish().empty());
  ASSERT_EQ(settings.m_seeds.size(), 1U);
  EXPECT_EQ(settings.m_seeds[0].m_port, 7201);
}

TEST(ControlSettings, InitialVotersNeedBootstrapAndThisName)
{
  EXPECT_EQ(Problems("initial-voters = a, b\n").size(), 1U);
  EXPECT_EQ(Problems("bootstrap = true\ninitial-voters = b, c\n").size(), 1U);
  EXPECT_TRUE(Problems("bootstrap = true\ninitial-voters = a, b\n").empty());
}

TEST(ControlSettings, LeaseMustBeShorterThanAnElection)
{
  EXPECT_EQ(Problems("[timing]\nlease = 1000ms\n").size(), 1U);
  EXPECT_EQ(Problems("[timing]\nelection-max = 900ms\n").size(), 1U);
  EXPECT_EQ(Problems("[timing]\nheartbeat = 500ms\n").size(), 1U);
}

TEST(ChangeBetween, FindsSingleStepsOnly)
{
  wire::Membership one;
  one.members = { MakeMember(1, true) };
  wire::Membership learner = one;
  learner.members.push_back(MakeMember(2, false));
  wire::Membership voter = one;
  voter.members.push_back(MakeMember(2, true));
  using Kind = consensus::MembershipChangeKind;
  EXPECT_EQ(ChangeBetween(one, learner)->m_kind, Kind::AddLearner);
  EXPECT_EQ(ChangeBetween(learner, voter)->m_kind, Kind::Promote);
  EXPECT_EQ(ChangeBetween(voter, learner)->m_kind, Kind::Demote);
  EXPECT_EQ(ChangeBetween(voter, one)->m_kind, Kind::Remove);
  EXPECT_FALSE(ChangeBetween(one, one));
  wire::Membership other;
  other.members = { MakeMember(3, true) };
  EXPECT_FALSE(ChangeBetween(one, other));
}

TEST(Channel, KeepsTheOrderWhenTheRingWasFull)
{
  boost::asio::io_context io;
  Channel<int> channel(4);
  std::vector<int> seen;
  channel.Attach(io, [&seen](int aValue) { seen.push_back(aValue); });
  for (int value = 0; value < 10; ++value) {
    channel.Push(value);
  }
  EXPECT_FALSE(channel.TryPush(99));
  for (int round = 0; round < 5; ++round) {
    io.restart();
    io.poll();
    channel.Flush();
  }
  EXPECT_EQ(seen, (std::vector<int>{ 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 }));
}

} // namespace
} // namespace wigeonfold::control
