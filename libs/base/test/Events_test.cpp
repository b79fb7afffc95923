// Guards against a docs/events.md that differs from the catalogue, event
// numbers used twice, and hybrid stamps that order an effect before its cause.
#include "wigeonfold/base/Events.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>

namespace wigeonfold {
namespace {

TEST(EventsTest, CataloguePageEqualsCode)
{
  std::ifstream page(WIGEONFOLD_SOURCE_DIR "/docs/events.md");
  std::vector<std::string> documented;
  for (std::string line; std::getline(page, line);) {
    if (line.rfind("| 1", 0) == 0 || line.rfind("| 2", 0) == 0) {
      documented.push_back(line);
    }
  }
  std::vector<std::string> expected;
  for (const EventInfo& info : EventCatalogue()) {
    expected.push_back("| " + std::to_string(static_cast<int>(info.m_id)) +
                       " | " + info.m_name + " | " + ToString(info.m_level) +
                       " | " + info.m_meaning + " |");
  }
  EXPECT_EQ(documented, expected);
}

TEST(EventsTest, NumbersAreUnique)
{
  std::set<int> numbers;
  for (const EventInfo& info : EventCatalogue()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(info.m_id)).second)
      << info.m_name;
  }
}

TEST(HybridClockTest, ReceiverStampsExceedSentStampDespiteClockSkew)
{
  using std::chrono::system_clock;
  HybridClock ahead;
  HybridClock behind;
  const system_clock::time_point now = system_clock::now();
  const HybridTime sent = ahead.Now(now + std::chrono::seconds(30));
  behind.Observe(sent);
  const HybridTime received = behind.Now(now);
  EXPECT_GT(received, sent);
  EXPECT_GT(behind.Now(now - std::chrono::seconds(5)), received);
}

} // namespace
} // namespace wigeonfold
