// Guards against a request that ends, or hangs, the target of a node each time
// that it returns, and against other requests that are refused with it.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

const std::string kDeadly = "/lots/deadly";

class DeadlyRequest : public TestNodes
{
protected:
  void SetUp() override
  {
    StartTarget();
    SetView({ EndpointOf(1) });
  }

  // Starts a target of node n1.
  void StartTarget()
  {
    RunOnIoThread([&] {
      m_hangs = false;
      m_target = std::make_unique<TestTarget>(
        m_io, [this](int, const std::string& aAll) { return React(aAll); });
    });
    Announce(1, m_target->Port());
  }

  Reaction React(const std::string& aRequest)
  {
    const bool isDeadly = aRequest.find(kDeadly) != std::string::npos;
    m_deadlyRuns += isDeadly ? 1 : 0;
    m_hangs |= isDeadly && m_hangsUnderDeadly;
    if (m_hangs) {
      return { "", false, 60s };
    }
    if (!isDeadly) {
      return { CompleteAnswer("x") };
    }
    if (m_failsUnderDeadly) {
      return { "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n" };
    }
    if (m_sendsGarbage) {
      m_target->StopAccepting();
      return { "no answer\r\n\r\n", true };
    }
    m_target->Stop();
    return { "", true };
  }

  // Waits until a node wants to share that it noticed that number of crashes of
  // the deadly request, and does so. They count as older ones, so that no time
  // passes until the only target is risked again.
  void ShareCrashes(size_t aCount)
  {
    const TimePoint end = Clock::now() + 10s;
    size_t crashes = 0;
    while (crashes < aCount && Clock::now() < end) {
      std::this_thread::sleep_for(10ms);
      RunOnIoThread([&] {
        crashes = 0;
        for (wire::CrashRecord& record : m_crashes) {
          crashes = std::max(crashes, record.events.size());
          for (wire::CrashEvent& event : record.events) {
            event.ageMs =
              ToMilliseconds(discovery::CrashJudgement::kRestartTime);
          }
        }
        ViewUpdate update;
        update.m_crashes = m_crashes;
        for (const auto& node : m_nodes) {
          node->OnView(update);
        }
      });
    }
    EXPECT_EQ(crashes, aCount);
  }

  net::HttpResponse CallDeadly(size_t aNode, const std::string& aDeadline)
  {
    return Call(aNode, Post(kDeadly, { { kDeadlineHeader, aDeadline } }));
  }

  std::atomic<int> m_deadlyRuns{ 0 };
  std::atomic<bool> m_hangsUnderDeadly{ false };
  std::atomic<bool> m_failsUnderDeadly{ false };
  std::atomic<bool> m_sendsGarbage{ false }; // before it ends
  bool m_hangs = false;
};

TEST_F(DeadlyRequest, IsRefusedAtEachNodeAfterThreeEnds)
{
  for (size_t ends = 1; ends <= 3; ++ends) {
    ExpectOutcome(CallDeadly(ends % 2, "2000"), 502, "unknown", "target-lost");
    ShareCrashes(ends);
    StartTarget();
  }
  for (size_t node = 0; node < 2; ++node) {
    const auto answer = CallDeadly(node, "2000");
    ExpectOutcome(answer, 503, "not-run", "quarantined");
    EXPECT_NE(FieldOf(answer, "Retry-After"), "");
    EXPECT_EQ(Call(node, Post("/lots/other")).m_status, 200);
  }
  EXPECT_EQ(m_deadlyRuns, 3);
}

// What a target sends while it ends is no sign that it works.
TEST_F(DeadlyRequest, EndsAfterABrokenAnswerCountLikeOthers)
{
  m_sendsGarbage = true;
  for (size_t ends = 1; ends <= 3; ++ends) {
    ExpectOutcome(CallDeadly(0, "2000"), 502, "unknown", "answer-unusable");
    ShareCrashes(ends);
    StartTarget();
  }
  ExpectOutcome(CallDeadly(0, "2000"), 503, "not-run", "quarantined");
  EXPECT_EQ(m_deadlyRuns, 3);
}

// The target gets no request until it reports again, and its callers are told
// that it is away.
TEST_F(DeadlyRequest, EndedTargetIsDrainedUntilItsNextReport)
{
  CallDeadly(0, "2000");
  ShareCrashes(1);
  RunOnIoThread([&] {
    EXPECT_EQ(m_announced.back().state, wire::EndpointState::Draining);
  });
  ExpectOutcome(Call(0, Post("/lots/other")), 503, "not-run", "draining");
  StartTarget();
  RunOnIoThread(
    [&] { EXPECT_EQ(m_announced.back().state, wire::EndpointState::Ready); });
  SetView({ EndpointOf(1) });
  EXPECT_EQ(Call(0, Post("/lots/other")).m_status, 200);
}

// A failed answer, as that of a target that stops work at the deadline, does
// not show that the request is harmless.
TEST_F(DeadlyRequest, FailedAnswerDoesNotExonerate)
{
  for (size_t ends = 1; ends <= 2; ++ends) {
    CallDeadly(0, "2000");
    ShareCrashes(ends);
    StartTarget();
  }
  m_failsUnderDeadly = true;
  EXPECT_EQ(CallDeadly(0, "2000").m_status, 500);
  m_failsUnderDeadly = false;
  CallDeadly(0, "2000");
  ShareCrashes(3);
  StartTarget();
  ExpectOutcome(CallDeadly(0, "2000"), 503, "not-run", "quarantined");
}

// The target neither answers nor reports any more, and is started anew after
// some time. Other requests that hang with it are not to blame.
TEST_F(DeadlyRequest, HangsOfTheTargetCountLikeEnds)
{
  m_announceLease = 300ms;
  Restart(1);
  StartTarget();
  SetView({ EndpointOf(1) });
  m_hangsUnderDeadly = true;
  for (size_t ends = 1; ends <= 3; ++ends) {
    ExpectOutcome(CallDeadly(0, "200"), 504, "unknown", "expired-after-write");
    Call(0, Post("/lots/other", { { kDeadlineHeader, "100" } }));
    ShareCrashes(ends);
    StartTarget();
  }
  EXPECT_EQ(CallDeadly(0, "2000").m_status, 503);
  EXPECT_EQ(Call(0, Post("/lots/other")).m_status, 200);
  EXPECT_EQ(m_deadlyRuns, 3);
}

} // namespace
} // namespace wigeonfold::node
