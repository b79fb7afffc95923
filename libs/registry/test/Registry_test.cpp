// Guards against changes that are applied twice, lost, or decided differently
// by replicas, also when a replica is restored from a snapshot.
#include "wigeonfold/registry/Registry.h"
#include "wigeonfold/wire/Codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::registry {
namespace {

// Small enough that the generated logs exceed them.
constexpr RegistryLimits kSmallLimits{ .m_results = 8,
                                       .m_history = 5,
                                       .m_historyBytes = 2000,
                                       .m_tombstones = 3,
                                       .m_leaving = { 3, 2 } };

wire::RegistryCommand Bootstrap(int64_t aGeneration)
{
  wire::RegistryCommand command;
  wire::Bootstrap bootstrap;
  bootstrap.generation = aGeneration;
  bootstrap.clusterId = "test";
  command.__set_bootstrap(bootstrap);
  return command;
}

wire::Operation Operation(wire::OperationKind::type aKind,
                          const std::string& aPath,
                          const std::string& aValue)
{
  wire::Operation operation;
  operation.kind = aKind;
  operation.path = aPath;
  operation.key =
    aKind == wire::OperationKind::RemoveBranch ? "" : "share.weight";
  operation.value = aValue;
  return operation;
}

wire::Change Change(const std::string& aId,
                    const Version& aBase,
                    const std::string& aPath,
                    const std::string& aValue)
{
  wire::Change change;
  change.changeId = aId;
  change.base = wire::ToWire(aBase);
  change.operations = { Operation(wire::OperationKind::Set, aPath, aValue) };
  return change;
}

wire::AcceptResult Send(Registry& aRegistry, const wire::Change& aChange)
{
  wire::RegistryCommand command;
  command.__set_change(aChange);
  return aRegistry.Apply(command).value();
}

Registry BootstrappedRegistry(const RegistryLimits& aLimits = {})
{
  Registry registry(aLimits);
  registry.Apply(Bootstrap(1));
  return registry;
}

wire::RegistryCommand Leaving(const std::string& aNodeName,
                              const TargetStart& aStart)
{
  wire::RegistryCommand command;
  wire::NodeLeaving node;
  node.nodeName = aNodeName;
  node.starts = { wire::ToWire(aStart) };
  command.__set_leaving({ node });
  return command;
}

// ---- Generated logs --------------------------------------------------------

// Commands with bases near the newest version, repeated ids, and valid and
// invalid values.
rc::Gen<wire::RegistryCommand> AnyCommand()
{
  return rc::gen::apply(
    [](int aId, int aBase, int aKind, int aValue, const std::string& aPath) {
      wire::RegistryCommand command;
      if (aKind == 9) {
        return Bootstrap(aValue);
      }
      if (aKind >= 10) {
        return Leaving("n" + std::to_string(aId % 5),
                       { "i" + std::to_string(aBase), aValue });
      }
      wire::Change change = Change(
        std::to_string(aId), { 1, aBase }, aPath, std::to_string(aValue));
      const auto kind = aKind < 6   ? wire::OperationKind::Set
                        : aKind < 8 ? wire::OperationKind::Unset
                                    : wire::OperationKind::RemoveBranch;
      change.operations = { Operation(kind, aPath, std::to_string(aValue)) };
      change.acceptedAtMs = aId + aBase;
      command.__set_change(change);
      return command;
    },
    rc::gen::inRange(0, 30),
    rc::gen::inRange(0, 8),
    rc::gen::inRange(0, 13),
    rc::gen::inRange(0, 4),
    rc::gen::element<std::string>("", "offices/a", "offices/a/b", "offices/c"));
}

std::vector<wire::RegistryCommand> AnyLog()
{
  auto log = *rc::gen::resize(
    60, rc::gen::container<std::vector<wire::RegistryCommand>>(AnyCommand()));
  log.insert(log.begin(), Bootstrap(1));
  return log;
}

// ---- Properties ------------------------------------------------------------

RC_GTEST_PROP(RegistryProperty, EqualLogsGiveEqualBytesAcrossSnapshots, ())
{
  const auto log = AnyLog();
  const auto restoreAt = *rc::gen::inRange<size_t>(0, log.size());
  Registry uninterrupted(kSmallLimits);
  Registry restored(kSmallLimits);
  for (size_t i = 0; i < log.size(); ++i) {
    if (i == restoreAt) {
      auto copy = Registry::Restore(restored.Snapshot(), kSmallLimits);
      RC_ASSERT(copy.has_value());
      restored = std::move(copy.value());
    }
    const auto one = uninterrupted.Apply(log[i]);
    const auto two = restored.Apply(wire::Encode(log[i]));
    RC_ASSERT(two.has_value());
    RC_ASSERT(one == two.value());
  }
  RC_ASSERT(uninterrupted.Snapshot() == restored.Snapshot());
}

RC_GTEST_PROP(RegistryProperty, OneOfTheRacingChangesIsAccepted, ())
{
  Registry registry = BootstrappedRegistry();
  const auto rounds = *rc::gen::inRange(1, 5);
  for (int round = 0; round < rounds; ++round) {
    const Version base = registry.TreeVersion();
    const auto racers = *rc::gen::inRange(1, 6);
    int accepted = 0;
    for (int racer = 0; racer < racers; ++racer) {
      const std::string id =
        std::to_string(round) + "-" + std::to_string(racer);
      // Distinct in all rounds: an equal value would change no path.
      const std::string value = std::to_string(round * 10 + racer + 1);
      const auto result = Send(registry, Change(id, base, "offices/a", value));
      accepted += result.outcome == wire::AcceptOutcome::Accepted ? 1 : 0;
      if (racer > 0) {
        RC_ASSERT(result.outcome == wire::AcceptOutcome::Conflict);
        RC_ASSERT(result.changedPaths ==
                  std::vector<std::string>{ "offices/a" });
      }
    }
    RC_ASSERT(accepted == 1);
    RC_ASSERT(registry.TreeVersion().m_number == base.m_number + 1);
  }
}

RC_GTEST_PROP(RegistryProperty, ResentChangesGetTheirFirstAnswer, ())
{
  const auto log = AnyLog();
  Registry registry;
  std::map<std::string, std::pair<wire::Change, wire::AcceptResult>> first;
  for (const auto& command : log) {
    const Version before = registry.TreeVersion();
    const auto result = registry.Apply(command);
    if (!result) {
      continue;
    }
    first.try_emplace(command.change.changeId,
                      std::pair{ command.change, *result });
    const bool accepted = result->outcome == wire::AcceptOutcome::Accepted &&
                          wire::FromWire(result->version) > before;
    RC_ASSERT(registry.TreeVersion().m_number ==
              before.m_number + (accepted ? 1 : 0));
  }
  auto restored = Registry::Restore(registry.Snapshot());
  RC_ASSERT(restored.has_value());
  const Version newest = registry.TreeVersion();
  for (Registry* replica : { &registry, &restored.value() }) {
    for (auto [id, sent] : first) {
      sent.first.acceptedAtMs += 1000; // proposed again by a later leader
      RC_ASSERT(Send(*replica, sent.first) == sent.second);
    }
    RC_ASSERT(replica->TreeVersion() == newest);
  }
}

// ---- Examples --------------------------------------------------------------

TEST(RegistryTest, RefusesAnIdReusedForAnotherChange)
{
  Registry registry = BootstrappedRegistry();
  wire::Change change = Change("id", { 1, 0 }, "offices/a", "1");
  const auto first = Send(registry, change);
  EXPECT_EQ(first.outcome, wire::AcceptOutcome::Accepted);
  for (int variant = 0; variant < 3; ++variant) {
    wire::Change other = change;
    if (variant == 0) {
      other.operations[0].value = "2";
    } else if (variant == 1) {
      other.base = first.version;
    } else {
      other.comment = "another";
    }
    EXPECT_EQ(Send(registry, other).outcome, wire::AcceptOutcome::Invalid);
  }
  EXPECT_EQ(Send(registry, change), first);
  EXPECT_EQ(registry.TreeVersion(), (Version{ 1, 1 }));
}

// A release that replaces all client accounts by random ones.
wire::Change Release(const std::string& aId, int64_t aLabel, int64_t aBase)
{
  wire::Change change;
  change.changeId = aId;
  change.label = aLabel;
  change.baseLabel = aBase;
  change.operations.push_back(
    Operation(wire::OperationKind::ClearBranch, "offices", ""));
  change.operations.back().key.clear();
  const auto count = *rc::gen::inRange(1, 30);
  for (int i = 0; i < count; ++i) {
    change.operations.push_back(
      Operation(wire::OperationKind::Set,
                "offices/o" + std::to_string(*rc::gen::inRange(0, 40)),
                std::to_string(*rc::gen::inRange(1, 4))));
  }
  return change;
}

// Replicas apply the release that the leader has compacted. The tree and the
// result have to be those of the whole release, also when the release is sent
// again, whole or compacted.
RC_GTEST_PROP(RegistryProperty, CompactedReleaseEqualsTheWholeRelease, ())
{
  Registry whole = BootstrappedRegistry();
  Registry compacted = BootstrappedRegistry();
  int64_t label = 0;
  for (int step = 0; step < 8; ++step) {
    const int64_t base =
      *rc::gen::weightedElement<int64_t>({ { 5, label }, { 1, label + 1 } });
    const auto release = Release("r" + std::to_string(step), label + 1, base);
    const auto small = compacted.Compacted(release);
    const auto answer = Send(whole, release);
    RC_ASSERT(Send(compacted, small) == answer);
    RC_ASSERT(compacted.NewestTree()->Digest() == whole.NewestTree()->Digest());
    RC_ASSERT(Send(compacted, release) == answer);
    RC_ASSERT(Send(compacted, small) == answer);
    label = whole.Label();
    RC_ASSERT(compacted.Label() == label);
  }
}

// Guards against a log and a history that hold each complete configuration of a
// large deployment.
TEST(RegistryTest, CompactedReleaseHoldsOnlyTheDifferences)
{
  Registry registry = BootstrappedRegistry();
  wire::Change first;
  first.changeId = "first";
  first.label = 1;
  for (int i = 0; i < 1000; ++i) {
    first.operations.push_back(Operation(
      wire::OperationKind::Set, "offices/o" + std::to_string(i), "1"));
  }
  Send(registry, registry.Compacted(first));
  wire::Change second = first;
  second.changeId = "second";
  second.label = 2;
  second.baseLabel = 1;
  second.operations.insert(
    second.operations.begin(),
    Operation(wire::OperationKind::ClearBranch, "offices", ""));
  second.operations.front().key.clear();
  second.operations.back().value = "2";
  EXPECT_EQ(registry.Compacted(second).operations.size(), 1U);
  wire::Change conflict = second;
  conflict.baseLabel = 7;
  EXPECT_EQ(registry.Compacted(conflict), conflict);
}

TEST(RegistryTest, ForgetsTheOldestIdsOnly)
{
  Registry registry = BootstrappedRegistry(kSmallLimits);
  for (int i = 0; i < 10; ++i) {
    Send(registry, Change(std::to_string(i), { 1, i }, "offices/a", "1"));
  }
  EXPECT_EQ(registry.FindResult("1"), nullptr);
  EXPECT_NE(registry.FindResult("2"), nullptr);
  EXPECT_EQ(registry.View().m_history.size(), kSmallLimits.m_history);
}

TEST(RegistryTest, RecoveryByForceKeepsTheContentUnderAGreaterGeneration)
{
  Registry registry = BootstrappedRegistry();
  Send(registry, Change("a", { 1, 0 }, "offices/a", "7"));
  registry.Apply(Bootstrap(1)); // not greater
  EXPECT_EQ(registry.TreeVersion(), (Version{ 1, 1 }));
  registry.Apply(Bootstrap(4));
  EXPECT_EQ(registry.TreeVersion(), (Version{ 4, 1 }));
  EXPECT_EQ(registry.NewestTree()->Integer("offices/a", "share.weight"), 7);
  EXPECT_EQ(Send(registry, Change("b", { 1, 1 }, "offices/a", "8")).outcome,
            wire::AcceptOutcome::Conflict);
}

TEST(RegistryTest, AcceptsNothingBeforeBootstrap)
{
  Registry registry;
  EXPECT_EQ(Send(registry, Change("a", {}, "offices/a", "7")).outcome,
            wire::AcceptOutcome::Invalid);
  EXPECT_EQ(registry.FindResult("a"), nullptr);
}

TEST(RegistryTest, RefusesADamagedSnapshot)
{
  Registry registry = BootstrappedRegistry();
  Send(registry, Change("a", { 1, 0 }, "offices/a", "7"));
  std::string snapshot = registry.Snapshot();
  EXPECT_FALSE(Registry::Restore(snapshot.substr(0, 20)).has_value());
  snapshot[snapshot.find("offices/a") + 8] = 'b';
  const auto restored = Registry::Restore(snapshot);
  ASSERT_FALSE(restored.has_value());
  EXPECT_EQ(restored.error().m_code, ErrorCode::Corrupt);
}

// ---- Targets that leave ----------------------------------------------------

// What a node acknowledged must not be forgotten when the group restarts from
// a snapshot.
TEST(Registry, StartsThatLeftSurviveASnapshot)
{
  Registry registry = BootstrappedRegistry();
  registry.Apply(Leaving("n", { "i", 100 }));
  auto restored = Registry::Restore(registry.Snapshot());
  ASSERT_TRUE(restored);
  EXPECT_TRUE(
    Covers(restored.value().Leaving().Find("n"), TargetStart{ "i", 100 }));
  EXPECT_EQ(restored.value().TakeChangedLeaving(),
            std::set<std::string>{ "n" });
}

TEST(Registry, LeavingStartMakesNoVersion)
{
  Registry registry = BootstrappedRegistry();
  const Version before = registry.TreeVersion();
  registry.Apply(Leaving("n", { "i", 100 }));
  EXPECT_EQ(registry.TreeVersion(), before);
  EXPECT_EQ(registry.Snapshot(),
            Registry::Restore(registry.Snapshot()).value().Snapshot());
}

// A later start under the same id has not left.
TEST(LeavingStarts, CoverEarlierStartsOfTheInstanceOnly)
{
  LeavingStarts leaving;
  EXPECT_TRUE(leaving.Add("n", { "i", 100 }));
  EXPECT_FALSE(leaving.Add("n", { "i", 90 }));
  EXPECT_FALSE(Covers(leaving.Find("n"), TargetStart{ "i", 101 }));
  EXPECT_FALSE(Covers(leaving.Find("n"), TargetStart{ "j", 100 }));
  EXPECT_FALSE(Covers(leaving.Find("m"), TargetStart{ "i", 100 }));
  EXPECT_TRUE(leaving.Add("n", { "i", 101 }));
  EXPECT_EQ(leaving.Find("n").size(), 1U);
}

// Another writer's leave must not push out that of the node's own target.
TEST(LeavingStarts, DropTheOldestBeyondTheLimits)
{
  LeavingStarts leaving({ 2, 2 });
  for (const char* instance : { "a", "b", "c" }) {
    leaving.Add("n", { instance, 1 });
  }
  EXPECT_EQ(leaving.Find("n"),
            (std::vector<TargetStart>{ { "b", 1 }, { "c", 1 } }));
  leaving.Add("m", { "a", 1 });
  leaving.Add("n", { "d", 1 });
  leaving.TakeChangedNodes();
  leaving.Add("o", { "a", 1 });
  EXPECT_TRUE(leaving.Find("m").empty());
  EXPECT_EQ(leaving.Find("n").back().m_instance, "d");
  EXPECT_EQ(leaving.TakeChangedNodes(), (std::set<std::string>{ "m", "o" }));
}

} // namespace
} // namespace wigeonfold::registry
