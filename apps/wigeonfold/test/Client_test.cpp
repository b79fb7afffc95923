// Guards against changes that are lost, applied twice or sent with other
// content under the same id after lost answers, redirects and conflicts, and
// against failures that end with exit status 0.
#include "Commands.h"
#include "Draft.h"

#include "wigeonfold/registry/OperatorApi.h"

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace wigeonfold::client {
namespace {

using namespace std::chrono_literals;

// ---- Fake cluster ----------------------------------------------------------

enum class Fault
{
  None,
  NotConnected,
  LostRequest, // times out, nothing applied
  LostAnswer,  // times out, but applied
  NoQuorum,    // outcome not known
  Redirect,    // to the control VM that is not the leader
};

// Control VMs 127.0.0.1:1 (leader) and 127.0.0.1:2, which share one real
// registry. The clock advances only in m_sleep and in calls that time out.
class FakeCluster
{
public:
  FakeCluster()
  {
    wire::RegistryCommand command;
    wire::Bootstrap bootstrap;
    bootstrap.generation = 1;
    bootstrap.clusterId = "test";
    command.__set_bootstrap(bootstrap);
    m_registry.Apply(command);
    for (int64_t id = 1; id <= 2; ++id) {
      wire::Member member;
      member.memberId = id;
      member.name = "c" + std::to_string(id);
      member.apiAddress = "127.0.0.1:" + std::to_string(id);
      m_cluster.m_members.push_back({ member, 0ms, true });
    }
    m_cluster.m_self = 1;
    m_cluster.m_leaseHeld = true;
    std::string folder = testing::TempDir() + "wigeonfold-XXXXXX";
    m_draft = std::string(mkdtemp(folder.data())) + "/draft.json";
  }

  ~FakeCluster()
  {
    std::filesystem::remove_all(std::filesystem::path(m_draft).parent_path());
  }
  FakeCluster(const FakeCluster&) = delete;
  FakeCluster& operator=(const FakeCluster&) = delete;

  // Applies another operator's change.
  void Change(const std::string& aPath, const std::string& aValue)
  {
    const std::string id = "other-" + std::to_string(++m_drawn);
    Post(R"({"changeId":")" + id + R"(","base":")" +
         ToString(m_registry.TreeVersion()) +
         R"(","operations":[{"op":"set","path":")" + aPath +
         R"(","key":"share.weight","value":")" + aValue + "\"}]}");
  }

  // Runs the client with these words; m_out and m_err keep its output.
  ExitStatus Run(std::vector<std::string> aWords)
  {
    aWords.insert(aWords.begin(), "wigeonfold");
    const bool isRead = aWords.size() > 2 && (aWords[2] == "show");
    const std::set<std::string> draftCommands{
      "branch", "accept", "diff", "discard"
    };
    if (draftCommands.count(aWords[1]) > 0 && !isRead) {
      aWords.insert(aWords.end(), { "--draft", m_draft });
    }
    std::vector<const char*> words;
    for (const std::string& word : aWords) {
      words.push_back(word.c_str());
    }
    ExitStatus status = ExitStatus::Success;
    const auto arguments =
      ParseArguments(static_cast<int>(words.size()), words.data(), status);
    if (!arguments) {
      return status;
    }
    m_out.str("");
    m_err.str("");
    if (arguments->m_command == Command::Discard) {
      return RunDiscard(*arguments, m_out, m_err);
    }
    const ClientSettings settings{ { { "127.0.0.1", 2 }, { "127.0.0.1", 1 } },
                                   15s,
                                   60s };
    const Environment environment{
      [this](const auto& aAddress, const auto& aRequest, Duration aTimeout) {
        return Call(aAddress, aRequest, aTimeout);
      },
      [this] { return m_now; },
      [this](Duration aTime) { m_now += aTime; },
      [this] { return "id-" + std::to_string(++m_drawn); },
      1
    };
    ControlClient client(environment, settings.m_control, settings.m_timeout);
    Session session{ *arguments, settings, environment, client, m_out, m_err };
    return RunCommand(session);
  }

  Draft LoadedDraft() { return LoadDraft(m_draft).value().value(); }

  registry::Registry m_registry;
  registry::ClusterView m_cluster;
  std::deque<Fault> m_faults; // one for each next POST to the leader
  std::function<void()> m_beforePost = [] {};
  bool m_secondDown = false;
  std::string m_posted; // body of the last POST that the leader handled
  std::string m_draft;
  std::ostringstream m_out;
  std::ostringstream m_err;

private:
  registry::ApiReply Post(const std::string& aBody)
  {
    const auto change = registry::ParseChange(aBody);
    if (!change) {
      return registry::FormatInvalidBody(change.error());
    }
    wire::RegistryCommand command;
    command.__set_change(change.value());
    return registry::FormatAcceptResult(m_registry.Apply(command).value());
  }

  Fault NextFault()
  {
    const Fault fault = m_faults.empty() ? Fault::None : m_faults.front();
    if (!m_faults.empty()) {
      m_faults.pop_front();
    }
    return fault;
  }

  Result<net::HttpResponse> Call(const SocketAddress& aAddress,
                                 const net::HttpRequest& aRequest,
                                 Duration aTimeout)
  {
    const bool post = aRequest.m_method == "POST";
    registry::ClusterView cluster = m_cluster;
    if (aAddress.m_port == 2) {
      cluster.m_leaseHeld = false;
      cluster.m_self = 2;
      cluster.m_leader = 1;
      cluster.m_nodes.clear();
    }
    const Fault fault =
      post && aAddress.m_port == 1 ? NextFault() : Fault::None;
    if (fault == Fault::NotConnected ||
        (aAddress.m_port == 2 && m_secondDown)) {
      return Error{ ErrorCode::Unavailable, "connect", "", "refused" };
    }
    if (fault == Fault::LostRequest) {
      m_now += aTimeout;
      return Error{ ErrorCode::Timeout, "read answer", "", "lost" };
    }
    registry::ApiReply reply;
    if (!post) {
      reply = HandleRead(m_registry.View(), cluster, aRequest.m_target);
    } else if (fault == Fault::NoQuorum) {
      reply = registry::FormatUnknownOutcome("no quorum");
    } else if (fault == Fault::Redirect) {
      reply = { 307, "{}", "http://127.0.0.1:2/v1/accept" };
    } else if (auto redirect =
                 RedirectUnlessLeader(cluster, aRequest.m_target)) {
      reply = *redirect;
    } else {
      m_beforePost();
      m_posted = aRequest.m_body;
      reply = Post(aRequest.m_body);
    }
    if (fault == Fault::LostAnswer) {
      m_now += aTimeout;
      return Error{ ErrorCode::Timeout, "read answer", "", "lost" };
    }
    return net::HttpResponse{ reply.m_status,
                              { { "Location", reply.m_location } },
                              reply.m_body };
  }

  TimePoint m_now;
  int m_drawn = 0;
};

// ---- Accept ----------------------------------------------------------------

RC_GTEST_PROP(ClientProperty, ChangeIsAppliedOnceWhateverIsLost, ())
{
  FakeCluster fake;
  const auto faults = *rc::gen::container<std::vector<Fault>>(
    rc::gen::element(Fault::None,
                     Fault::NotConnected,
                     Fault::LostRequest,
                     Fault::LostAnswer,
                     Fault::NoQuorum,
                     Fault::Redirect));
  fake.m_faults.assign(faults.begin(), faults.end());
  const bool rebase = *rc::gen::arbitrary<bool>();
  RC_ASSERT(fake.Run({ "branch", "set", "offices/a", "share.weight", "7" }) ==
            ExitStatus::Success);
  // Each failed run consumes at least one fault, so the last run meets none.
  for (size_t run = 0; run <= faults.size(); ++run) {
    std::vector<std::string> words{ "accept" };
    if (rebase) {
      words.emplace_back("--rebase");
    }
    if (fake.Run(words) == ExitStatus::Success) {
      RC_ASSERT(fake.m_registry.TreeVersion() == (Version{ 1, 1 }));
      RC_ASSERT(!LoadDraft(fake.m_draft).value());
      return;
    }
    RC_ASSERT(fake.LoadedDraft().m_change.changeId == "id-1");
  }
  RC_FAIL("never accepted");
}

TEST(ClientTest, UnknownOutcomeFixesTheDraft)
{
  FakeCluster fake;
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weight", "7" }),
            ExitStatus::Success);
  fake.m_faults.assign(100, Fault::LostAnswer);
  EXPECT_EQ(fake.Run({ "accept", "--author", "me" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_err.str().find("outcome is not known"), std::string::npos);
  EXPECT_EQ(fake.Run({ "branch", "unset", "offices/a", "share.weight" }),
            ExitStatus::Failed);
  EXPECT_EQ(fake.Run({ "discard" }), ExitStatus::Failed);
  fake.m_faults.clear();
  EXPECT_EQ(fake.Run({ "accept", "--author", "other", "--json" }),
            ExitStatus::Success);
  EXPECT_EQ(Json::parse(fake.m_out.str())["version"], "1.1");
  EXPECT_EQ(fake.m_registry.View().m_history.back().Decode().change.author,
            "me");
}

TEST(ClientTest, UnreachedControlLeavesTheDraftEditable)
{
  FakeCluster fake;
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weight", "7" }),
            ExitStatus::Success);
  fake.m_secondDown = true;
  fake.m_faults.assign(1000, Fault::NotConnected);
  EXPECT_EQ(fake.Run({ "accept" }), ExitStatus::Unreachable);
  EXPECT_FALSE(fake.LoadedDraft().m_sent);
}

TEST(ClientTest, RebasesOverOtherBranchesOnly)
{
  FakeCluster fake;
  fake.Run({ "branch", "set", "offices/a", "share.weight", "7" });
  fake.Change("offices/b", "1");
  EXPECT_EQ(fake.Run({ "accept" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_err.str().find("offices/b"), std::string::npos);
  int races = 2;
  fake.m_beforePost = [&] {
    if (races-- > 0) {
      fake.Change("offices/c", std::to_string(5 + races));
    }
  };
  EXPECT_EQ(fake.Run({ "accept", "--rebase" }), ExitStatus::Success);
  EXPECT_EQ(fake.m_registry.TreeVersion(), (Version{ 1, 4 }));

  fake.Run({ "branch", "set", "offices/a", "share.weight", "8" });
  fake.Change("offices/a", "9");
  EXPECT_EQ(fake.Run({ "accept", "--rebase" }), ExitStatus::Failed);
  EXPECT_EQ(fake.m_registry.NewestTree()->Integer("offices/a", "share.weight"),
            9);
  EXPECT_FALSE(fake.LoadedDraft().m_sent);
}

TEST(ClientTest, InvalidChangeKeepsTheDraftUnderANewId)
{
  FakeCluster fake;
  fake.Run({ "branch", "unset", "offices/a", "share.weight" });
  EXPECT_EQ(fake.Run({ "accept" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_err.str().find("offices/a: no such branch"),
            std::string::npos);
  EXPECT_EQ(fake.LoadedDraft().m_change.changeId, "id-2");
  EXPECT_EQ(fake.m_registry.TreeVersion(), (Version{ 1, 0 }));
}

TEST(ClientTest, WaitsUntilInForceOnEveryNode)
{
  FakeCluster fake;
  fake.m_cluster.m_nodes = { { "n1", "az1", Version{ 1, 0 }, {}, "" },
                             { "n2", "az1", Version{ 1, 0 }, {}, "" } };
  fake.Run({ "branch", "set", "offices/a", "share.weight", "7" });
  fake.m_beforePost = [&] { fake.m_cluster.m_nodes[0].m_inForce = { 1, 1 }; };
  EXPECT_EQ(fake.Run({ "accept", "--wait" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_err.str().find("in force on 1 of 2 nodes"),
            std::string::npos);
  fake.Run({ "branch", "set", "offices/a", "share.weight", "8" });
  fake.m_beforePost = [&] {
    fake.m_cluster.m_nodes[0].m_inForce = { 1, 2 };
    fake.m_cluster.m_nodes[1].m_inForce = { 1, 2 };
  };
  EXPECT_EQ(fake.Run({ "accept", "--wait" }), ExitStatus::Success);
  fake.m_secondDown = true;
  // Nodes of a control VM that can't be asked may still be behind.
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weight", "9" }),
            ExitStatus::Success);
  fake.m_beforePost = [&] {
    fake.m_cluster.m_nodes[0].m_inForce = { 1, 3 };
    fake.m_cluster.m_nodes[1].m_inForce = { 1, 3 };
  };
  EXPECT_EQ(fake.Run({ "accept", "--wait" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_err.str().find("control VMs not reached: c2"),
            std::string::npos);
  EXPECT_EQ(fake.Run({ "status" }), ExitStatus::Failed);
  EXPECT_NE(fake.m_out.str().find("not reached"), std::string::npos);
}

TEST(ClientTest, DrainsAndTakesBack)
{
  FakeCluster fake;
  EXPECT_EQ(fake.Run({ "drain", "n1" }), ExitStatus::Success);
  EXPECT_TRUE(
    fake.m_registry.NewestTree()->Boolean("targets/n1", "target.drain"));
  EXPECT_EQ(fake.Run({ "drain", "n1" }), ExitStatus::Success);
  EXPECT_EQ(fake.m_registry.TreeVersion().m_number, 1);
  EXPECT_EQ(fake.Run({ "drain", "n1", "--undo" }), ExitStatus::Success);
  EXPECT_FALSE(fake.m_registry.NewestTree()->Has("targets/n1"));
  EXPECT_EQ(fake.Run({ "drain", "n 1" }), ExitStatus::Failed);
}

// ---- Reading ---------------------------------------------------------------

TEST(ClientTest, ShowsInheritedValuesAndDifferences)
{
  FakeCluster fake;
  fake.Change("offices/a", "7");
  fake.Run({ "branch", "show", "offices/a/b", "--effective" });
  EXPECT_NE(fake.m_out.str().find("share.weight = 7  (offices/a)"),
            std::string::npos);
  EXPECT_NE(fake.m_out.str().find("share.queue-percent = 50 %  (default)"),
            std::string::npos);
  EXPECT_EQ(fake.Run({ "branch", "show", "offices/none" }), ExitStatus::Failed);
  fake.Run({ "branch", "set", "offices/a", "share.weight", "8" });
  fake.Change("offices/b", "1");
  fake.Run({ "diff" });
  EXPECT_EQ(fake.m_out.str(),
            "draft on version 1.1, newest 1.2\n"
            "~ offices/a share.weight: 7 -> 8\n"
            "! offices/b was changed since\n");
  fake.Run({ "diff", "--since", "1.1" });
  EXPECT_EQ(fake.m_out.str(),
            "1.1 -> 1.2\n+ offices/b (branch created)\n"
            "+ offices/b share.weight: (not set) -> 1\n");
}

TEST(ClientTest, RefusesBadInputLocally)
{
  FakeCluster fake;
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weigth", "7" }),
            ExitStatus::Failed);
  EXPECT_EQ(fake.Run({ "branch", "set", "vms/a", "share.weight", "7" }),
            ExitStatus::Failed);
  EXPECT_FALSE(LoadDraft(fake.m_draft).value());
  EXPECT_EQ(fake.Run({ "accept" }), ExitStatus::Failed);
  EXPECT_EQ(fake.Run({ "branch", "sett" }), ExitStatus::Usage);
  EXPECT_EQ(fake.Run({ "members", "remove", "c9" }), ExitStatus::Failed);
}

// ---- Members ---------------------------------------------------------------

// Guards against a replacement that can't be repeated after an interruption:
// the old member is removed already, so its name belongs to the new member or
// to none. The repeated command must carry out the remaining steps.
TEST(ClientTest, RepeatedReplacementGoesOnWhereItStopped)
{
  FakeCluster fake;
  const auto replace = [&](const char* aOld, const char* aName) {
    fake.m_posted.clear();
    fake.Run({ "members",
               "replace",
               aOld,
               "9",
               aName,
               "az2",
               "127.0.0.1:12",
               "127.0.0.1:2" });
    return fake.m_posted;
  };
  const std::string expected =
    R"({"action":"replace","member":{"memberId":"9",)"
    R"("name":"c2","availabilityZone":"az2",)"
    R"("peerAddress":"127.0.0.1:12",)"
    R"("apiAddress":"127.0.0.1:2"}})";
  fake.m_cluster.m_members.pop_back();
  EXPECT_EQ(replace("c2", "c2"), expected);
  wire::Member added = fake.m_cluster.m_members.front().m_member;
  added.memberId = 9;
  added.name = "c2";
  fake.m_cluster.m_members.push_back({ added, 0ms, true });
  EXPECT_EQ(replace("c2", "c2"), expected);
  // An unknown name that differs from the new member's is an error.
  EXPECT_EQ(replace("c7", "c2"), "");
  EXPECT_NE(fake.m_err.str().find("no member c7"), std::string::npos);
}

// ---- Draft file ------------------------------------------------------------

TEST(DraftTest, DamagedFileIsNeverADraft)
{
  FakeCluster fake;
  fake.Run({ "branch", "set", "offices/a", "share.weight", "7" });
  const std::string text = FormatDraft(fake.LoadedDraft());
  for (size_t length = 0; length < text.size(); ++length) {
    std::ofstream(fake.m_draft) << text.substr(0, length);
    const auto draft = LoadDraft(fake.m_draft);
    ASSERT_FALSE(draft.has_value()) << length;
    EXPECT_EQ(draft.error().m_code, ErrorCode::Corrupt);
  }
  EXPECT_EQ(fake.Run({ "accept" }), ExitStatus::DamagedData);
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weight", "8" }),
            ExitStatus::DamagedData);
  EXPECT_EQ(fake.Run({ "discard" }), ExitStatus::Success);
  EXPECT_FALSE(LoadDraft(fake.m_draft).value());
}

TEST(DraftTest, FailedWriteKeepsTheOldDraft)
{
  FakeCluster fake;
  fake.Run({ "branch", "set", "offices/a", "share.weight", "7" });
  const Draft draft = fake.LoadedDraft();
  const std::string blocker =
    fake.m_draft + "." + std::to_string(getpid()) + ".tmp";
  ASSERT_EQ(mkdir(blocker.c_str(), 0755), 0);
  EXPECT_EQ(fake.Run({ "branch", "set", "offices/a", "share.weight", "8" }),
            ExitStatus::Failed);
  EXPECT_EQ(fake.LoadedDraft().m_change, draft.m_change);
}

TEST(DraftTest, OverlapFollowsRemovals)
{
  wire::Operation set;
  set.kind = wire::OperationKind::Set;
  set.path = "offices/a/b";
  wire::Operation remove;
  remove.kind = wire::OperationKind::RemoveBranch;
  remove.path = "offices/c";
  const auto overlaps = [&](const std::string& aPath, bool aRemoved) {
    return !FindOverlappingPaths({ set, remove }, { { aPath, aRemoved } })
              .empty();
  };
  EXPECT_TRUE(overlaps("offices/a/b", false));
  EXPECT_FALSE(overlaps("offices/a", false));
  EXPECT_TRUE(overlaps("offices/a", true));
  EXPECT_FALSE(overlaps("offices/a/b/d", true));
  EXPECT_TRUE(overlaps("offices/c/d", false));
  EXPECT_FALSE(overlaps("offices/cd", false));
}

} // namespace
} // namespace wigeonfold::client
