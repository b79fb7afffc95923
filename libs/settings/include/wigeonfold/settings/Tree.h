// The inheriting tree of settings.
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
  std::vector<std::string> m_problems; // of path and settings by the schema

  bool operator==(const Branch&) const = default;
};

// Bound of Tree::Bytes(). A node holds two trees at a time within its memory
// of 32 MB; the design size (3,100 services, 21,000 drained targets, 10,000
// offices) needs less than 3 MiB.
inline constexpr size_t kMaxTreeBytes = size_t{ 4 } << 20;

// The operation that sets one value. Thread safe.
wire::Operation SetOperation(const std::string& aPath,
                             const std::string& aKey,
                             std::string aValue);

// A value and where it comes from.
struct EffectiveValue
{
  std::string m_value;
  std::string m_source;     // path of the branch that sets it
  bool m_isDefault = false; // no branch sets it; the value is the schema's
};

// Difference between the state at a base version and a tree's state.
struct TreeDelta
{
  bool m_full = false; // the branches are the whole tree
  Version m_baseVersion;
  Version m_newVersion;
  std::vector<wire::BranchState> m_branches;
  uint64_t m_digest = 0; // of the resulting tree
};

// An immutable state of the tree at one version. Copies share all branches and
// cost the same for any size; a change copies the map of branches once. The
// root is the empty path; a path is segments joined by '/'. All methods are
// thread safe.
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

  // Value of aKey at aPath: the nearest ancestor's, the branch itself included,
  // or the schema default. The path need not exist. Precondition: the schema
  // has aKey.
  EffectiveValue Effective(const std::string& aPath,
                           const std::string& aKey) const;
  // The same, parsed. Precondition: the key has that type in the schema.
  std::string Text(const std::string& aPath, const std::string& aKey) const;
  int64_t Integer(const std::string& aPath, const std::string& aKey) const;
  bool Boolean(const std::string& aPath, const std::string& aKey) const;
  Duration Time(const std::string& aPath, const std::string& aKey) const;
  std::vector<std::string> List(const std::string& aPath,
                                const std::string& aKey) const;

  // 64-bit digest (XXH3) of the version and all branches. Independent of the
  // order in which the branches were set; tombstones do not count.
  uint64_t Digest() const;

  // Length of all paths, keys and values.
  size_t Bytes() const { return m_bytes; }

  // All problems of the whole tree, empty when it is valid. A node checks a
  // patched tree with this before it puts it in force.
  std::vector<std::string> Problems() const;

  // Applies a change as a whole and returns the tree at aNext, or all problems
  // (unknown key, bad value, bad path, absent branch, impossible combination)
  // joined by newlines in the error's detail.
  // Operations run in order. Set creates the branch, Unset leaves an empty
  // branch behind, RemoveBranch removes the branch with all below it.
  // Precondition: aNext is greater than TreeVersion().
  Result<Tree> Apply(const std::vector<wire::Operation>& aOperations,
                     const Version& aNext) const;

  // What a holder of aBase needs to reach this tree. Full when aBase is
  // absent, of another generation, newer, or below the tombstone horizon.
  TreeDelta DeltaFrom(const std::optional<Version>& aBase) const;

  // Applies a delta; fails with Corrupt when the digest of the result differs,
  // with Conflict when the delta's base is not this tree's version or its
  // target is lower. The result keeps the tombstones of this delta only.
  Result<Tree> Patch(TreeDelta aDelta) const;

  // Paths that changed after aBase, removed ones included.
  std::vector<std::string> ChangedSince(const Version& aBase) const;

  // Forgets tombstones up to and including aHorizon.
  Tree WithTombstoneHorizon(const Version& aHorizon) const;
  const Version& TombstoneHorizon() const { return m_horizon; }
  // Raises the horizon when there are more than aLimit tombstones, so that at
  // most three quarters of aLimit remain and not every removal raises it.
  Tree WithTombstoneLimit(size_t aLimit) const;

  // The same branches and number at a greater generation, for recovery by
  // force. No delta leads there: the horizon is the new version.
  Tree WithGeneration(int64_t aGeneration) const;

  // All branches, then all tombstones, each ordered by path.
  std::vector<wire::BranchState> Export() const;
  // The inverse; fails with Corrupt on a repeated or malformed path.
  static Result<Tree> Restore(const Version& aVersion,
                              const Version& aHorizon,
                              const std::vector<wire::BranchState>& aBranches);

private:
  struct State
  {
    std::map<std::string, std::shared_ptr<const Branch>> m_branches;
    std::map<std::string, Version> m_tombstones;
  };

  // A state of its own to write to, before the tree is handed out.
  void Detach() { m_state = std::make_shared<State>(*m_state); }
  void Put(const std::string& aPath, Branch aBranch);
  void Erase(const std::string& aPath);
  // Merges the settings of working branches; an absent value removes.
  void Commit(
    const std::map<std::string,
                   std::optional<std::map<std::string, std::string>>>& aWorking,
    const Version& aNext);
  void Take(wire::BranchState&& aBranch);

  Version m_version;
  Version m_horizon;
  // Sums over the branches, so that a change costs only its own branches.
  uint64_t m_hashSum = 0;
  size_t m_bytes = 0;
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace wigeonfold::settings
