// A faulty target sends bytes that never become an answer. Guards against
// memory that grows with them, slots that stay occupied and callers that wait
// for their deadline although no answer can come any more.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

// Far above the largest answer and the buffers of the sockets on the way.
constexpr size_t kMaxReadBytes = size_t{ 24 } << 20;

struct EndlessCase
{
  const char* m_name;
  std::string m_begin;
  std::string m_endless;
};

std::vector<EndlessCase> EndlessCases()
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";
  const std::string letters(4096, 'a');
  return {
    { "NoStatusLine", "", letters },
    { "StatusLine", "HTTP/1.1 200 ", letters },
    { "FieldValue", "HTTP/1.1 200 OK\r\nX: ", letters },
    { "Fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    { "EmptyLines", "", "\r\n" },
    { "InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", letters },
    { "Chunks", chunked, "4\r\nabcd\r\n" },
    { "ChunkSize", chunked, "0000000000" },
    { "ChunkExtension", chunked + "4;x=", letters },
    { "TrailerFields", chunked + "0\r\n", "X: y\r\n" },
    { "TrailerField", chunked + "0\r\nX: ", letters },
  };
}

class EndlessAnswers
  : public TestNodes
  , public testing::WithParamInterface<EndlessCase>
{};

// Without a limit the caller would get 504 at the deadline of its request.
TEST_P(EndlessAnswers, EndAtOnceAndUseBoundedMemory)
{
  TestTarget& target = ServeAtPeer([](int aNumber, const std::string&) {
    Reaction reaction;
    if (aNumber > 0) {
      reaction.m_bytes = CompleteAnswer("next");
    } else {
      reaction.m_bytes = GetParam().m_begin;
      reaction.m_endless = GetParam().m_endless;
    }
    return reaction;
  });
  const auto answer = Call(0, Post("/lots", { { kDeadlineHeader, "15000" } }));
  EXPECT_EQ(answer.m_status, 502) << FieldOf(answer, kReasonHeader);
  EXPECT_EQ(FieldOf(answer, kRunHeader), "unknown");
  EXPECT_LT(target.m_endlessBytes, kMaxReadBytes);
  // The next answer comes on a connection of its own.
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "next");
}

// A complete answer that is followed by bytes without end counts, and they
// never reach the next caller.
TEST_F(TestNodes, BytesAfterAnAnswerBelongToNoRequest)
{
  ServeAtPeer([](int aNumber, const std::string&) {
    Reaction reaction;
    reaction.m_bytes = CompleteAnswer(std::to_string(aNumber));
    if (aNumber == 0) {
      reaction.m_endless = CompleteAnswer("wrong");
    }
    return reaction;
  });
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "0");
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "1");
}

// The bytes begin only after the connection has been used again, so they can't
// be noticed before; the target never reads the second request on it. One
// request may end with 502, but a target that did so once gets each further
// request on a connection of its own.
TEST_F(TestNodes, TargetThatSendsMoreThanAnAnswerGetsNoSecondRequest)
{
  ServeAtPeer([](int aNumber, const std::string&) {
    Reaction reaction;
    reaction.m_bytes = CompleteAnswer(std::to_string(aNumber));
    reaction.m_endless = "no answer at all\r\n";
    reaction.m_endDelay = std::chrono::milliseconds(40);
    return reaction;
  });
  int failed = 0;
  for (int i = 0; i < 20; ++i) {
    failed += Call(0, Post("/lots")).m_status == 200 ? 0 : 1;
  }
  EXPECT_LE(failed, 1);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         EndlessAnswers,
                         testing::ValuesIn(EndlessCases()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

} // namespace
} // namespace wigeonfold::node
