// Guards against a process that starts although its settings file has errors.
#include "wigeonfold/base/Settings.h"

#include <gtest/gtest.h>

namespace wigeonfold {
namespace {

using namespace std::chrono_literals;

TEST(SettingsTest, ListsEveryProblemWithItsLine)
{
  SettingsFile file = SettingsFile::Parse("a.ini",
                                          "[listen]\n"
                                          "callers = 127.0.0.1:x\n"
                                          "timeout = 5\n"
                                          "retries = 11\n"
                                          "typo = 1\n"
                                          "retries = 3\n");
  file.RequiredAddress("listen", "callers");
  file.Time("listen", "timeout", 1s, 1ms, 10s);
  file.Integer("listen", "retries", 3, 1, 10);
  file.RequiredString("node", "name");
  const std::vector<std::string> expected{
    "a.ini:0: [node] name: required",
    "a.ini:2: [listen] callers: '127.0.0.1:x' is not IP:PORT",
    "a.ini:3: [listen] timeout: '5' is not a time from 1ms to 10s with a unit "
    "(us, ms, s, m)",
    "a.ini:4: [listen] retries: '11' is not a whole number from 1 to 10",
    "a.ini:5: [listen] typo: unknown key",
    "a.ini:6: [listen] retries: already set in line 4",
  };
  EXPECT_EQ(file.Finish(), expected);
}

TEST(SettingsTest, ReadsValuesAndDefaults)
{
  SettingsFile file = SettingsFile::Parse("a.ini",
                                          "[control]\n"
                                          "peers = 127.0.0.1:1, [::1]:2\n"
                                          "lease = 700ms\n"
                                          "strict = true\n");
  const std::vector<SocketAddress> expected{ { "127.0.0.1", 1 }, { "::1", 2 } };
  EXPECT_EQ(file.Addresses("control", "peers"), expected);
  EXPECT_EQ(file.Time("control", "lease", 1s, 1ms, 10s), Duration(700ms));
  EXPECT_TRUE(file.Boolean("control", "strict", false));
  EXPECT_EQ(file.Integer("control", "absent", 7, 0, 10), 7);
  EXPECT_TRUE(file.Finish().empty());
}

// 154 million minutes do not fit into 64 bits of nanoseconds; the product was
// negative and passed for a short time.
TEST(SettingsTest, TimesThatDoNotFitAreAProblem)
{
  SettingsFile file = SettingsFile::Parse("a.ini",
                                          "[limits]\n"
                                          "long = 999999999m\n"
                                          "longer = 9223372036854775807s\n"
                                          "rate = 3.08\n"
                                          "text = 3,08\n");
  EXPECT_EQ(file.Time("limits", "long", 1s, 1ms, Duration::max()),
            Duration(1s));
  EXPECT_EQ(file.Time("limits", "longer", 1s, 1ms, Duration::max()),
            Duration(1s));
  EXPECT_DOUBLE_EQ(file.Number("limits", "rate", 0, 0, 10), 3.08);
  EXPECT_DOUBLE_EQ(file.Number("limits", "text", 7, 0, 10), 7);
  EXPECT_EQ(file.Finish().size(), 3U);
}

} // namespace
} // namespace wigeonfold
