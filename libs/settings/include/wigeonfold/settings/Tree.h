// Tree of settings, in which a branch inherits the values of its ancestors.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/wire/gen/common_types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::settings {

struct Branch
{
  std::map<std::string, std::string> m_settings;
  Version m_modified;                  // version that last changed this branch
  uint64_t m_hash = 0;                 // of path, settings and m_modified
  std::vector<std::string> m_problems; // violations of the schema

  bool operator==(const Branch&) const = default;
};

// Limit of Tree::Bytes(). A node has 32 MB of memory and holds up to two trees
// in it. The design size (3,100 services, 21,000 drained targets, 10,000 client
// accounts) needs less than 3 MiB.
inline constexpr size_t kMaxTreeBytes = size_t{ 4 } << 20;
// Limit of Tree::MemoryBytes(). The design size needs about 18 MiB.
inline constexpr size_t kMaxTreeMemoryBytes = size_t{ 24 } << 20;

// Returns the operation that sets one value. Thread safe.
wire::Operation SetOperation(const std::string& aPath,
                             const std::string& aKey,
                             std::string aValue);

// A value and where it comes from.
struct EffectiveValue
{
  std::string m_value;
  std::string m_source;     // path of the branch that sets it
  bool m_isDefault = false; // the schema's default; no branch sets the key
};

// Changes that turn the tree at m_baseVersion into the tree at m_newVersion.
struct TreeDelta
{
  bool m_full = false;   // the branches are the whole tree; any base will do
  Version m_baseVersion; // 0.0 when full
  Version m_newVersion;
  std::vector<wire::BranchState> m_branches; // changed and removed branches
  uint64_t m_digest = 0;                     // of the resulting tree
};

// Immutable tree at one version. Copies share all branches, so their cost does
// not depend on the size; a change copies the map of branches once. The root is
// the empty path; a path is segments joined by '/'. A removed branch leaves a
// tombstone with the version of its removal, so that deltas list it; tombstones
// up to the horizon are forgotten. All methods are thread safe.
class Tree
{
public:
  // The empty tree at version 0.0.
  Tree() = default;

  const Version& TreeVersion() const { return m_version; }
  const std::map<std::string, std::shared_ptr<const Branch>>& Branches() const
  {
    return m_state->m_branches;
  }

  // True for the root, for a branch and for each ancestor of a branch.
  bool Has(const std::string& aPath) const;
  // Names directly below aPath, in order; ancestors of branches included.
  std::vector<std::string> Children(const std::string& aPath) const;

  // Value of aKey at aPath: that of the branch itself or else, if the key is
  // inherited, of its nearest ancestor that sets it, or else the schema's
  // default. The path need not
  // exist. Precondition: the schema has aKey.
  EffectiveValue Effective(const std::string& aPath,
                           const std::string& aKey) const;
  // The effective value, parsed: Time reads Milliseconds, List splits at
  // commas. Precondition: the key has that type in the schema; Text takes every
  // key.
  std::string Text(const std::string& aPath, const std::string& aKey) const;
  int64_t Integer(const std::string& aPath, const std::string& aKey) const;
  bool Boolean(const std::string& aPath, const std::string& aKey) const;
  Duration Time(const std::string& aPath, const std::string& aKey) const;
  std::vector<std::string> List(const std::string& aPath,
                                const std::string& aKey) const;

  // 64-bit digest (XXH3) of the version and all branches, without tombstones.
  // Independent of the order in which the branches were set.
  uint64_t Digest() const;

  // Total length of all paths, keys and values.
  size_t Bytes() const { return m_bytes; }
  // Estimate of the memory that the branches take.
  size_t MemoryBytes() const { return m_bytes + m_overheadBytes; }

  // All problems of the whole tree, empty when it is valid. A node refuses a
  // patched tree that has any.
  std::vector<std::string> Problems() const;

  // Applies all operations of a change, in order, and returns the tree at
  // aNext. When there are problems (unknown key, invalid value or path, absent
  // branch, conflict between branches), applies none and returns
  // InvalidArgument with all problems joined by newlines in the error's detail.
  // Set creates the branch when it is absent. Unset keeps the branch, even when
  // no setting is left. RemoveBranch and ClearBranch remove the branch with all
  // below it; only RemoveBranch requires that there is one. Precondition: aNext
  // is greater than TreeVersion().
  Result<Tree> Apply(const std::vector<wire::Operation>& aOperations,
                     const Version& aNext) const;

  // Delta from the tree at aBase to this one. Full when aBase is absent, of
  // another generation, newer, or below the tombstone horizon.
  TreeDelta DeltaFrom(const std::optional<Version>& aBase) const;

  // Applies a delta. Fails with Corrupt when the digest of the result differs
  // from the delta's, with Conflict when the delta is not full and its base is
  // not this tree's version, or when its new version is lower. The result keeps
  // the tombstones of this delta only.
  Result<Tree> Patch(TreeDelta aDelta) const;

  // Paths of branches changed after aBase, removed ones included, in order.
  std::vector<std::string> ChangedSince(const Version& aBase) const;

  // The same tree without the tombstones up to and including aHorizon. A lower
  // horizon than the present one changes nothing.
  Tree WithTombstoneHorizon(const Version& aHorizon) const;
  const Version& TombstoneHorizon() const { return m_horizon; }
  // The same tree with a higher horizon when it has more than aLimit
  // tombstones. At most three quarters of aLimit then remain, so that not every
  // further removal raises the horizon again.
  Tree WithTombstoneLimit(size_t aLimit) const;

  // The same branches and number at a greater generation, for recovery by
  // force. The horizon becomes the new version, so that nodes receive the full
  // tree.
  Tree WithGeneration(int64_t aGeneration) const;

  // All branches, then all tombstones, each ordered by path.
  std::vector<wire::BranchState> Export() const;
  // The inverse of Export. Fails with Corrupt on a repeated or malformed path.
  static Result<Tree> Restore(const Version& aVersion,
                              const Version& aHorizon,
                              const std::vector<wire::BranchState>& aBranches);

private:
  struct State
  {
    std::map<std::string, std::shared_ptr<const Branch>> m_branches;
    std::map<std::string, Version> m_tombstones;
  };

  // Gives this tree a copy of the shared state, so that it can be written to.
  void Detach() { m_state = std::make_shared<State>(*m_state); }
  // These write to the state. Precondition: no other tree shares it.
  void PutBranch(const std::string& aPath, Branch aBranch);
  void EraseBranch(const std::string& aPath);
  // Stores the branches that a change touched, at version aNext; an absent
  // value removes the branch.
  void Commit(
    const std::map<std::string,
                   std::optional<std::map<std::string, std::string>>>& aWorking,
    const Version& aNext);
  // Stores a branch or a tombstone.
  void PutState(wire::BranchState&& aBranch);

  Version m_version;
  Version m_horizon; // greatest version whose tombstones are forgotten
  // Sums over all branches, so that a change recomputes only its own branches.
  uint64_t m_hashSum = 0;
  size_t m_bytes = 0;
  size_t m_overheadBytes = 0; // of the containers
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace wigeonfold::settings
