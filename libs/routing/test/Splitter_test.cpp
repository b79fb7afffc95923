// Guards against splits that deviate from their weights, also when the weights
// change while requests arrive, and against routes that match the wrong host or
// a shorter prefix.
#include "wigeonfold/routing/Splitter.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace wigeonfold::routing {
namespace {

class Split : public testing::Test
{
protected:
  RequestRoute Route(const std::vector<int64_t>& aWeights)
  {
    RequestRoute route;
    route.m_name = "r";
    for (size_t i = 0; i < aWeights.size(); ++i) {
      route.m_parts.push_back({ std::to_string(i), aWeights[i] });
    }
    return route;
  }
};

RC_GTEST_FIXTURE_PROP(Split, KeepsSharesToWithinOneRequestEach, ())
{
  auto weights =
    *rc::gen::container<std::vector<int64_t>>(rc::gen::inRange(0, 100));
  weights.push_back(1);
  const RequestRoute route = Route(weights);
  Splitter splitter(*rc::gen::arbitrary<uint64_t>());
  constexpr int kRequests = 400;
  std::map<std::string, int> counts;
  for (int i = 0; i < kRequests; ++i) {
    ++counts[splitter.Next(route).m_service];
  }
  double total = 0;
  for (const int64_t weight : weights) {
    total += static_cast<double>(weight);
  }
  const auto tolerance = static_cast<double>(weights.size());
  for (size_t i = 0; i < weights.size(); ++i) {
    const double expected = kRequests * static_cast<double>(weights[i]) / total;
    RC_ASSERT(std::abs(counts[std::to_string(i)] - expected) <= tolerance);
  }
}

TEST_F(Split, FollowsChangedWeightsAtOnce)
{
  Splitter splitter(1);
  const RequestRoute before = Route({ 100, 0 });
  EXPECT_EQ(splitter.Next(before).m_service, "0");
  const RequestRoute after = Route({ 0, 100 });
  EXPECT_EQ(splitter.Next(after).m_service, "1");
}

// ---- Matching --------------------------------------------------------------

TEST(HostRoutes, TheLongestPrefixOfTheHostWins)
{
  const auto tree = settings::Tree().Apply(
    { settings::SetOperation("services/s", "health.path", "/h"),
      settings::SetOperation("routes/short", "route.host", "a.example"),
      settings::SetOperation("routes/short", "route.path", "/x/"),
      settings::SetOperation("routes/short", "route.services", "s"),
      settings::SetOperation("routes/long", "route.host", "A.example"),
      settings::SetOperation("routes/long", "route.path", "/x/y/"),
      settings::SetOperation("routes/long", "route.services", "s:1") },
    Version{ 1, 1 });
  ASSERT_TRUE(tree) << tree.error().ToString();
  const auto view = View::Build(tree.value(), {});
  ASSERT_TRUE(view);
  const auto name = [&](const char* aHost, const char* aTarget) {
    const RequestRoute* route = view.value()->MatchHost(aHost, aTarget);
    return route == nullptr ? "" : route->m_name;
  };
  EXPECT_EQ(name("a.example", "/x/1"), "short");
  EXPECT_EQ(name("a.example:80", "/x/y/1?q=/"), "long");
  EXPECT_EQ(name("A.EXAMPLE", "/x/y/"), "long");
  EXPECT_EQ(name("a.example", "/x"), "");
  EXPECT_EQ(name("b.example", "/x/1"), "");
}

} // namespace
} // namespace wigeonfold::routing
