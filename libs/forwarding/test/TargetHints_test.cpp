// Guards against knowledge of other nodes' targets that is lost, outlives the
// limit that a target names, or grows without bound.
#include "wigeonfold/forwarding/TargetHints.h"

#include <gtest/gtest.h>

namespace wigeonfold::forwarding {
namespace {

wire::CallResponse LeavingAnswer(const std::string& aInstance)
{
  wire::TargetStart start;
  start.instance = aInstance;
  wire::CallResponse response;
  response.__set_leaving(start);
  return response;
}

wire::CallResponse LimitedAnswer(double aPerSecond)
{
  wire::TargetLimit limit;
  limit.perSecond = aPerSecond;
  wire::TargetLoad load;
  load.__set_limit(limit);
  wire::CallResponse response;
  response.__set_load(load);
  response.__isset.load = true; // as after decoding
  response.run = wire::RunState::Run;
  return response;
}

wire::CallRequest CallTo(const TargetHints& aHints,
                         const std::string& aNodeName)
{
  wire::CallRequest request;
  // Left over from an attempt at another node.
  request.__set_leaving({});
  request.__set_limit({});
  aHints.Fill(aNodeName, request);
  return request;
}

TEST(TargetHints, CallNamesTheLastStartThatLeft)
{
  TargetHints hints;
  EXPECT_FALSE(CallTo(hints, "n").__isset.leaving);
  hints.OnAnswer("n", LeavingAnswer("a"));
  hints.OnAnswer("n", LeavingAnswer("b"));
  hints.OnAnswer("n", LimitedAnswer(5));
  ASSERT_TRUE(CallTo(hints, "n").__isset.leaving);
  EXPECT_EQ(CallTo(hints, "n").leaving.instance, "b");
  EXPECT_FALSE(CallTo(hints, "m").__isset.leaving);
}

TEST(TargetHints, CallNamesTheLimitUntilTheTargetNamesNone)
{
  TargetHints hints;
  hints.OnAnswer("n", LimitedAnswer(5));
  hints.OnAnswer("n", LimitedAnswer(4));
  EXPECT_EQ(CallTo(hints, "n").limit.perSecond, 4);
  // The refusal of a restarted node that knows of no limit.
  wire::CallResponse refusal;
  refusal.run = wire::RunState::NotRun;
  hints.OnAnswer("n", refusal);
  EXPECT_TRUE(CallTo(hints, "n").__isset.limit);
  wire::CallResponse answer;
  answer.run = wire::RunState::Run;
  hints.OnAnswer("n", answer);
  EXPECT_FALSE(CallTo(hints, "n").__isset.limit);
}

TEST(TargetHints, ForgetsTheNodeThatWasAddedFirstAboveTheLimit)
{
  TargetHints hints;
  for (size_t node = 0; node <= TargetHints::kMaxNodes; ++node) {
    hints.OnAnswer("n" + std::to_string(node), LeavingAnswer("a"));
  }
  EXPECT_EQ(hints.Size(), TargetHints::kMaxNodes);
  EXPECT_FALSE(CallTo(hints, "n0").__isset.leaving);
  EXPECT_TRUE(CallTo(hints, "n1").__isset.leaving);
}

} // namespace
} // namespace wigeonfold::forwarding
