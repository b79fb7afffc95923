// Guards against knowledge of leaving targets that is lost or grows without
// bound.
#include "wigeonfold/forwarding/LeavingTargets.h"

#include <gtest/gtest.h>

namespace wigeonfold::forwarding {
namespace {

wire::TargetStart Start(const std::string& aInstance)
{
  wire::TargetStart start;
  start.instance = aInstance;
  return start;
}

TEST(LeavingTargets, KeepsTheLastStartOfANode)
{
  LeavingTargets targets;
  EXPECT_EQ(targets.Find("n"), nullptr);
  targets.Note("n", Start("a"));
  targets.Note("n", Start("b"));
  ASSERT_NE(targets.Find("n"), nullptr);
  EXPECT_EQ(targets.Find("n")->instance, "b");
  EXPECT_EQ(targets.Size(), 1U);
}

TEST(LeavingTargets, ForgetsTheNodeThatWasNotedFirstAboveTheLimit)
{
  LeavingTargets targets;
  for (size_t node = 0; node <= LeavingTargets::kMaxNodes; ++node) {
    targets.Note("n" + std::to_string(node), Start("a"));
  }
  EXPECT_EQ(targets.Size(), LeavingTargets::kMaxNodes);
  EXPECT_EQ(targets.Find("n0"), nullptr);
  EXPECT_NE(targets.Find("n1"), nullptr);
}

} // namespace
} // namespace wigeonfold::forwarding
