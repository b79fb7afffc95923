// Guards against malformed bodies that are accepted as changes, reads that a
// control VM serves without the lease, and unsafe membership steps.
#include "wigeonfold/registry/OperatorFormat.h"
#include "wigeonfold/wire/Codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wigeonfold::registry {
namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

const char* const kBody =
  R"({"changeId":"a-1","base":"1.0","author":"me","operations":[
  {"op":"set","path":"offices/a","key":"share.weight","value":"7"},
  {"op":"set","path":"offices/b","key":"share.weight","value":"8"}]})";

wire::AcceptResult Send(Registry& aRegistry, const std::string& aBody)
{
  wire::RegistryCommand command;
  command.__set_change(ParseChange(aBody).value());
  return aRegistry.Apply(command).value();
}

Registry ExampleRegistry()
{
  Registry registry;
  wire::RegistryCommand command;
  wire::Bootstrap bootstrap;
  bootstrap.generation = 1;
  bootstrap.clusterId = "test";
  command.__set_bootstrap(bootstrap);
  registry.Apply(command);
  EXPECT_EQ(Send(registry, kBody).outcome, wire::AcceptOutcome::Accepted);
  EXPECT_EQ(Send(registry,
                 R"({"changeId":"a-2","base":"1.1","operations":[
      {"op":"remove","path":"offices/b"},
      {"op":"set","path":"offices/a","key":"share.weight","value":"9"}]})")
              .outcome,
            wire::AcceptOutcome::Accepted);
  return registry;
}

wire::Member Member(int64_t aId, bool aVoter)
{
  const std::string number = std::to_string(aId);
  wire::Member member;
  member.memberId = aId;
  member.name = "c" + number;
  member.availabilityZone = "az1";
  member.peerAddress = "127.0.0.1:700" + number;
  member.apiAddress = "127.0.0.1:710" + number;
  member.voter = aVoter;
  return member;
}

ClusterView LeaderView()
{
  ClusterView cluster;
  cluster.m_self = 1;
  cluster.m_leader = 1;
  cluster.m_leaseHeld = true;
  cluster.m_members = { { Member(1, true), 0ms, true },
                        { Member(2, true), std::nullopt, false } };
  cluster.m_nodes = { { "n1", "az1", Version{ 1, 2 }, {}, "", 10ms },
                      { "n2", "az1", Version{ 1, 1 }, Version{ 1, 2 }, "why" },
                      { "n3", "az1", {}, {}, "" } };
  return cluster;
}

Json Read(const std::string& aTarget)
{
  const ApiReply reply =
    HandleRead(ExampleRegistry().View(), LeaderView(), aTarget);
  EXPECT_EQ(reply.m_status, 200) << aTarget << reply.m_body;
  return Json::parse(reply.m_body);
}

// ---- Reads -----------------------------------------------------------------

TEST(OperatorApiTest, ReadsTheState)
{
  EXPECT_EQ(
    Read("/v1/tree")["branches"]["offices/a"],
    Json::parse(R"({"settings":{"share.weight":"9"},"modified":"1.2"})"));
  EXPECT_EQ(Read("/v1/branch?path=offices")["children"],
            Json::parse(R"(["a"])"));
  EXPECT_EQ(
    Read("/v1/branch?path=offices%2Fa%2Fx&effective=1")["effective"]
                                                       ["share.weight"],
    Json::parse(
      R"({"value":"9","unit":"","source":"offices/a","default":false})"));
  const Json history = Read("/v1/history?limit=1");
  ASSERT_EQ(history["entries"].size(), 1U);
  EXPECT_EQ(history["entries"][0]["operations"][0],
            Json::parse(R"({"op":"remove","path":"offices/b"})"));
  EXPECT_EQ(Read("/v1/members")["members"][1]["freshnessAgeMs"], Json());
}

TEST(OperatorApiTest, MergesEditsOverVersions)
{
  const Json changes = Read("/v1/changes?since=1.0");
  EXPECT_EQ(changes["complete"], true);
  EXPECT_EQ(changes["paths"],
            Json::parse(R"([{"path":"offices/a","removed":false},
                            {"path":"offices/b","removed":true}])"));
  // offices/b was created and removed again, so it has no edit.
  EXPECT_EQ(changes["edits"],
            Json::parse(R"([{"path":"offices/a","branch":"created"},
    {"path":"offices/a","key":"share.weight","before":null,"after":"9"}])"));
  EXPECT_EQ(Read("/v1/changes?since=0.9")["complete"], false);
  EXPECT_EQ(Read("/v1/changes?since=1.2")["edits"].size(), 0U);
}

TEST(OperatorApiTest, StatusListsNodesThatAreBehind)
{
  const Json status = Read("/v1/status?behind=1.2");
  EXPECT_EQ(status["nodeCount"], 3);
  ASSERT_EQ(status["nodes"].size(), 2U);
  EXPECT_EQ(status["nodes"][0]["refusal"], "why");
  EXPECT_EQ(status["nodes"][0]["lag"], 1);
  EXPECT_EQ(status["nodes"][1]["inForce"], Json());
}

TEST(OperatorApiTest, OnlyTheLeaseHolderReadsTheNewestVersion)
{
  const RegistryView view = ExampleRegistry().View();
  ClusterView cluster = LeaderView();
  cluster.m_leaseHeld = false;
  const std::string target = "/v1/branch?path=offices/a";
  EXPECT_EQ(HandleRead(view, cluster, target).m_status, 503);
  EXPECT_EQ(HandleRead(view, cluster, target + "&stale=1").m_status, 200);
  EXPECT_EQ(HandleRead(view, cluster, "/v1/status").m_status, 200);
  cluster.m_leader = 2;
  const ApiReply reply = HandleRead(view, cluster, target);
  EXPECT_EQ(reply.m_status, 307);
  EXPECT_EQ(reply.m_location, "http://127.0.0.1:7102" + target);
}

TEST(OperatorApiTest, RejectsBadRequestTargets)
{
  const RegistryView view = ExampleRegistry().View();
  for (const auto& [target, status] :
       { std::pair{ "/v2", 404 },
         std::pair{ "/v1/branch?path=offices/none", 404 },
         std::pair{ "/v1/branch?path=vms/a", 400 },
         std::pair{ "/v1/branch?path=%2", 400 },
         std::pair{ "/v1/changes", 400 },
         std::pair{ "/v1/changes?since=1", 400 },
         std::pair{ "/v1/status?behind=x", 400 },
         std::pair{ "/v1/history?limit=0", 400 } }) {
    EXPECT_EQ(HandleRead(view, LeaderView(), target).m_status, status)
      << target;
  }
}

// ---- Changes ---------------------------------------------------------------

TEST(OperatorApiTest, ListsAllProblemsOfABody)
{
  const auto change = ParseChange(R"({"changeId":"a b","base":"1",
    "author":7,"when":"now","operations":[
      {"op":"set","path":"offices/a","key":"share.weight"},
      {"op":"erase","path":"offices/a"},
      {"op":"remove","path":"offices/a","key":"share.weight"}, 3]})");
  ASSERT_FALSE(change.has_value());
  EXPECT_EQ(change.error().m_detail,
            "changeId: not 1 to 64 of A-Z a-z 0-9 -\n"
            "base: not GENERATION.NUMBER\n"
            "author: not a string\n"
            "operations[0].value: required\n"
            "operations[1].op: not set, unset, remove or clear\n"
            "operations[2].key: unknown field\n"
            "operations[3]: not an object\n"
            "when: unknown field");
  EXPECT_EQ(FormatInvalidBody(change.error()).m_status, 422);
  for (const char* body : { "", "[]", "{\"changeId\":", "\xff" }) {
    EXPECT_FALSE(ParseChange(body).has_value()) << body;
  }
}

TEST(OperatorApiTest, FormatsOutcomes)
{
  Registry registry = ExampleRegistry();
  EXPECT_EQ(FormatAcceptResult(Send(registry, kBody)).m_body,
            R"({"outcome":"accepted","version":"1.1"})");
  std::string body = kBody;
  body.replace(body.find("a-1"), 3, "a-3");
  const ApiReply conflict = FormatAcceptResult(Send(registry, body));
  EXPECT_EQ(conflict.m_status, 409);
  EXPECT_EQ(Json::parse(conflict.m_body)["changedCount"], 2);
}

// ---- Members ---------------------------------------------------------------

MemberRequest Replacement(const wire::Member& aNew)
{
  MemberRequest request;
  request.m_action = MemberAction::Replace;
  request.m_memberId = 3;
  request.m_member = aNew;
  return request;
}

// Texts of the proposed steps until the plan is done, with every member caught
// up. A period marks the last step.
std::vector<std::string> Steps(wire::Membership aMembership,
                               const MemberRequest& aRequest)
{
  std::vector<std::string> steps;
  for (int i = 0; i < 9; ++i) {
    const MembershipPlan plan =
      PlanMembership(aMembership, aRequest, { 1, 2, 3, 4 });
    if (plan.m_kind != PlanKind::Propose) {
      EXPECT_EQ(plan.m_kind, PlanKind::Done) << plan.m_text;
      return steps;
    }
    steps.push_back(plan.m_text + (plan.m_isLastStep ? "." : ""));
    aMembership = plan.m_next;
  }
  return steps;
}

TEST(OperatorApiTest, ReplacementKeepsTheOldVoterUntilTheNewOneVotes)
{
  wire::Membership three;
  three.members = { Member(1, true), Member(2, true), Member(3, true) };
  const std::vector<std::string> atNewAddress{ "add c4 (4) as a learner",
                                               "promote c4 (4) to voter",
                                               "remove c3 (3)." };
  EXPECT_EQ(Steps(three, Replacement(Member(4, false))), atNewAddress);

  wire::Member sameAddress = Member(3, false);
  sameAddress.memberId = 4;
  const std::vector<std::string> atSameAddress{ "remove c3 (3)",
                                                "add c3 (4) as a learner",
                                                "promote c3 (4) to voter." };
  EXPECT_EQ(Steps(three, Replacement(sameAddress)), atSameAddress);

  wire::Membership two;
  two.members = { Member(1, true), Member(2, true) };
  MemberRequest resumed = Replacement(sameAddress);
  resumed.m_memberId = 0; // removed by an earlier run
  const std::vector<std::string> remaining{ "add c3 (4) as a learner",
                                            "promote c3 (4) to voter." };
  EXPECT_EQ(Steps(two, resumed), remaining);
}

TEST(OperatorApiTest, RefusesUnsafeMembershipSteps)
{
  wire::Membership two;
  two.members = { Member(1, true), Member(2, false) };
  MemberRequest request;
  request.m_action = MemberAction::Remove;
  request.m_memberId = 1;
  EXPECT_EQ(PlanMembership(two, request, {}).m_kind, PlanKind::Refused);
  request.m_action = MemberAction::Promote;
  request.m_memberId = 2;
  EXPECT_EQ(PlanMembership(two, request, { 1 }).m_kind, PlanKind::Wait);
  request.m_action = MemberAction::Add;
  request.m_member = Member(2, false);
  EXPECT_EQ(PlanMembership(two, request, {}).m_kind, PlanKind::Done);
  request.m_member.peerAddress = "127.0.0.1:9";
  EXPECT_EQ(PlanMembership(two, request, {}).m_kind, PlanKind::Refused);
  request.m_member = Member(2, false);
  request.m_member.memberId = 5;
  EXPECT_EQ(PlanMembership(two, request, {}).m_kind, PlanKind::Refused);
}

TEST(OperatorApiTest, ParsesMemberRequests)
{
  const auto request = ParseMemberRequest(
    R"({"action":"replace","memberId":"3","member":{"memberId":"4",
    "name":"c4","availabilityZone":"az1","peerAddress":"127.0.0.1:7004",
    "apiAddress":"127.0.0.1:7104"}})");
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(request.value().m_member, Member(4, false));
  const auto resumed = ParseMemberRequest(
    R"({"action":"replace","member":{"memberId":"4",
    "name":"c4","availabilityZone":"az1","peerAddress":"127.0.0.1:7004",
    "apiAddress":"127.0.0.1:7104"}})");
  ASSERT_TRUE(resumed.has_value());
  EXPECT_EQ(resumed.value().m_memberId, 0);
  const auto bad = ParseMemberRequest(
    R"({"action":"add","memberId":"3","member":{"memberId":"x",
    "name":"c4","availabilityZone":"az1","peerAddress":"here"}})");
  ASSERT_FALSE(bad.has_value());
  EXPECT_EQ(bad.error().m_detail,
            "member.memberId: not a positive whole number\n"
            "member.apiAddress: required\n"
            "member.peerAddress: 'here' is not IP:PORT\n"
            "memberId: unknown field");
}

// Guards against an answer that ends the process of each leader in turn.
TEST(OperatorFormatTest, AnswerThatCannotBeWrittenIsAProblem)
{
  EventLog log("test", 10);
  const ApiReply reply = FormatOrProblem(
    log, []() -> ApiReply { throw std::runtime_error("fault"); });
  EXPECT_EQ(reply.m_status, 500);
  EXPECT_TRUE(nlohmann::json::accept(reply.m_body));
  ASSERT_EQ(log.Since(HybridTime{}).size(), 1U);
  EXPECT_EQ(log.Since(HybridTime{}).front().m_id, EventId::HandlerFailed);
}

} // namespace
} // namespace wigeonfold::registry
