// A target in trouble sends answers that are broken: cut short, with a head
// that is no HTTP, or framed in a way that hides where the body ends. Guards
// against a caller that gets one of them, or a part of one, as an answer, and
// against sound answers that are refused with them.
#include "TestNodes.h"

#include "wigeonfold/forwarding/NativeDialect.h"

#include <map>

namespace wigeonfold::node {
namespace {

using forwarding::kRequestIdHeader;

// Far more than the small buffers of a target take.
constexpr size_t kUploadBytes = 900'000;
// Longer than any of the tests waits; the answer to a request that reaches it
// is 504.
constexpr const char* kLongDeadlineMs = "15000";

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kOpenEnded = kOk + "X-Seal: s\r\n\r\nthe first part";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kTwoLength = "Content-Length: 2\r\n";

std::string NameOf(const auto& aInfo)
{
  return std::string(aInfo.param.m_name);
}

class BrokenAnswersFixture : public TestNodes
{
protected:
  BrokenAnswersFixture() { m_hasSmallBuffers = true; }

  // The first request gets the reaction, all others a whole answer.
  TestTarget& ServeFirst(const Reaction& aReaction)
  {
    return ServeAtPeer([aReaction](int aNumber, const std::string&) {
      return aNumber == 0 ? aReaction : Reaction{ CompleteAnswer("next") };
    });
  }

  static net::HttpRequest Upload()
  {
    net::HttpRequest request =
      Post("/lots", { { kDeadlineHeader, kLongDeadlineMs } });
    request.m_body = std::string(kUploadBytes, 'u');
    return request;
  }

  // Fields of the log line about the broken answer to a request.
  std::map<std::string, std::string> RefusalOf(const std::string& aRequestId)
  {
    std::map<std::string, std::string> fields;
    for (const Event& event : m_log.Since(0)) {
      if (event.m_id == EventId::AnswerRefused &&
          event.m_fields.front().m_value == aRequestId) {
        for (const EventField& field : event.m_fields) {
          fields[field.m_name] = field.m_value;
        }
      }
    }
    return fields;
  }

  static size_t CountOf(const net::HttpResponse& aAnswer,
                        const std::string& aName)
  {
    return static_cast<size_t>(
      std::count_if(aAnswer.m_fields.begin(),
                    aAnswer.m_fields.end(),
                    [&aName](const net::HttpField& aField) {
                      return aField.m_name == aName;
                    }));
  }

  // The answer is the node's own, the request may have run, and the next one
  // gets its own answer.
  void ExpectRefused(size_t aNode,
                     const net::HttpResponse& aAnswer,
                     const std::string& aReason)
  {
    ExpectOutcome(aAnswer, 502, "unknown", aReason);
    EXPECT_EQ(FieldOf(aAnswer, "X-Seal"), "");
    EXPECT_EQ(Call(aNode, Post("/lots")).m_body, "next");
  }
};

// ---- Answers during an upload ----------------------------------------------

struct UploadCase
{
  const char* m_name;
  Reaction m_reaction;
  std::string m_body; // that the caller gets; empty: the answer is refused
};

Reaction Ending(std::string aBytes,
                Duration aDelay,
                bool aReset,
                bool aEndSending = false)
{
  Reaction reaction{ std::move(aBytes), true };
  reaction.m_endDelay = aDelay;
  reaction.m_reset = aReset;
  reaction.m_endSending = aEndSending;
  return reaction;
}

std::vector<UploadCase> UploadCases()
{
  Reaction readsOn = Ending(kOpenEnded, 0ms, false, true);
  readsOn.m_close = false;
  const std::string shed =
    "HTTP/1.1 503 X\r\nWigeonfold-Run: not-run\r\nX-Seal: s\r\n\r\nbusy";
  const std::string failure =
    "HTTP/1.1 500 X\r\nX-Seal: s\r\n\r\nthe first part";
  // Goes between nodes in several parts.
  const std::string large(20 * forwarding::kPartBytes, 'l');
  const std::string whole = kOk + "X-Seal: s\r\nContent-Length: 5\r\n\r\nwhole";
  return {
    { "ResetAtOnce", Ending(kOpenEnded, 0ms, true), "" },
    { "ResetAfter10ms", Ending(kOpenEnded, 10ms, true), "" },
    { "ResetAfter50ms", Ending(kOpenEnded, 50ms, true), "" },
    { "ResetAfter200ms", Ending(kOpenEnded, 200ms, true), "" },
    { "ResetAfter500ms", Ending(kOpenEnded, 500ms, true), "" },
    { "ClosedWithUnreadBytes", Ending(kOpenEnded, 50ms, false), "" },
    { "RefusalThatIsReset", Ending(shed, 50ms, true), "" },
    { "FailureThatIsReset", Ending(failure, 50ms, true), "" },
    { "HeadThatIsReset", Ending(kOk + "X-Seal: s\r\n\r\n", 50ms, true), "" },
    { "LengthCutShort",
      Ending(kOk + "X-Seal: s\r\nContent-Length: 90\r\n\r\nhalf", 50ms, true),
      "" },
    { "ChunksCutShort",
      Ending(kOk + kChunked + "X-Seal: s\r\n\r\n4\r\nhalf\r\n", 50ms, true),
      "" },
    { "LargePart", Ending(kOpenEnded + large, 50ms, true), "" },
    { "LargeAndOrderlyEnd",
      Ending(kOpenEnded + large, 50ms, false, true),
      "the first part" + large },
    { "WholeThenReset", Ending(whole, 0ms, true), "whole" },
    { "WholeThenResetLater", Ending(whole, 50ms, true), "whole" },
    { "WholeAndOpen", Reaction{ whole }, "whole" },
    { "OrderlyEndAndReadsOn", readsOn, "the first part" },
    { "OrderlyEndThenReset",
      Ending(kOpenEnded, 50ms, true, true),
      "the first part" },
  };
}

class AnswersDuringUploads
  : public BrokenAnswersFixture
  , public testing::WithParamInterface<UploadCase>
{};

// The system reports a reset once. Where the write of the upload takes it, the
// read sees the same as after an orderly end.
TEST_P(AnswersDuringUploads, CountOnlyWhole)
{
  for (const size_t node : { 0U, 1U }) {
    ServeFirst(GetParam().m_reaction);
    const auto answer = Call(node, Upload());
    if (GetParam().m_body.empty()) {
      ExpectRefused(node, answer, "target-lost");
      continue;
    }
    ExpectOutcome(answer, 200, "run", "");
    EXPECT_EQ(answer.m_body, GetParam().m_body);
    EXPECT_EQ(FieldOf(answer, "X-Seal"), "s");
  }
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AnswersDuringUploads,
                         testing::ValuesIn(UploadCases()),
                         [](const auto& aInfo) { return NameOf(aInfo); });

// ---- Heads and framing -----------------------------------------------------

struct BytesCase
{
  const char* m_name;
  std::string m_bytes;
};

// A body of two bytes with these fields, and a seal by which the caller would
// tell a part of it.
std::string WithFields(const std::string& aFields)
{
  return kOk + "X-Seal: s\r\n" + aFields + kTwoLength + "\r\nhi";
}

std::vector<BytesCase> StatusCases()
{
  const auto status = [](const std::string& aStatus) {
    return "HTTP/1.1 " + aStatus + " X\r\nX-Seal: s\r\n" + kTwoLength +
           "\r\nhi";
  };
  const std::string empty =
    "HTTP/1.1 000 X\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n";
  return {
    { "Zero", status("000") },
    { "ZeroBeforeASoundAnswer", empty + CompleteAnswer("sound") },
    { "BelowHundred", status("099") },
    { "SixHundred", status("600") },
    { "Greatest", status("999") },
    { "TwoDigits", status("20") },
    { "FourDigits", status("2000") },
    { "Letters", status("2x0") },
    { "InInterimAnswer", "HTTP/1.1 000 X\r\n\r\n" + CompleteAnswer("sound") },
    { "SwitchingProtocols",
      "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" },
    { "OtherVersion", "HTTP/2.0 200 OK\r\nX-Seal: s\r\n\r\nhi" },
    { "OtherProtocol", "SSH-2.0-OpenSSH\r\n" },
  };
}

std::vector<BytesCase> FieldCases()
{
  const std::string chunk = "2\r\nhi\r\n0\r\n";
  return {
    { "BlankInName", WithFields("X A: b\r\n") },
    { "BlankBeforeColon", WithFields("X : b\r\n") },
    { "TabInName", WithFields("X\tA: b\r\n") },
    { "ControlByteInName",
      WithFields("X\x01"
                 "A: b\r\n") },
    { "NulInName", WithFields(std::string("X\0A: b\r\n", 8)) },
    { "DeleteInName",
      WithFields("X\x7f"
                 "A: b\r\n") },
    { "EmptyName", WithFields(": b\r\n") },
    { "NoColon", WithFields("XA\r\n") },
    { "BlankAtStartOfHead", kOk + " X: b\r\n" + kTwoLength + "\r\nhi" },
    { "ControlByteInValue", WithFields("X: \x01\r\n") },
    { "NulInValue", WithFields(std::string("X: a\0b\r\n", 8)) },
    { "BareReturnInValue", WithFields("X: a\rY: b\r\n") },
    { "BlankInLengthName", kOk + "Content-Length : 2\r\n\r\nhi" },
    { "InInterimAnswer",
      "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + CompleteAnswer("sound") },
    { "InTrailer", kOk + kChunked + "\r\n" + chunk + "X A: b\r\n\r\n" },
    { "ControlByteInTrailer",
      kOk + kChunked + "\r\n" + chunk + "X\x01: b\r\n\r\n" },
  };
}

std::vector<BytesCase> FramingCases()
{
  const std::string chunk = "2\r\nhi\r\n0\r\n\r\n";
  const auto coding = [&chunk](const std::string& aFields) {
    return kOk + "X-Seal: s\r\n" + aFields + "\r\n" + chunk;
  };
  return {
    { "UnknownCoding", coding("Transfer-Encoding: gzip\r\n") },
    { "IdentityCoding", coding("Transfer-Encoding: identity\r\n") },
    { "UnknownCodingInChunks", coding("Transfer-Encoding: gzip, chunked\r\n") },
    { "UnknownCodingAfterChunks",
      coding("Transfer-Encoding: chunked, gzip\r\n") },
    { "ChunkedTwice", coding("Transfer-Encoding: chunked, chunked\r\n") },
    { "CodingWithParameter", coding("Transfer-Encoding: chunked;q=1\r\n") },
    { "CodingsInTwoFields",
      coding("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") },
    { "EmptyCoding", coding("Transfer-Encoding: \r\n") },
    { "UnknownCodingWithLength",
      coding("Transfer-Encoding: gzip\r\nContent-Length: 2\r\n") },
    { "ChunkedWithLength", coding(kChunked + "Content-Length: 2\r\n") },
    { "LengthWithChunked", coding("Content-Length: 2\r\n" + kChunked) },
    { "TwoLengths", WithFields("Content-Length: 3\r\n") },
    { "NegativeLength", kOk + "Content-Length: -2\r\n\r\nhi" },
    { "SignedLength", kOk + "Content-Length: +2\r\n\r\nhi" },
    { "HexLength", kOk + "Content-Length: 0x2\r\n\r\nhi" },
    { "EmptyLength", kOk + "Content-Length: \r\n\r\nhi" },
    { "LengthBeyondRange",
      kOk + "Content-Length: 18446744073709551618\r\n\r\nhi" },
    { "NegativeChunk", kOk + kChunked + "\r\n-2\r\nhi\r\n0\r\n\r\n" },
    { "ChunkBeyondRange",
      kOk + kChunked + "\r\n10000000000000002\r\nhi\r\n0\r\n\r\n" },
    { "ChunkWithoutEnd", kOk + kChunked + "\r\n2\r\nhiX0\r\n\r\n" },
    { "LengthInTrailer",
      kOk + kChunked + "\r\n2\r\nhi\r\n0\r\nContent-Length: 9\r\n\r\n" },
  };
}

// What is wrong with the head is known before the body arrives.
std::vector<BytesCase> HeadsWithoutTheirBody()
{
  return {
    { "Zero", "HTTP/1.1 000 X\r\n" + kTwoLength + "\r\n" },
    { "SixHundred", "HTTP/1.1 600 X\r\n" + kTwoLength + "\r\n" },
    { "UnknownCoding", kOk + "Transfer-Encoding: gzip\r\n\r\n" },
    { "UnknownCodingInChunks",
      kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n" },
    { "LengthBeyondTheLimit", kOk + "Content-Length: 9999999\r\n\r\n" },
  };
}

class BrokenHeads
  : public BrokenAnswersFixture
  , public testing::WithParamInterface<BytesCase>
{};

// The target keeps the connection open, so an answer that is not refused at
// once ends with 504 at the deadline.
TEST_P(BrokenHeads, AreRefusedAtOnce)
{
  for (const size_t node : { 0U, 1U }) {
    ServeFirst({ GetParam().m_bytes });
    ExpectRefused(
      node,
      Call(node, Post("/lots", { { kDeadlineHeader, kLongDeadlineMs } })),
      "answer-unusable");
  }
}

INSTANTIATE_TEST_SUITE_P(Status,
                         BrokenHeads,
                         testing::ValuesIn(StatusCases()),
                         [](const auto& aInfo) { return NameOf(aInfo); });
INSTANTIATE_TEST_SUITE_P(Fields,
                         BrokenHeads,
                         testing::ValuesIn(FieldCases()),
                         [](const auto& aInfo) { return NameOf(aInfo); });
INSTANTIATE_TEST_SUITE_P(BeforeTheBody,
                         BrokenHeads,
                         testing::ValuesIn(HeadsWithoutTheirBody()),
                         [](const auto& aInfo) { return NameOf(aInfo); });
INSTANTIATE_TEST_SUITE_P(Framing,
                         BrokenHeads,
                         testing::ValuesIn(FramingCases()),
                         [](const auto& aInfo) { return NameOf(aInfo); });

// ---- Log and counter -------------------------------------------------------

using RefusedAnswers = BrokenAnswersFixture;

struct LoggedCase
{
  std::string m_bytes;
  bool m_close = false;
  std::string m_fault;
  std::string m_detail; // as it is logged
};

// Guards against a refusal whose cause nobody can find, and against logs that a
// target fills, or forges lines of, by what it sends.
TEST_F(RefusedAnswers, AreLoggedWithTheirRequestAndCounted)
{
  const std::string longName(2000, '\x7f');
  std::string shown;
  for (int i = 0; i < 64; ++i) {
    shown += "\\x7f";
  }
  const std::vector<LoggedCase> cases = {
    { "HTTP/1.1 000 X\r\n\r\n", false, "status-out-of-range", "status 000" },
    { kOk + "Transfer-Encoding: g\x01\r\n\r\n", false, "malformed", "" },
    { kOk + "Transfer-Encoding: gzip\r\n\r\n",
      false,
      "transfer-coding",
      "'gzip'" },
    { kOk + longName + ": b\r\n\r\n",
      false,
      "malformed",
      "bad field at '" + shown + "'" },
    { kOk + "X\ncode=2110 Y: b\r\n\r\n",
      false,
      "malformed",
      "bad field at 'X\\x0acode=2110 Y: b'" },
    { kOk + "Content-Length: 9\r\n\r\nhalf",
      true,
      "cut-short",
      "closed after 4 bytes of the body" },
    { "HTTP/1.1 2", true, "cut-short", "closed within the head" },
    { "HTTP/1.1 101 X\r\n\r\n", false, "switches-protocols", "" },
    { kOk + "Content-Length: 9999999\r\n\r\n",
      false,
      "too-large",
      "body limit exceeded" },
  };
  int number = 0;
  for (const LoggedCase& one : cases) {
    const std::string id = "id-" + std::to_string(++number);
    ServeFirst({ one.m_bytes, one.m_close });
    Call(0, Post("/lots/" + id, { { kRequestIdHeader, id } }));
    const auto fields = RefusalOf(id);
    EXPECT_EQ(fields.count("fault"), 1U) << id;
    EXPECT_EQ(fields.at("fault"), one.m_fault);
    EXPECT_EQ(fields.at("source"), "target");
    EXPECT_EQ(fields.at("from"), "i");
    if (!one.m_detail.empty()) {
      EXPECT_EQ(fields.at("detail"), one.m_detail);
    }
  }
  const std::string metrics = m_registry.Text();
  EXPECT_NE(metrics.find("wigeonfold_node_broken_answers_total{fault=\"cut-"
                         "short\",source=\"target\"} 2\n"),
            std::string::npos)
    << metrics;
}

// A target that has not begun an answer sent no broken one.
TEST_F(RefusedAnswers, AreNotThoseThatNeverBegan)
{
  ServeFirst({ "", true });
  Call(0, Post("/lots", { { kRequestIdHeader, "id" } }));
  EXPECT_TRUE(RefusalOf("id").empty());
}

// The answers to pipelined requests leave in order, a refusal among them.
TEST_F(RefusedAnswers, KeepTheirPlaceAmongPipelinedRequests)
{
  ServeAtPeer([](int, const std::string& aRequest) {
    const bool broken = aRequest.find("/lots/broken") != std::string::npos;
    return Reaction{ broken ? "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" +
                                CompleteAnswer("wrong")
                            : CompleteAnswer("sound") };
  });
  const std::string end = " HTTP/1.1\r\nHost: x\r\n";
  const std::string answers =
    SendAndReadAll(m_nodes[0]->CallerPort(),
                   "GET /lots/broken" + end + "\r\nGET /lots/1" + end +
                     "\r\nGET /lots/broken2" + end + "\r\nGET /lots/2" + end +
                     "Connection: close\r\n\r\n");
  const std::string version = "HTTP/1.1 ";
  size_t at = 0;
  for (const std::string expected : { "502", "200", "502", "200" }) {
    at = answers.find(version, at);
    ASSERT_NE(at, std::string::npos) << answers;
    at += version.size();
    EXPECT_EQ(answers.substr(at, expected.size()), expected) << answers;
  }
  EXPECT_EQ(answers.find("wrong"), std::string::npos) << answers;
}

// ---- Sound answers ---------------------------------------------------------

using SoundAnswers = BrokenAnswersFixture;

// A trailer isn't part of the head: its fields may not join or replace those
// that a caller relies on (RFC 9110, 6.5.1).
TEST_F(SoundAnswers, TrailerFieldsAreDropped)
{
  ServeFirst({ kOk + kChunked +
               "X-Lot: head\r\nTrailer: X-Lot\r\n\r\n2\r\nhi\r\n0\r\n"
               "X-Lot: trailer\r\nX-Late: trailer\r\n\r\n" });
  const auto answer = Call(0, Post("/lots"));
  ExpectOutcome(answer, 200, "run", "");
  EXPECT_EQ(answer.m_body, "hi");
  EXPECT_EQ(FieldOf(answer, "X-Lot"), "head");
  EXPECT_EQ(CountOf(answer, "X-Lot"), 1U);
  EXPECT_EQ(CountOf(answer, "X-Late"), 0U);
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "next");
}

// The same where the trailer arrives alone.
TEST_F(SoundAnswers, LateTrailerFieldsAreDropped)
{
  Reaction reaction{ kOk + kChunked + "X-Lot: head\r\n\r\n2\r\nhi\r\n" };
  reaction.m_endless = "0\r\nX-Lot: trailer\r\n\r\n";
  reaction.m_endDelay = 50ms;
  ServeFirst(reaction);
  const auto answer = Call(0, Post("/lots"));
  EXPECT_EQ(answer.m_body, "hi");
  EXPECT_EQ(CountOf(answer, "X-Lot"), 1U);
}

// 204 has no body, so a caller that goes by the length would wait for one, and
// bytes behind the head belong to no request.
TEST_F(SoundAnswers, EmptyAnswerHasNoLength)
{
  const std::string empty = "HTTP/1.1 204 No Content\r\nX-Lot: 7\r\n"
                            "Content-Length: 5\r\n\r\n";
  for (const bool platform : { false, true }) {
    m_speaksPlatform = platform;
    Restart(0);
    Restart(1);
    for (const std::string& answer : { empty, empty + "hello" }) {
      for (const std::string method : { "GET", "HEAD", "POST" }) {
        for (const size_t node : { 0U, 1U }) {
          ServeFirst({ answer });
          SetView({ EndpointOf(1) },
                  { { "routes/lots", "route.host", "a.example" },
                    { "routes/lots", "route.services", "lots" } });
          const std::string bytes = SendAndReadAll(
            m_nodes[node]->CallerPort(),
            method + " /lots HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n");
          EXPECT_EQ(bytes.find("HTTP/1.1 204 "), 0U) << bytes;
          EXPECT_NE(bytes.find("X-Lot: 7\r\n"), std::string::npos);
          EXPECT_EQ(bytes.find("Content-Length"), std::string::npos) << bytes;
          EXPECT_EQ(bytes.find("hello"), std::string::npos) << bytes;
        }
      }
    }
  }
}

// No body follows, so its coding doesn't matter.
TEST_F(SoundAnswers, WithoutABodyMayNameACoding)
{
  const std::string coding = "Transfer-Encoding: gzip, chunked\r\n\r\n";
  for (const std::string status : { "200 OK", "304 X", "204 X" }) {
    ServeFirst({ "HTTP/1.1 " + status + "\r\n" + coding });
    const std::string method = status == "200 OK" ? "HEAD" : "GET";
    const auto answer = SendAndReadAll(m_nodes[0]->CallerPort(),
                                       method + " /lots HTTP/1.1\r\nHost: x\r\n"
                                                "Connection: close\r\n\r\n");
    EXPECT_EQ(answer.find("HTTP/1.1 " + status.substr(0, 4)), 0U) << answer;
    EXPECT_EQ(answer.find("Transfer-Encoding"), std::string::npos) << answer;
  }
}

// HTTP/1.0 has no transfer codings, so the sender may mean another end of the
// body: what follows on the connection belongs to no request (RFC 9112, 6.1).
TEST_F(SoundAnswers, ChunksInHttp10EndTheConnection)
{
  const std::string chunks = "\r\n2\r\nhi\r\n0\r\n\r\n";
  for (const std::string version : { "1.0", "1.1" }) {
    const std::string answer = "HTTP/" + version +
                               " 200 OK\r\nConnection: keep-alive\r\n" +
                               kChunked + chunks;
    TestTarget& target = ServeAtPeer(
      [answer](int, const std::string&) { return Reaction{ answer }; });
    for (const size_t node : { 0U, 1U }) {
      EXPECT_EQ(Call(node, Post("/lots")).m_body, "hi");
    }
    EXPECT_EQ(target.m_connections, version == "1.0" ? 2 : 1);
  }
}

TEST_F(SoundAnswers, InterimAnswersPrecedeTheAnswer)
{
  for (const size_t node : { 0U, 1U }) {
    ServeFirst({ "HTTP/1.1 100 Continue\r\n\r\n"
                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                 WithFields("X-Lot: 7\r\n") });
    const auto answer = Call(node, Post("/lots"));
    ExpectOutcome(answer, 200, "run", "");
    EXPECT_EQ(answer.m_body, "hi");
    EXPECT_EQ(FieldOf(answer, "X-Lot"), "7");
    EXPECT_EQ(FieldOf(answer, "Link"), "");
  }
}

// Greatest and least status of HTTP; a line that continues a value.
TEST_F(SoundAnswers, StayAsTheyAre)
{
  for (const int status : { 200, 299, 301, 404, 418, 500, 503, 599 }) {
    ServeFirst({ "HTTP/1.1 " + std::to_string(status) +
                 " X\r\nX-Seal: s\r\nX-Lot: a\r\n b\r\n" + kTwoLength +
                 "\r\nhi" });
    const auto answer = Call(0, Post("/lots"));
    ExpectOutcome(answer, status, "run", "");
    EXPECT_EQ(answer.m_body, "hi");
    EXPECT_EQ(FieldOf(answer, "X-Seal"), "s");
    EXPECT_EQ(FieldOf(answer, "X-Lot"), "a b");
  }
}

// A request that may be repeated gets the answer of another target.
TEST_F(SoundAnswers, ComeFromAnotherTargetWhereTheRequestMayBeRepeated)
{
  std::unique_ptr<TestTarget> other;
  RunOnIoThread([&] {
    other = std::make_unique<TestTarget>(m_io, [](int, const std::string&) {
      return Reaction{ CompleteAnswer("other") };
    });
  });
  Announce(0, other->Port());
  ServeAtPeer(
    [](int, const std::string&) {
      return Reaction{ "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi" };
    },
    4);
  SetView({ EndpointOf(0), EndpointOf(1) },
          { { "services/lots", "retry.budget-percent", "100" } });
  for (int i = 0; i < 4; ++i) {
    const std::string path = "/lots/" + std::to_string(i);
    EXPECT_EQ(Call(0, Get(path)).m_body, "other");
  }
  EXPECT_GT(m_target->m_requests, 0);
  RunOnIoThread([&] { other.reset(); });
}

} // namespace
} // namespace wigeonfold::node
