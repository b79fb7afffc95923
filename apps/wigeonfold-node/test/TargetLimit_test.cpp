// Guards against a target that gets more requests than the limit that it names
// in its answers.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

constexpr int kPerSecond = 10;
constexpr int kBatch = 8;

class TargetLimit : public TestNodes
{
protected:
  TargetLimit()
  {
    ServeAtPeer(
      [this](int, const std::string&) {
        const std::string limit =
          m_limited ? "Wigeonfold-Request-Limit: " + std::to_string(kPerSecond)
                    : "X-Unlimited: yes";
        return Reaction{ "HTTP/1.1 200 OK\r\n" + limit +
                         "\r\nContent-Length: 1\r\n\r\nx" };
      },
      kBatch);
  }

  // Sends batches of calls from node n0, one each 100 ms. Returns the number of
  // requests that the target got.
  int SendFor(Duration aTime)
  {
    const int before = m_target->m_requests;
    const TimePoint end = Clock::now() + aTime;
    while (Clock::now() < end) {
      std::vector<std::future<net::HttpResponse>> calls;
      for (int i = 0; i < kBatch; ++i) {
        calls.push_back(
          CallLater(0, Post("/lots", { { kDeadlineHeader, "100" } })));
      }
      std::this_thread::sleep_for(100ms);
    }
    return m_target->m_requests - before;
  }

  std::atomic<bool> m_limited{ true };
};

// Requests that the limit allows in that time, those saved up and one that
// names the limit.
int AllowedIn(Duration aTime)
{
  const std::chrono::duration<double> seconds =
    aTime + admission::RateLimit::kBurst;
  return static_cast<int>(kPerSecond * seconds.count()) + 1;
}

TEST_F(TargetLimit, IsKeptWhileItIsNamed)
{
  Call(0, Post("/lots"));
  const TimePoint start = Clock::now();
  const int requests = SendFor(2s);
  EXPECT_LE(requests, AllowedIn(Clock::now() - start));
  EXPECT_GE(requests, kPerSecond);
}

TEST_F(TargetLimit, EndsWithAnAnswerThatNamesNone)
{
  Call(0, Post("/lots"));
  m_limited = false;
  SendFor(500ms);
  EXPECT_GT(SendFor(1s), 3 * kPerSecond);
}

// The node beside the target has forgotten the limit, the callers' nodes are
// still bound by the answers that they passed on.
TEST_F(TargetLimit, IsKeptAfterARestartOfTheTargetsNode)
{
  Call(0, Post("/lots"));
  Restart(1);
  Announce(1, m_target->Port(), kBatch);
  SetView({ EndpointOf(1) });
  const TimePoint start = Clock::now();
  const int requests = SendFor(500ms);
  EXPECT_LE(requests, AllowedIn(Clock::now() - start));
  EXPECT_GE(requests, 1);
}

} // namespace
} // namespace wigeonfold::node
