// Guards against a merged timeline that shows an effect before its cause.
#include "wigeonfold/observe/Metrics.h"
#include "wigeonfold/observe/Timeline.h"

#include <gtest/gtest.h>
#include <prometheus/counter.h>

namespace wigeonfold::observe {
namespace {

TEST(TimelineTest, CauseComesFirstAlthoughItsClockIsAhead)
{
  using std::chrono::system_clock;
  const auto now = system_clock::now();
  HybridClock sender;
  HybridClock receiver;
  const HybridTime sent = sender.Now(now + std::chrono::minutes(1));
  receiver.Observe(sent);
  const HybridTime received = receiver.Now(now);
  const std::vector<ProcessTimeline> timelines{
    { "receiver", { { received, EventId::ProcessStopping, {} } } },
    { "sender", { { sent, EventId::ProcessStarted, {} } } },
  };
  const auto merged = Merge(timelines);
  ASSERT_EQ(merged.size(), 2U);
  EXPECT_EQ(merged[0].m_process, "sender");
  EXPECT_LT(ToText(merged).find("ProcessStarted"),
            ToText(merged).find("ProcessStopping"));
}

TEST(TimelineTest, JsonKeepsEveryEvent)
{
  const ProcessTimeline timeline{
    "node-1",
    { { 65536 * 5, EventId::ListenFailed, { { "peer", "127.0.0.1:1" } } } }
  };
  const auto read = FromJson(ToJson(timeline), "peer");
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().m_process, "node-1");
  ASSERT_EQ(read.value().m_events.size(), 1U);
  EXPECT_EQ(Format(read.value().m_events[0]), Format(timeline.m_events[0]));
  EXPECT_FALSE(FromJson("{\"process\":3}", "peer"));
}

TEST(MetricsTest, SameNameAndLabelsGiveTheSameCounter)
{
  Metrics metrics;
  metrics.Counter("calls_total", "calls", { { "service", "lots" } })
    .Increment();
  metrics.Counter("calls_total", "calls", { { "service", "lots" } })
    .Increment();
  EXPECT_NE(metrics.Text().find("calls_total{service=\"lots\"} 2"),
            std::string::npos);
}

} // namespace
} // namespace wigeonfold::observe
