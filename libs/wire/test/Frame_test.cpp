// Guards against frames that are truncated, merged or read from a corrupt
// stream, malformed messages that crash the decoder, and corrupt or oversized
// compressed payloads that are accepted.
#include "wigeonfold/wire/Codec.h"
#include "wigeonfold/wire/Frame.h"
#include "wigeonfold/wire/Packing.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::wire {
namespace {

RC_GTEST_PROP(FrameTest,
              AnySplitOfTheStreamGivesTheSameFrames,
              (const std::vector<std::string>& aPayloads))
{
  std::string stream;
  for (const std::string& payload : aPayloads) {
    AppendFrame(stream, FrameType::Heartbeat, 7, payload);
  }
  FrameReader reader("peer");
  std::vector<std::string> received;
  size_t position = 0;
  while (position < stream.size()) {
    const size_t step = *rc::gen::inRange<size_t>(1, stream.size() + 1);
    reader.Feed(std::string_view(stream).substr(position, step));
    position = std::min(position + step, stream.size());
    for (auto next = reader.Next(); next.value(); next = reader.Next()) {
      received.push_back(next.value()->m_payload);
    }
  }
  RC_ASSERT(received == aPayloads);
}

TEST(FrameTest, RejectsLengthAboveTheLimit)
{
  FrameReader reader("127.0.0.1:9");
  reader.Feed(std::string(kFrameHeaderBytes, '\xff'));
  const auto next = reader.Next();
  ASSERT_FALSE(next);
  EXPECT_EQ(next.error().m_code, ErrorCode::Protocol);
  EXPECT_EQ(next.error().m_peer, "127.0.0.1:9");
}

RC_GTEST_PROP(CodecTest,
              DamagedBytesNeverCrashTheDecoder,
              (const std::string& aBytes))
{
  const auto decoded = Decode<ConfigUpdate>(aBytes, "peer");
  if (!decoded) {
    RC_ASSERT(decoded.error().m_code == ErrorCode::Protocol);
  }
}

TEST(CodecTest, RoundTripKeepsEveryField)
{
  EndpointRecord record;
  record.nodeName = "node-1";
  record.nodeEpoch = 5;
  record.sequence = 9;
  record.serviceName = "lots";
  record.slots = 6;
  record.state = EndpointState::Draining;
  const auto decoded = Decode<EndpointRecord>(Encode(record), "peer");
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(decoded.value() == record);
}

// Corrupt data or a wrong stated length must neither crash the receiver nor
// make it allocate more than the limit.
RC_GTEST_PROP(Packing, RoundTripsAndRejectsCorruptOrOversizedData, ())
{
  constexpr size_t kLimit = 100'000;
  const auto bytes = *rc::gen::arbitrary<std::string>();
  std::string packed = Pack(bytes);
  RC_ASSERT(Unpack(packed, bytes.size(), kLimit, "peer").value() == bytes);
  RC_ASSERT(!Unpack(packed, bytes.size() + 1, kLimit, "peer"));
  RC_ASSERT(!Unpack(packed, kLimit + 1, kLimit, "peer"));
  packed.resize(packed.size() / 2);
  RC_ASSERT(!Unpack(packed, bytes.size(), kLimit, "peer"));
}

} // namespace
} // namespace wigeonfold::wire
