// Hedged requests through two whole nodes. Guards against hedges that are sent
// although they are off or not allowed, and losers that keep their slots.
#include "TestNodes.h"

#include <set>

namespace wigeonfold::node {
namespace {

constexpr Duration kSlow = 1s;

// Both nodes have a target. The first one that gets a request for a path with
// "slow" in it takes kSlow.
class Hedged : public TestNodes
{
protected:
  ~Hedged() override { m_io.stop(); }

  void Serve(const std::string& aPercent, int aSlots = 4)
  {
    RunOnIoThread([&] {
      for (auto& target : m_targets) {
        target = std::make_unique<TestTarget>(
          m_io,
          [this](int, const std::string& aRequest) { return React(aRequest); });
      }
    });
    for (size_t node = 0; node < 2; ++node) {
      Announce(node, m_targets[node]->Port(), aSlots);
    }
    SetView({ EndpointOf(0), EndpointOf(1) },
            { { "routes", "route.hedge-percent", aPercent },
              { "services/lots", "retry.budget-percent", "100" } });
    for (int i = 0; i < 40; ++i) {
      EXPECT_EQ(Call(0, Get("/lots/fast")).m_status, 200);
    }
  }

  Reaction React(const std::string& aRequest)
  {
    const std::string line = aRequest.substr(0, aRequest.find('\r'));
    const bool isSlow = line.find("slow") != std::string::npos;
    m_slowRequests += isSlow ? 1 : 0;
    const bool isFirst = m_seen.insert(line).second;
    if (isSlow && !isFirst && m_hedgeIsBroken) {
      return { "HTTP/1.1 000 X\r\n\r\n" };
    }
    return { CompleteAnswer(isSlow && isFirst ? "first" : "second"),
             false,
             isSlow && isFirst ? kSlow : Duration::zero() };
  }

  struct Timed
  {
    net::HttpResponse m_answer;
    Duration m_time{};
  };
  Timed TimedCall(const net::HttpRequest& aRequest)
  {
    const TimePoint begin = Clock::now();
    net::HttpResponse answer = Call(0, aRequest);
    return { std::move(answer), Clock::now() - begin };
  }

  std::array<std::unique_ptr<TestTarget>, 2> m_targets;
  std::atomic<int> m_slowRequests = 0;
  std::atomic<bool> m_hedgeIsBroken = false;
  std::set<std::string> m_seen; // only for the io_context's thread
};

TEST_F(Hedged, SlowRequestIsAnsweredByASecondTarget)
{
  Serve("100", 1);
  std::set<std::string> targets;
  for (const char* path : { "/lots/slow1", "/lots/slow2", "/lots/slow3" }) {
    const Timed timed = TimedCall(Get(path));
    EXPECT_EQ(timed.m_answer.m_body, "second");
    EXPECT_LT(timed.m_time, kSlow / 2);
    targets.insert(FieldOf(timed.m_answer, kTargetHeader));
    // The loser has left the only slot of its target.
    for (int i = 0; i < 4; ++i) {
      EXPECT_LT(TimedCall(Get("/lots/fast")).m_time, kSlow / 2);
    }
  }
  EXPECT_EQ(m_slowRequests, 6);
  // The answer names the target that gave it, not always the same one.
  EXPECT_EQ(targets.count(forwarding::kNoTarget), 0U);
}

// Guards against a change of behaviour for those who don't ask for hedges.
TEST_F(Hedged, NothingIsSentTwiceWithoutAPercentage)
{
  Serve("0");
  const Timed timed = TimedCall(Get("/lots/slow"));
  EXPECT_EQ(timed.m_answer.m_body, "first");
  EXPECT_EQ(m_slowRequests, 1);
}

TEST_F(Hedged, RequestThatMayNotBeRepeatedIsSentOnce)
{
  Serve("100");
  const Timed timed = TimedCall(Post("/lots/slow"));
  EXPECT_EQ(timed.m_answer.m_body, "first");
  EXPECT_EQ(m_slowRequests, 1);
}

// Guards against a caller that gets a failure while a sound answer is awaited.
TEST_F(Hedged, BrokenAnswerToAHedgeLeavesTheOtherOne)
{
  Serve("100");
  m_hedgeIsBroken = true;
  EXPECT_EQ(TimedCall(Get("/lots/slow")).m_answer.m_body, "first");
  EXPECT_EQ(m_slowRequests, 2);
}

// Guards against a hedge that takes the slot of another request, and against a
// request that fails because its hedge was refused.
TEST_F(Hedged, HedgeThatFindsNoFreeSlotCostsNothing)
{
  Serve("100", 1);
  auto other = CallLater(0, Post("/lots/slow1")); // holds one of both slots
  while (m_slowRequests == 0) {
    std::this_thread::sleep_for(5ms);
  }
  EXPECT_EQ(TimedCall(Get("/lots/slow2")).m_answer.m_body, "first");
  EXPECT_EQ(other.get().m_body, "first");
  EXPECT_EQ(m_slowRequests, 2);
}

} // namespace
} // namespace wigeonfold::node
