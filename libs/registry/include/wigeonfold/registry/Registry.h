// The replicated state machine of a control VM.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Version.h"
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

// Bounds of the replicated state. They decide what a replica forgets, so all
// replicas of a cluster need the same ones.
struct RegistryLimits
{
  size_t m_results = 100'000; // remembered change ids: two days at design size
  size_t m_history = 10'000;  // accepted changes
  size_t m_historyBytes = size_t{ 8 } << 20; // encoded; the newest always stays
  size_t m_tombstones = 10'000;
};

// Problems and changed paths listed in one answer; answers are remembered, so
// their size has to be bounded.
inline constexpr size_t kMaxListedItems = 100;
inline constexpr size_t kMaxChangeIdBytes = 64;

using HistoryEntryPtr = std::shared_ptr<const wire::HistoryEntry>;

// An immutable state for readers on other threads.
struct RegistryView
{
  std::string m_clusterId;
  int64_t m_label = 0;     // of the newest release; 0 before the first one
  int64_t m_baseLabel = 0; // of the release that it was based on
  std::shared_ptr<const settings::Tree> m_tree;
  std::vector<HistoryEntryPtr> m_history; // oldest first
};

// Applies committed commands in the order of the log. Equal logs lead to equal
// snapshots, byte for byte: no clock, no random number, no hash order. Not
// thread safe; View() gives what other threads read.
class Registry
{
public:
  explicit Registry(const RegistryLimits& aLimits = {});

  // Applies one command; the answer of a Change. Commands without a valid
  // content have no effect.
  std::optional<wire::AcceptResult> Apply(
    const wire::RegistryCommand& aCommand);
  // The same for the payload of a log entry. Fails with Protocol, without an
  // effect, when the bytes are no command.
  Result<std::optional<wire::AcceptResult>> Apply(std::string_view aCommand);

  // The same release with only the operations that change the present tree, so
  // that the log and the history do not hold every configuration as a whole.
  // Other changes, and releases that would not be accepted, come back as they
  // are. Precondition: the change is applied next, with no other in between.
  wire::Change Compacted(const wire::Change& aChange) const;

  bool IsBootstrapped() const { return !m_clusterId.empty(); }
  const std::string& ClusterId() const { return m_clusterId; }
  const std::shared_ptr<const settings::Tree>& NewestTree() const
  {
    return m_tree;
  }
  Version TreeVersion() const { return m_tree->At(); }
  // Label of the newest release; 0 before the first one.
  int64_t Label() const { return m_label; }
  // The first answer to a change, or nullptr when its id is not remembered.
  const wire::AcceptResult* FindResult(const std::string& aChangeId) const;
  RegistryView View() const;

  // The whole state in the form of a snapshot file.
  std::string Snapshot() const;
  // Fails with Protocol or Corrupt when the bytes are damaged.
  static Result<Registry> Restore(std::string_view aSnapshot,
                                  const RegistryLimits& aLimits = {});

private:
  struct Remembered
  {
    wire::AcceptResult m_result;
    int64_t m_contentHash = 0;
  };
  struct Accepted
  {
    HistoryEntryPtr m_entry;
    size_t m_bytes = 0;
  };

  void Apply(const wire::Bootstrap& aBootstrap);
  wire::AcceptResult Apply(const wire::Change& aChange);
  wire::AcceptResult Decide(const wire::Change& aChange);
  void Accept(const wire::Change& aChange, const settings::Tree& aNext);
  void Remember(const std::string& aChangeId, Remembered aRemembered);
  void Append(wire::HistoryEntry aEntry);

  RegistryLimits m_limits;
  std::string m_clusterId;
  int64_t m_label = 0;
  int64_t m_baseLabel = 0;
  std::shared_ptr<const settings::Tree> m_tree;
  std::unordered_map<std::string, Remembered> m_results;
  std::deque<std::string> m_resultOrder; // oldest first
  std::deque<Accepted> m_history;        // oldest first
  size_t m_historyBytes = 0;
};

} // namespace wigeonfold::registry
