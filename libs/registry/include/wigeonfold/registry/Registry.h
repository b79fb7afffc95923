// The replicated state machine of a control VM.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/registry/LeavingStarts.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonfold::registry {

// Limits of the replicated state. Replicas discard the oldest records above
// these limits, so all replicas of a cluster need the same values.
struct RegistryLimits
{
  size_t m_results = 100'000; // results by change id: two days at design size
  size_t m_resultBytes = size_t{ 8 } << 20;  // encoded, with their ids
  size_t m_history = 10'000;                 // accepted changes
  size_t m_historyBytes = size_t{ 8 } << 20; // encoded; the newest is kept
  size_t m_tombstones = 10'000;
  LeavingLimits m_leaving;
};

// Most problems or changed paths listed in one result. Results are kept for
// changes that are sent again, so their size has to be bounded; the first item
// is listed in any case.
inline constexpr size_t kMaxListedItems = 100;
inline constexpr size_t kMaxListedBytes = size_t{ 8 } << 10;
inline constexpr size_t kMaxChangeIdBytes = 64;

// An accepted change and what it did. Kept encoded, since a decoded change of
// thousands of small values takes several times as much memory.
struct StoredHistoryEntry
{
  Version m_version;
  std::shared_ptr<const std::string> m_encoded; // a wire::HistoryEntry

  wire::HistoryEntry Decode() const;
};

// An immutable copy of the state, for readers on other threads.
struct RegistryView
{
  std::string m_clusterId;
  int64_t m_label = 0;     // of the newest release; 0 before the first one
  int64_t m_baseLabel = 0; // of the release that it was based on
  std::shared_ptr<const settings::Tree> m_tree;
  std::vector<StoredHistoryEntry> m_history; // oldest first
};

// Applies committed commands in the order of the log. Deterministic: equal logs
// give snapshots that are equal byte for byte, so no result may depend on a
// clock, a random number or the order of a hash table. Not thread safe; other
// threads read the copy that View() returns.
class Registry
{
public:
  explicit Registry(const RegistryLimits& aLimits = {});

  // Applies one command and returns the result of a Change, nothing for other
  // commands. Has no effect when aCommand holds no Change, valid Bootstrap or
  // leaving starts.
  std::optional<wire::AcceptResult> Apply(
    const wire::RegistryCommand& aCommand);
  // The same for the payload of a log entry. Fails with Protocol, and changes
  // nothing, when the payload can't be decoded.
  Result<std::optional<wire::AcceptResult>> Apply(std::string_view aCommand);

  // Returns a release reduced to the operations that change the newest tree, so
  // that the log and the history don't hold each complete configuration. Other
  // changes, and releases that don't follow the newest one, are returned
  // unchanged. An invalid release stays invalid.
  // Precondition: no other change is applied before the returned one.
  wire::Change Compacted(const wire::Change& aChange) const;

  // Returns the result of a change without a log entry where it is certain: the
  // stored one of a change that is sent again, or the conflict of a release
  // that doesn't follow the newest one and, as labels only grow, never will.
  // Precondition: all committed commands are applied.
  std::optional<wire::AcceptResult> CertainResult(
    const wire::Change& aChange) const;

  bool IsBootstrapped() const { return !m_clusterId.empty(); }
  const std::string& ClusterId() const { return m_clusterId; }
  const std::shared_ptr<const settings::Tree>& NewestTree() const
  {
    return m_tree;
  }
  Version TreeVersion() const { return m_tree->TreeVersion(); }
  // Label of the newest release; 0 before the first one.
  int64_t Label() const { return m_label; }
  // The result of the change with this id, or nullptr when none is kept. Valid
  // until the next Apply.
  const wire::AcceptResult* FindResult(const std::string& aChangeId) const;
  RegistryView View() const;
  // Valid until the registry is destroyed or assigned to.
  const LeavingStarts& Leaving() const { return m_leaving; }
  // Nodes whose leaving starts have changed since the last call; all that have
  // some after Restore.
  std::set<std::string> TakeChangedLeaving()
  {
    return m_leaving.TakeChangedNodes();
  }

  // Encodes the whole state for a snapshot file.
  std::string Snapshot() const;
  // Inverse of Snapshot. Fails with Protocol when aSnapshot can't be decoded,
  // with Corrupt when its content is inconsistent.
  static Result<Registry> Restore(std::string_view aSnapshot,
                                  const RegistryLimits& aLimits = {});

private:
  struct StoredResult
  {
    wire::AcceptResult m_result;
    int64_t m_contentHash = 0;
    size_t m_bytes = 0; // encoded, with its id
  };

  void Apply(const wire::Bootstrap& aBootstrap);
  void Apply(const std::vector<wire::NodeLeaving>& aLeaving);
  wire::AcceptResult Apply(const wire::Change& aChange);
  wire::AcceptResult DecideSafely(const wire::Change& aChange);
  wire::AcceptResult Decide(const wire::Change& aChange);
  bool FollowsNewest(const wire::Change& aRelease) const;
  void Accept(const wire::Change& aChange, const settings::Tree& aNext);
  void StoreResult(const std::string& aChangeId, StoredResult aResult);
  void AppendHistory(StoredHistoryEntry aEntry);
  // Fails with Corrupt when an entry can't be decoded.
  Status RestoreHistory(wire::RegistrySnapshot& aSnapshot);

  RegistryLimits m_limits;
  std::string m_clusterId;
  int64_t m_label = 0;
  int64_t m_baseLabel = 0;
  std::shared_ptr<const settings::Tree> m_tree;
  std::unordered_map<std::string, StoredResult> m_results;
  std::deque<std::string> m_resultOrder;    // oldest first
  size_t m_resultBytes = 0;                 // encoded, with their ids
  std::deque<StoredHistoryEntry> m_history; // oldest first
  size_t m_historyBytes = 0;                // encoded
  LeavingStarts m_leaving;
};

} // namespace wigeonfold::registry
