// Guards against connections that are given up although the peer answers: while
// a large answer arrives, and after a pause of this process.
#include "wigeonfold/forwarding/PeerLiveness.h"

#include <gtest/gtest.h>

namespace wigeonfold::forwarding {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{ 50 };

struct Connection
{
  // Checks every 50 ms for that long, while bytes arrive at the given rate, and
  // returns the last condition.
  PeerCondition Run(milliseconds aTime, uint64_t aBytesPerCheck)
  {
    PeerCondition condition = PeerCondition::Alive;
    for (milliseconds passed{}; passed < aTime; passed += kInterval) {
      m_now += kInterval;
      m_bytes += aBytesPerCheck;
      condition = m_liveness.Check(m_bytes, m_hasCalls, m_now);
    }
    return condition;
  }

  PeerLiveness m_liveness;
  TimePoint m_now = TimePoint{} + std::chrono::hours(1);
  uint64_t m_bytes = 0;
  bool m_hasCalls = true;
};

TEST(PeerLiveness, PassesThroughTheConditions)
{
  Connection connection;
  connection.Run(milliseconds(50), 1);
  EXPECT_EQ(connection.Run(milliseconds(150), 0), PeerCondition::Alive);
  EXPECT_EQ(connection.Run(milliseconds(50), 0), PeerCondition::Quiet);
  EXPECT_EQ(connection.Run(milliseconds(350), 0), PeerCondition::Silent);
  EXPECT_EQ(connection.Run(milliseconds(950), 0), PeerCondition::Silent);
  EXPECT_EQ(connection.Run(milliseconds(50), 0), PeerCondition::Lost);
}

// An answer of 540 KB on a full link of 17 Mbit/s takes longer than the limit
// of silence to arrive whole. Such connections were given up, and the requests
// on them ended although their targets were at work.
TEST(PeerLiveness, ALargeAnswerThatArrivesSlowlyIsNoSilence)
{
  Connection connection;
  EXPECT_EQ(connection.Run(milliseconds(3000), 1000), PeerCondition::Alive);
}

TEST(PeerLiveness, AConnectionWithoutCallsMayBeSilent)
{
  Connection connection;
  connection.m_hasCalls = false;
  EXPECT_EQ(connection.Run(milliseconds(5000), 0), PeerCondition::Alive);
  connection.m_hasCalls = true;
  EXPECT_EQ(connection.Run(milliseconds(100), 0), PeerCondition::Alive);
}

// After a pause the answers are in the socket, but the timer may run first.
TEST(PeerLiveness, APauseOfThisProcessIsNoSilenceOfThePeer)
{
  Connection connection;
  connection.Run(milliseconds(100), 1);
  connection.m_now += std::chrono::seconds(20);
  EXPECT_EQ(connection.Run(milliseconds(50), 0), PeerCondition::Alive);
}

} // namespace
} // namespace wigeonfold::forwarding
