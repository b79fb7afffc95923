// Guards against a log that grows with the load, and against omitted lines that
// are not reported.
#include "wigeonfold/observe/DecisionLog.h"

#include <gtest/gtest.h>

namespace wigeonfold::observe {
namespace {

using namespace std::chrono_literals;

TEST(DecisionLog, BoundsLinesAndCountsWhatItLeavesOut)
{
  EventLog log("test", 1000);
  DecisionLog decisions(log);
  const TimePoint start{ 1h };
  int written = 0;
  for (int i = 0; i < 100; ++i) {
    if (decisions.Admits(EventId::RequestFailed, start)) {
      decisions.Record(EventId::RequestFailed, {});
      ++written;
    }
  }
  EXPECT_EQ(written, DecisionLog::kLinesPerSecond);
  EXPECT_TRUE(decisions.Admits(EventId::RequestFailed, start + 1s));
  const auto events = log.Since(0);
  ASSERT_EQ(events.back().m_id, EventId::DecisionsOmitted);
  EXPECT_EQ(events.back().m_fields.front().m_name, "RequestFailed");
  EXPECT_EQ(events.back().m_fields.front().m_value, "80");
}

} // namespace
} // namespace wigeonfold::observe
