// Guards against a log that grows without a bound in bytes: a log that is
// bounded by a number of entries alone takes all memory and all of the disk
// once the entries are large, and a restart loads it again.
#include "Cluster.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

constexpr size_t kEntryBytes = size_t{ 512 } << 10;
constexpr int kEntries = 100;

// A cluster with the limits of a real one and commands of kEntryBytes.
class LargeEntries : public Cluster
{
public:
  LargeEntries()
    : Cluster(3, 1, RaftSettings{})
  {
  }

  // Proposes one large command to the leader and returns whether it took it.
  bool ProposeLarge()
  {
    Raft* leader = Leader();
    const bool taken =
      leader != nullptr &&
      leader->Propose(Now(leader->Self()), std::string(kEntryBytes, 'x'));
    if (leader != nullptr) {
      ExecuteActions(m_nodes.at(leader->Self()));
    }
    return taken;
  }

  size_t LogBytes(MemberId aId) const
  {
    const Log& log = m_nodes.at(aId).m_raft->GetLog();
    size_t bytes = 0;
    for (int64_t i = log.Base().m_index + 1; i <= log.Last().m_index; ++i) {
      bytes += log.At(i).payload.size();
    }
    return bytes;
  }

  void ExpectAllLogsBelow(size_t aLimit) const
  {
    for (const auto& [id, node] : m_nodes) {
      if (node.m_raft) {
        EXPECT_LE(LogBytes(id), aLimit) << "member " << id;
      }
    }
  }
};

TEST(LogBound, LargeEntriesAreCompactedByTheirBytes)
{
  LargeEntries cluster;
  ASSERT_TRUE(cluster.Commit());
  for (int i = 0; i < kEntries; ++i) {
    ASSERT_TRUE(cluster.RunUntil([&] { return cluster.ProposeLarge(); }));
    cluster.Run(100);
  }
  const RaftSettings settings;
  // The entries since the last snapshot, with those that arrive while the next
  // one is written, and the retained ones before it.
  cluster.ExpectAllLogsBelow(3 * settings.m_snapshotBytes);
}

// A leader that has lost its quorum, or whose followers are slow, can neither
// commit nor compact.
TEST(LogBound, ProposalsAreRefusedWhenTheLogIsFull)
{
  LargeEntries cluster;
  ASSERT_TRUE(cluster.Commit());
  const MemberId leader = cluster.Leader()->Self();
  cluster.m_network.m_maxSyncMs = 60'000;
  int taken = 0;
  for (int i = 0; i < kEntries; ++i) {
    taken += cluster.ProposeLarge() ? 1 : 0;
  }
  EXPECT_GT(taken, 0);
  EXPECT_LT(taken, kEntries);
  EXPECT_LE(cluster.LogBytes(leader), size_t{ 33 } << 20);
}

} // namespace
} // namespace wigeonfold::consensus
