// Guards against a group that ends for good because a disk is lost in the
// second and a half after a voter ended without notice, before its successor is
// promoted. No rule on acknowledgements helps: two of three voters are gone,
// and the successor, which has all entries, may not vote.
#include "ManagedCluster.h"

#include <gtest/gtest.h>

namespace wigeonfold::consensus {
namespace {

TEST(SilentReplacement, DiskLostBeforeTheSuccessorIsPromoted)
{
  ManagedCluster cluster(3, 1, 1);
  ASSERT_TRUE(
    cluster.RunManagedUntil([&] { return cluster.HasVoters(3); }, 10000));
  ASSERT_NE(cluster.Accept(), 0);
  cluster.AddVm();
  cluster.RunManaged(ManagedCluster::kSyncMs + 1000);
  cluster.Remove(cluster.FollowerId());
  cluster.Wipe(cluster.LeaderId());
  EXPECT_NO_THROW(cluster.Recover());
}

} // namespace
} // namespace wigeonfold::consensus
