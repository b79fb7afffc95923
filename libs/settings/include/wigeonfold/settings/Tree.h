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
  Version m_modified; // version that last changed this branch
};

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
  Version m_base;
  Version m_target;
  std::vector<wire::BranchState> m_branches;
  uint64_t m_digest = 0; // of the resulting tree
};

// An immutable state of the tree at one version. Copies are cheap: branches
// are shared. The root is the empty path; a path is segments joined by '/'.
// All methods are thread safe.
class Tree
{
public:
  // The empty tree at version 0.0.
  Tree() = default;

  const Version& At() const { return m_version; }
  const std::map<std::string, std::shared_ptr<const Branch>>& Branches() const
  {
    return m_branches;
  }

  bool Has(const std::string& aPath) const;
  // Names of the branches directly below aPath.
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

  // 64-bit digest of the version and all branches.
  uint64_t Digest() const;

  // Applies a change as a whole and returns the tree at aNext, or all problems
  // (unknown key, bad value, bad path, absent branch, impossible combination)
  // joined by newlines in the error's detail.
  // Precondition: aNext is greater than At().
  Result<Tree> Apply(const std::vector<wire::Operation>& aOperations,
                     const Version& aNext) const;

  // What a holder of aBase needs to reach this tree. Full when aBase is
  // absent, of another generation, newer, or below the tombstone horizon.
  TreeDelta DeltaFrom(const std::optional<Version>& aBase) const;

  // Applies a delta; fails with Corrupt when the digest of the result differs,
  // with Conflict when the delta's base is not this tree's version.
  Result<Tree> Patch(const TreeDelta& aDelta) const;

  // Paths that changed after aBase, removed ones included.
  std::vector<std::string> ChangedSince(const Version& aBase) const;

  // Forgets tombstones up to and including aHorizon.
  Tree WithHorizon(const Version& aHorizon) const;
  const Version& Horizon() const { return m_horizon; }

private:
  Version m_version;
  Version m_horizon;
  std::map<std::string, std::shared_ptr<const Branch>> m_branches;
  std::map<std::string, Version> m_tombstones;
};

} // namespace wigeonfold::settings
