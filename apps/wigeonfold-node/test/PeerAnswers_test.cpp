// A node of an earlier version passes on answers that are broken, or sends
// frames that make none. Guards against a caller that gets one of them as an
// answer, and against calls that wait for the rest of one.
#include "TestNodes.h"

#include "wigeonfold/forwarding/NativeDialect.h"
#include "wigeonfold/wire/Codec.h"

namespace wigeonfold::node {
namespace {

using forwarding::kRequestIdHeader;
using wire::FrameType;
using wire::RunState;

// What the other node makes of a call; the call id is filled in.
struct PeerReaction
{
  wire::CallResponse m_response;
  std::vector<std::string> m_parts; // bodies of further parts
  bool m_close = false;
  int m_atCancel = 0; // copies of the response that follow a cancelled call
};

class PeerAnswers : public TestNodes
{
protected:
  ~PeerAnswers() override
  {
    RunOnIoThread([&] { m_peer.reset(); });
  }

  // The other node reacts so to each call.
  void ServePeer(PeerReaction aReaction)
  {
    RunOnIoThread([&] {
      net::ConnectionHandlers handlers;
      handlers.m_onFrame =
        [reaction = std::move(aReaction)](const net::ConnectionPtr& aConnection,
                                          const wire::Frame& aFrame) {
          if (aFrame.m_type == FrameType::CallRequest) {
            OnCall(*aConnection, reaction, aFrame);
          } else if (aFrame.m_type == FrameType::CallCancel) {
            OnCancel(*aConnection, reaction, aFrame);
          }
        };
      m_peer = std::move(
        net::Listen(m_io, { "127.0.0.1", 0 }, std::move(handlers), {}).value());
    });
    SetView({ Endpoint("other", m_peer->Port()) });
  }

  static void OnCall(net::Connection& aConnection,
                     const PeerReaction& aReaction,
                     const wire::Frame& aFrame)
  {
    const auto request =
      wire::Decode<wire::CallRequest>(aFrame.m_payload, "").value();
    if (aReaction.m_atCancel > 0 && request.requestId == kCancelledId) {
      return;
    }
    wire::CallResponse response = aReaction.m_response;
    response.callId = request.callId;
    aConnection.Send(FrameType::CallResponse, response);
    for (const std::string& body : aReaction.m_parts) {
      wire::CallBodyPart part;
      part.callId = request.callId;
      part.body = body;
      aConnection.Send(FrameType::CallBodyPart, part);
    }
    if (aReaction.m_close) {
      aConnection.CloseAfterWrites();
    }
  }

  static void OnCancel(net::Connection& aConnection,
                       const PeerReaction& aReaction,
                       const wire::Frame& aFrame)
  {
    const auto cancel =
      wire::Decode<wire::CallCancel>(aFrame.m_payload, "").value();
    wire::CallResponse response = aReaction.m_response;
    response.callId = cancel.callId;
    for (int i = 0; i < aReaction.m_atCancel; ++i) {
      aConnection.Send(FrameType::CallResponse, response);
    }
  }

  static wire::CallResponse Response(int aStatus,
                                     const std::string& aName = "X-Lot",
                                     const std::string& aValue = "7")
  {
    wire::CallResponse response;
    response.run = RunState::Run;
    response.status = aStatus;
    response.headers.push_back(forwarding::MakeField(aName, aValue));
    response.body = "hi";
    return response;
  }

  net::HttpResponse CallOther()
  {
    return Call(
      0,
      Post("/lots",
           { { kDeadlineHeader, "5000" }, { kRequestIdHeader, "id" } }));
  }

  // Value of a field of the event that follows the call, or nothing.
  std::string Logged(EventId aId, const std::string& aName)
  {
    for (const Event& event : m_log.Since(0)) {
      for (const EventField& field : event.m_fields) {
        if (event.m_id == aId && field.m_name == aName) {
          return field.m_value;
        }
      }
    }
    return "";
  }

  // Request that the peer leaves without an answer until it is cancelled.
  static constexpr const char* kCancelledId = "cancelled";

  std::unique_ptr<net::Listener> m_peer;
};

TEST_F(PeerAnswers, SoundOnesPass)
{
  for (const int status : { 200, 404, 599 }) {
    ServePeer({ Response(status) });
    const auto answer = CallOther();
    ExpectOutcome(answer, status, "run", "");
    EXPECT_EQ(answer.m_body, "hi");
    EXPECT_EQ(FieldOf(answer, "X-Lot"), "7");
  }
  wire::CallResponse head = Response(200);
  head.__set_bodyBytes(6);
  ServePeer({ head, { "in", "st" } });
  EXPECT_EQ(CallOther().m_body, "hiinst");
}

// The head of the answer is one that HTTP doesn't have.
TEST_F(PeerAnswers, BrokenHeadsAreRefusedAtOnce)
{
  const std::vector<wire::CallResponse> broken = {
    Response(0),
    Response(99),
    Response(100),
    Response(101),
    Response(600),
    Response(1000),
    Response(-1),
    Response(200, "X Lot"),
    Response(200, ""),
    Response(200, "X-Lot:"),
    Response(200, std::string("X\0", 2)),
    Response(200, "X-Lot", "7\r\nX-Other: 8"),
    Response(200, "X-Lot", "\x01"),
    Response(200, "X-Lot", "\x7f"),
  };
  for (const wire::CallResponse& response : broken) {
    ServePeer({ response });
    const auto answer = CallOther();
    ExpectOutcome(answer, 502, "unknown", "answer-unusable");
    EXPECT_EQ(FieldOf(answer, "X-Lot"), "");
    EXPECT_EQ(FieldOf(answer, "X-Other"), "");
  }
  EXPECT_EQ(Logged(EventId::AnswerRefused, "request"), "id");
  EXPECT_EQ(Logged(EventId::AnswerRefused, "source"), "node");
  EXPECT_EQ(Logged(EventId::AnswerRefused, "from"), "other");
  EXPECT_EQ(Logged(EventId::AnswerRefused, "fault"), "status-out-of-range");
}

// A target's refusal that is broken promises nothing.
TEST_F(PeerAnswers, BrokenRefusalNeverSaysNotRun)
{
  wire::CallResponse response = Response(0);
  response.run = RunState::NotRun;
  response.reason = "shed";
  ServePeer({ response });
  ExpectOutcome(CallOther(), 502, "unknown", "answer-unusable");
}

// Bodies that don't match the length that their head announced.
TEST_F(PeerAnswers, BrokenPartsEndTheConnectionAtOnce)
{
  const auto announcing = [](int64_t aBytes) {
    wire::CallResponse head = Response(200);
    head.__set_bodyBytes(aBytes);
    return head;
  };
  const std::vector<PeerReaction> broken = {
    { announcing(6), { "in" }, true },
    { announcing(6), { "instead" } },
    { announcing(1) },
    { announcing(-1) },
    { announcing(int64_t{ 1 } << 40) },
    { announcing(6), { "" } },
  };
  for (const PeerReaction& reaction : broken) {
    ServePeer(reaction);
    ExpectOutcome(CallOther(), 502, "unknown", "peer-lost");
  }
  EXPECT_EQ(Logged(EventId::ConnectionRejected, "peer"), "other");
  EXPECT_EQ(Logged(EventId::ConnectionRejected, "step"), "read answer");
}

// The first part of an answer may be on its way while its call is cancelled.
// Kept, it would stay until the connection ends. A second one shows whether it
// was: it doesn't fit an answer that has begun.
TEST_F(PeerAnswers, PartsOfACancelledCallAreNotKept)
{
  PeerReaction reaction{ Response(200), { "in", "st" } };
  reaction.m_response.__set_bodyBytes(6);
  reaction.m_atCancel = 2;
  ServePeer(reaction);
  const auto late = Call(
    0,
    Post("/lots",
         { { kDeadlineHeader, "100" }, { kRequestIdHeader, kCancelledId } }));
  EXPECT_EQ(late.m_status, 504);
  EXPECT_EQ(CallOther().m_body, "hiinst");
  EXPECT_EQ(Logged(EventId::ConnectionRejected, "peer"), "");
}

TEST_F(PeerAnswers, BodyBeyondTheLimitIsRefused)
{
  wire::CallResponse response = Response(200);
  response.body = std::string(net::kMaxBodyBytes + 1, 'x');
  ServePeer({ response });
  ExpectOutcome(CallOther(), 502, "unknown", "answer-unusable");
}

} // namespace
} // namespace wigeonfold::node
