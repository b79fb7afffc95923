// Guards against entries that arrive changed, entries of one range sent for
// another, and a leader that compresses the same entries for each follower.
#include "wigeonfold/wire/EntryPacking.h"

#include <gtest/gtest.h>

namespace wigeonfold::wire {
namespace {

RaftMessage Append(int64_t aIndex, int64_t aTerm, const std::string& aPayload)
{
  RaftMessage message;
  message.entries.resize(2);
  for (LogEntry& entry : message.entries) {
    entry.index = aIndex++;
    entry.term = aTerm;
    entry.kind = LogEntryKind::Command;
    entry.payload = aPayload;
  }
  return message;
}

const std::string kLarge(10'000, 'x');

TEST(EntryPacking, EntriesArriveAsTheyWereSent)
{
  EntryPacker packer;
  const RaftMessage sent = Append(5, 2, kLarge);
  for (int follower = 0; follower < 14; ++follower) {
    RaftMessage message = sent;
    packer.Pack(message);
    EXPECT_TRUE(message.entries.empty());
    EXPECT_LT(message.packedEntries.size(), 1000U);
    ASSERT_TRUE(UnpackEntries(message, "peer"));
    EXPECT_EQ(message.entries, sent.entries);
  }
  EXPECT_EQ(packer.Compressions(), 1U);
}

// A new leader may have other entries at the same positions.
TEST(EntryPacking, OtherEntriesArePackedAnew)
{
  EntryPacker packer;
  for (const int64_t term : { 2, 3 }) {
    const RaftMessage sent = Append(5, term, kLarge + std::to_string(term));
    RaftMessage message = sent;
    packer.Pack(message);
    ASSERT_TRUE(UnpackEntries(message, "peer"));
    EXPECT_EQ(message.entries, sent.entries);
  }
  EXPECT_EQ(packer.Compressions(), 2U);
}

TEST(EntryPacking, SmallEntriesAreLeftAsTheyAre)
{
  EntryPacker packer;
  RaftMessage message = Append(1, 1, "small");
  packer.Pack(message);
  EXPECT_EQ(message, Append(1, 1, "small"));
}

TEST(EntryPacking, DamagedEntriesAreAnError)
{
  EntryPacker packer;
  RaftMessage message = Append(5, 2, kLarge);
  packer.Pack(message);
  RaftMessage cut = message;
  cut.packedEntries.resize(cut.packedEntries.size() / 2);
  EXPECT_FALSE(UnpackEntries(cut, "peer"));
  RaftMessage huge = message;
  huge.packedLength = int64_t{ 1 } << 40;
  EXPECT_FALSE(UnpackEntries(huge, "peer"));
  RaftMessage negative = message;
  negative.packedLength = -1;
  EXPECT_FALSE(UnpackEntries(negative, "peer"));
}

} // namespace
} // namespace wigeonfold::wire
