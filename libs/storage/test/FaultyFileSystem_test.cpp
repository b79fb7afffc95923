// Guards against injected disk faults that have no effect, that last after the
// rule is cleared, or that lose data written before the fault.
#include "wigeonfold/storage/FaultyFileSystem.h"

#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace wigeonfold::storage {
namespace {

using namespace std::chrono_literals;

class FaultyFileSystemTest : public testing::Test
{
protected:
  FaultyFileSystemTest()
    : m_folder(testing::TempDir() + "faulty-" + std::to_string(::getpid()) +
               "-" +
               testing::UnitTest::GetInstance()->current_test_info()->name())
    , m_plain(MakePosixFileSystem())
  {
    EXPECT_TRUE(m_plain->MakeFolder(m_folder));
    SetRule("");
  }

  void SetRule(const std::string& aRule) const
  {
    std::ofstream(m_folder + "/rule") << aRule << '\n';
  }

  std::unique_ptr<FileSystem> MakeFaulty(
    std::function<bool(const Error&)> aOnFault)
  {
    return MakeFaultyFileSystem(
      *m_plain, m_folder + "/rule", std::move(aOnFault));
  }

  const std::string m_folder;
  const std::unique_ptr<FileSystem> m_plain;
};

TEST_F(FaultyFileSystemTest, FullDiskRejectsWritesAndKeepsExistingData)
{
  const auto files = MakeFaulty([](const Error&) { return false; });
  const std::string path = m_folder + "/log";
  auto file = files->Open(path);
  ASSERT_TRUE(file);
  ASSERT_TRUE(file.value()->Append("before"));
  SetRule("full");
  const Status refused = file.value()->Append("lost");
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().m_code, ErrorCode::Io);
  EXPECT_EQ(refused.error().m_peer, path);
  EXPECT_FALSE(files->Open(m_folder + "/other"));
  EXPECT_EQ(files->Read(path).value(), "before");
}

TEST_F(FaultyFileSystemTest, StalledWriteCompletesWhenTheRuleIsCleared)
{
  int waits = 0;
  const auto files = MakeFaulty([&](const Error&) {
    if (++waits == 3) {
      SetRule("");
    }
    return true;
  });
  auto file = files->Open(m_folder + "/log");
  ASSERT_TRUE(file);
  SetRule("stalled");
  EXPECT_TRUE(file.value()->Append("kept"));
  EXPECT_EQ(waits, 3);
  EXPECT_TRUE(file.value()->Sync());
  EXPECT_EQ(files->Read(m_folder + "/log").value(), "kept");
}

TEST_F(FaultyFileSystemTest, SlowDiskDelaysSync)
{
  const auto files = MakeFaulty([](const Error&) { return false; });
  auto file = files->Open(m_folder + "/log");
  ASSERT_TRUE(file);
  SetRule("slow 20");
  const TimePoint before = Clock::now();
  EXPECT_TRUE(file.value()->Sync());
  EXPECT_GE(Clock::now() - before, 20ms);
}

TEST(DiskRule, InvalidRuleIsRejectedAndQuoted)
{
  EXPECT_EQ(ParseDiskRule("\n").value().m_state, DiskState::Healthy);
  EXPECT_EQ(ParseDiskRule("slow 30").value().m_delay, 30ms);
  for (const char* text :
       { "slow", "slow -1", "slow 99999999", "broken", "full now" }) {
    const auto rule = ParseDiskRule(text);
    ASSERT_FALSE(rule) << text;
    EXPECT_EQ(
      rule.error().m_detail,
      "'" + std::string(text) +
        "' is not 'slow MILLISECONDS' (1 to 60000), 'stalled' or 'full'");
  }
}

} // namespace
} // namespace wigeonfold::storage
