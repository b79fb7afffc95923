// Guards against requests that reach a target after it has said that it leaves.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

using LeavingTarget = TestNodes;

Reaction LeavingAnswer()
{
  return Reaction{ "HTTP/1.1 200 OK\r\nWigeonfold-Leaving: yes\r\n"
                   "Content-Length: 1\r\n\r\nx" };
}

// The target's heartbeat is late or lost.
TEST_F(LeavingTarget, GetsNoRequestAfterAnAnswerThatSaysSo)
{
  TestTarget& target =
    ServeAtPeer([](int, const std::string&) { return LeavingAnswer(); });
  EXPECT_EQ(Call(0, Post("/lots")).m_status, 200);
  ExpectOutcome(Call(0, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(Call(1, Post("/lots")).m_status, 503);
  EXPECT_EQ(target.m_requests, 1);
}

// The node has forgotten that its target leaves, and a late heartbeat says that
// it is ready.
TEST_F(LeavingTarget, GetsNoRequestFromThoseWhoKnowAfterItsNodeWasRestarted)
{
  TestTarget& target =
    ServeAtPeer([](int, const std::string&) { return LeavingAnswer(); });
  EXPECT_EQ(Call(0, Post("/lots")).m_status, 200);
  Restart(1);
  Announce(1, target.Port());
  SetView({ EndpointOf(1) });
  ExpectOutcome(Call(0, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(target.m_requests, 1);
}

// The same, but the node knows it from its own announcement before the restart.
TEST_F(LeavingTarget, GetsNoRequestAfterARestartOfItsNode)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Announce(1, target.Port(), 4, true);
  ASSERT_FALSE(m_announced.empty());
  ASSERT_TRUE(m_announced.back().__isset.leaving);
  const auto start = wire::FromWire(m_announced.back().leaving);
  Restart(1);
  Announce(1, target.Port());
  RunOnIoThread([&] {
    ViewUpdate update;
    update.m_leaving = { { start, true } };
    m_nodes[1]->OnView(update);
  });
  SetView({ EndpointOf(1) });
  ExpectOutcome(Call(0, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(target.m_requests, 0);
}

// A new target beside the same node is used.
TEST_F(LeavingTarget, SuccessorBesideTheSameNodeIsUsed)
{
  TestTarget& target = ServeAtPeer([](int aNumber, const std::string&) {
    return aNumber == 0 ? LeavingAnswer() : Reaction{ CompleteAnswer("new") };
  });
  EXPECT_EQ(Call(0, Post("/lots")).m_status, 200);
  RunOnIoThread([&] {
    Announcement successor;
    successor.m_service = "lots";
    successor.m_address = { "127.0.0.1", target.Port() };
    successor.m_slots = 4;
    successor.m_connections = 10;
    successor.m_instance = "j";
    m_nodes[1]->OnAnnouncement(successor, 0);
  });
  // Sent from n1, since n0 avoids an endpoint that refused as draining.
  EXPECT_EQ(Call(1, Post("/lots")).m_body, "new");
}

// If all processes end, only what is stored is remembered.
TEST_F(LeavingTarget, LeaveIsAcknowledgedOnceItIsStored)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Announce(1, target.Port(), 4, true);
  RunOnIoThread([&] {
    ASSERT_FALSE(m_toStore.empty());
    EXPECT_EQ(m_toStore.back(), TargetStart({ "i", 0 }));
    ASSERT_FALSE(m_answers.empty());
    EXPECT_NE(m_answers.back().m_id, m_lastAnnouncement);
    ViewUpdate update;
    update.m_leaving = { { m_toStore.back(), true } };
    m_nodes[1]->OnView(update);
    EXPECT_EQ(m_answers.back().m_id, m_lastAnnouncement);
    EXPECT_TRUE(m_answers.back().m_acknowledged);
  });
}

// The control VMs have no quorum: the target gets no request, but its leave
// isn't acknowledged.
TEST_F(LeavingTarget, LeaveThatIsNotStoredIsRefusedAndStillDrains)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Announce(1, target.Port(), 4, true);
  ExpectOutcome(Call(1, Post("/lots")), 503, "not-run", "draining");
  std::this_thread::sleep_for(discovery::LeaveAnswers::kTimeout + 100ms);
  RunOnIoThread([&] {
    EXPECT_EQ(m_answers.back().m_id, m_lastAnnouncement);
    EXPECT_FALSE(m_answers.back().m_acknowledged);
  });
  EXPECT_EQ(target.m_requests, 0);
}

// A restarted node that has its configuration, but doesn't know yet which
// starts left, must not believe a heartbeat of its target.
TEST_F(LeavingTarget, GetsNoRequestBeforeItsRestartedNodeIsReady)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Restart(1);
  Announce(1, target.Port());
  SetView({ EndpointOf(1) }, {}, false);
  ExpectOutcome(Call(0, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(target.m_requests, 0);
  SetView({ EndpointOf(1) });
  EXPECT_EQ(Call(1, Post("/lots")).m_status, 200);
}

// No current control VM can be reached, so the restarted node doesn't know
// which starts left; its target's report may be a late one of a target that
// did.
TEST_F(LeavingTarget, IsUsedFromItsSecondReportOnWhereNobodyKnowsWhoLeft)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Restart(1);
  Announce(1, target.Port());
  SetView({ EndpointOf(1) }, {}, true, false);
  ExpectOutcome(Call(1, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(target.m_requests, 0);
  Announce(1, target.Port());
  EXPECT_EQ(Call(1, Post("/lots")).m_status, 200);
}

// As before, and two reports are late: any number of them may be as old as a
// leave that an earlier run of the node acknowledged.
TEST_F(LeavingTarget, LateReportsAreNotEnoughWhereNobodyKnowsWhoLeft)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  m_maxReportDelay = 300ms;
  Restart(1);
  SetView({ EndpointOf(1) }, {}, true, false);
  for (int report = 0; report < 3; ++report) {
    Announce(1, target.Port());
    ExpectOutcome(Call(1, Post("/lots")), 503, "not-run", "draining");
  }
  EXPECT_EQ(target.m_requests, 0);
  std::this_thread::sleep_for(m_maxReportDelay);
  Announce(1, target.Port());
  ExpectOutcome(Call(1, Post("/lots")), 503, "not-run", "draining");
  Announce(1, target.Port());
  EXPECT_EQ(Call(1, Post("/lots")).m_status, 200);
}

// The restarted node hears late of a start that ended before the one that left.
TEST_F(LeavingTarget, LateReportOfAnEarlierStartIsNotEnough)
{
  TestTarget& target = ServeAtPeer(
    [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  Restart(1);
  RunOnIoThread([&] {
    ViewUpdate update;
    update.m_leaving = { { { "later", 200 }, true } };
    m_nodes[1]->OnView(update);
  });
  SetView({ EndpointOf(1) });
  m_announced.clear();
  Announce(1, target.Port());
  ExpectOutcome(Call(1, Post("/lots")), 503, "not-run", "draining");
  EXPECT_EQ(target.m_requests, 0);
  for (const wire::EndpointRecord& record : m_announced) {
    EXPECT_EQ(record.state, wire::EndpointState::Draining);
  }
  // Another writer's leave must not shut the target out.
  Announce(1, target.Port());
  EXPECT_EQ(Call(1, Post("/lots")).m_status, 200);
}

} // namespace
} // namespace wigeonfold::node
