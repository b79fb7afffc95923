// Guards against a replicated state that grows without a bound in bytes: with a
// bound in changes or in results alone, large changes or long refusals take the
// memory of every control VM, and again at each start.
#include "wigeonfold/registry/Registry.h"
#include "wigeonfold/wire/Codec.h"

#include <gtest/gtest.h>
#include <malloc.h>

namespace wigeonfold::registry {
namespace {

constexpr size_t kMiB = size_t{ 1 } << 20;
// The part of a control VM's 256 MB that docs/CAPACITY.md gives to the state.
constexpr size_t kMaxStateBytes = 56 * kMiB;
// And to one encoded snapshot.
constexpr size_t kMaxSnapshotBytes = 24 * kMiB;
constexpr int kRoutes = 2400;

size_t HeapInUse()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void Set(wire::Change& aChange,
         const std::string& aPath,
         const std::string& aKey,
         const std::string& aValue)
{
  aChange.operations.push_back(settings::SetOperation(aPath, aKey, aValue));
}

void Clear(wire::Change& aChange, const std::string& aPath)
{
  wire::Operation clear;
  clear.kind = wire::OperationKind::ClearBranch;
  clear.path = aPath;
  aChange.operations.push_back(clear);
}

// A whole configuration in which each route has another name than before.
wire::Change RenamedRoutes(int64_t aLabel)
{
  wire::Change release;
  release.changeId = "release-" + std::to_string(aLabel);
  release.label = aLabel;
  release.baseLabel = aLabel - 1;
  Clear(release, "routes");
  Clear(release, "services");
  Set(release, "services/shop", "target.protocol", "h1");
  for (int i = 0; i < kRoutes; ++i) {
    const std::string number = std::to_string(i);
    const std::string path =
      "routes/renamed-" + std::to_string(aLabel) + "-" + number;
    Set(release, path, "route.host", "h" + number + ".example");
    Set(release, path, "route.path", "/lepu" + number + "/");
    Set(release, path, "route.idempotent", "true");
    Set(release, path, "route.timeout", std::to_string(1000 + aLabel));
    Set(release, path, "route.objective", std::to_string(400 + aLabel));
    Set(release, path, "route.services", "shop");
  }
  return release;
}

class StateBound : public testing::Test
{
protected:
  StateBound()
  {
    wire::RegistryCommand command;
    wire::Bootstrap bootstrap;
    bootstrap.generation = 1;
    bootstrap.clusterId = "test";
    command.__set_bootstrap(bootstrap);
    m_registry.Apply(command);
  }

  wire::AcceptOutcome::type Send(const wire::Change& aChange)
  {
    wire::RegistryCommand command;
    command.__set_change(m_registry.Compacted(aChange));
    const auto result = m_registry.Apply(command);
    m_problem = result->problems.empty() ? "" : result->problems.front();
    return result->outcome;
  }

  void ExpectBounded() const
  {
    const size_t state = HeapInUse() - m_before;
    const size_t snapshot = m_registry.Snapshot().size();
    RecordProperty("state_bytes", std::to_string(state));
    RecordProperty("snapshot_bytes", std::to_string(snapshot));
    EXPECT_LE(state, kMaxStateBytes);
    EXPECT_LE(snapshot, kMaxSnapshotBytes);
  }

  std::string m_problem; // first one of the last change
  const size_t m_before = HeapInUse();
  Registry m_registry;
};

TEST_F(StateBound, ReleasesThatRenameEachRoute)
{
  for (int64_t label = 1; label <= 40; ++label) {
    ASSERT_EQ(Send(RenamedRoutes(label)), wire::AcceptOutcome::Accepted)
      << m_problem;
  }
  ExpectBounded();
}

// The largest tree by memory has many small branches.
TEST_F(StateBound, LargestTree)
{
  constexpr int kOfficesPerChange = 1000;
  for (int number = 0; number < 60; ++number) {
    wire::Change change;
    change.changeId = "offices-" + std::to_string(number);
    change.base = wire::ToWire(m_registry.TreeVersion());
    for (int i = 0; i < kOfficesPerChange; ++i) {
      Set(change,
          "offices/" + std::to_string(number) + "-" + std::to_string(i),
          "share.weight",
          "1");
    }
    Send(change);
  }
  EXPECT_GT(m_registry.NewestTree()->MemoryBytes(),
            settings::kMaxTreeMemoryBytes * 9 / 10);
  ExpectBounded();
}

TEST_F(StateBound, RefusalsWithLongProblems)
{
  const std::string longPath = "routes/" + std::string(200, 'x');
  for (int i = 0; i < 2000; ++i) {
    wire::Change change;
    change.changeId = "refused-" + std::to_string(i);
    change.base = wire::ToWire(m_registry.TreeVersion());
    for (int route = 0; route < 100; ++route) {
      Set(change, longPath + std::to_string(route), longPath, longPath);
    }
    ASSERT_EQ(Send(change), wire::AcceptOutcome::Invalid);
  }
  ExpectBounded();
}

TEST_F(StateBound, ConflictsThatListManyPaths)
{
  ASSERT_EQ(Send(RenamedRoutes(1)), wire::AcceptOutcome::Accepted) << m_problem;
  for (int i = 0; i < 5000; ++i) {
    wire::Change change;
    change.changeId = "conflict-" + std::to_string(i);
    change.base = wire::ToWire(Version{ 1, 0 });
    Set(change, "offices/a", "share.weight", "7");
    ASSERT_EQ(Send(change), wire::AcceptOutcome::Conflict);
  }
  ExpectBounded();
}

} // namespace
} // namespace wigeonfold::registry
