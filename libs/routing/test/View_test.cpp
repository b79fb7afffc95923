// Guards against routes that refer to an absent service or target, and against
// requests that reach the wrong service.
#include "wigeonfold/routing/View.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::routing {
namespace {

settings::Tree TreeOf(const std::vector<wire::Operation>& aOperations)
{
  return settings::Tree().Apply(aOperations, Version{ 1, 1 }).value();
}

wire::EndpointRecord Record(const std::string& aNode,
                            const std::string& aService,
                            wire::EndpointState::type aState)
{
  wire::EndpointRecord record;
  record.nodeName = aNode;
  record.serviceName = aService;
  record.nodeAddress = "127.0.0.1:9000";
  record.state = aState;
  return record;
}

TEST(ViewTest, LongestPrefixWinsAtSegmentBoundaries)
{
  const auto view =
    View::Build(
      TreeOf({ settings::SetOperation("services/lots", "route.prefix", "/lots"),
               settings::SetOperation(
                 "services/archive", "route.prefix", "/lots/old") }),
      {})
      .value();
  EXPECT_EQ(view->Match("/lots")->m_name, "lots");
  EXPECT_EQ(view->Match("/lots/7?page=/lots/old")->m_name, "lots");
  EXPECT_EQ(view->Match("/lots/old/3")->m_name, "archive");
  EXPECT_EQ(view->Match("/lots/older")->m_name, "lots");
  EXPECT_EQ(view->Match("/lotsx"), nullptr);
  EXPECT_EQ(view->Match("/"), nullptr);
  EXPECT_EQ(view->Match(""), nullptr);
}

TEST(ViewTest, UnknownClientAccountsFallBackToTheDeepestKnownOne)
{
  const auto view =
    View::Build(TreeOf({ settings::SetOperation(
                  "offices/arita/shop", "share.weight", "300") }),
                {})
      .value();
  EXPECT_EQ(view->ClientAccountChain("arita/shop/till").size(), 3U);
  EXPECT_EQ(view->ClientAccountChain("offices/arita/shop").back().m_weight,
            300);
  const auto unknown = view->ClientAccountChain("nobody");
  ASSERT_EQ(unknown.size(), 1U);
  EXPECT_EQ(unknown[0].m_path, "offices");
  EXPECT_EQ(view->ClientAccountChain("")[0].m_path, "offices");
}

RC_GTEST_PROP(ViewProperty, RoutesHoldExactlyTheReadyTargetsOfTheirService, ())
{
  const auto service = rc::gen::element<std::string>("a", "b", "c", "d");
  const auto configured = *rc::gen::unique<std::vector<std::string>>(service);
  std::vector<wire::Operation> operations;
  for (const std::string& name : configured) {
    operations.push_back(
      settings::SetOperation("services/" + name, "route.prefix", "/" + name));
  }
  const auto announced = *rc::gen::container<
    std::vector<std::pair<std::string, wire::EndpointState::type>>>(
    rc::gen::pair(service,
                  rc::gen::element(wire::EndpointState::Ready,
                                   wire::EndpointState::Draining,
                                   wire::EndpointState::Lost)));
  std::vector<wire::EndpointRecord> records;
  std::map<std::string, size_t> ready;
  for (const auto& [name, state] : announced) {
    records.push_back(
      Record("node-" + std::to_string(records.size()), name, state));
    ready[name] += state == wire::EndpointState::Ready ? 1 : 0;
  }
  const settings::Tree tree =
    operations.empty() ? settings::Tree() : TreeOf(operations);
  const auto view = View::Build(tree, records).value();
  for (const char* name : { "a", "b", "c", "d" }) {
    const bool exists =
      std::find(configured.begin(), configured.end(), name) != configured.end();
    const ServiceRoute* route = view->Match(std::string("/") + name);
    RC_ASSERT((route != nullptr) == exists);
    RC_ASSERT((view->Find(name) != nullptr) == exists);
    if (exists) {
      RC_ASSERT(route->m_endpoints.size() == ready[name]);
    }
  }
}

} // namespace
} // namespace wigeonfold::routing
