#include "ReleaseDiff.h"

#include "wigeonfold/settings/Schema.h"

#include <algorithm>
#include <string_view>

namespace wigeonfold::registry {

namespace {

using settings::Branch;
using settings::Tree;
using wire::Operation;
using wire::OperationKind;

// What the release sets on one branch: for each key the last operation.
using Settings = std::vector<const Operation*>;

const Operation* Find(const Settings& aSettings, const std::string& aKey)
{
  const auto found = std::find_if(
    aSettings.begin(), aSettings.end(), [&aKey](const Operation* aOperation) {
      return aOperation->key == aKey;
    });
  return found == aSettings.end() ? nullptr : *found;
}

class Diff
{
public:
  Diff(const Tree& aTree, const std::vector<Operation>& aOperations)
    : m_tree(aTree)
    , m_operations(aOperations)
  {
  }

  std::optional<std::vector<Operation>> Make()
  {
    if (!Collect() || !RemoveBranches()) {
      return std::nullopt;
    }
    for (const auto& [path, settings] : m_settings) {
      CompareBranch(std::string(path), settings);
    }
    return std::move(m_result);
  }

private:
  // Groups the operations by branch. False when one is of another kind, or
  // clears a branch after it was set.
  bool Collect()
  {
    Settings* last = nullptr;
    std::string_view lastPath;
    for (const Operation& operation : m_operations) {
      if (operation.kind == OperationKind::ClearBranch && m_settings.empty()) {
        m_cleared.push_back(operation.path);
        continue;
      }
      if (operation.kind != OperationKind::Set) {
        return false;
      }
      if (last == nullptr || lastPath != operation.path) {
        lastPath = operation.path;
        last = &m_settings[lastPath];
      }
      std::erase_if(*last, [&operation](const Operation* aEarlier) {
        return aEarlier->key == operation.key;
      });
      last->push_back(&operation);
    }
    return true;
  }

  bool IsCleared(const std::string& aPath) const
  {
    return std::any_of(m_cleared.begin(),
                       m_cleared.end(),
                       [&aPath](const std::string& aCleared) {
                         return aPath == aCleared ||
                                settings::IsBelow(aPath, aCleared);
                       });
  }

  bool RemoveBranches()
  {
    for (const std::string& cleared : m_cleared) {
      const auto& branches = m_tree.Branches();
      for (auto branch = branches.lower_bound(cleared);
           branch != branches.end() &&
           (branch->first == cleared ||
            branch->first.compare(0, cleared.size(), cleared) == 0);
           ++branch) {
        if (!IsCleared(branch->first) || m_settings.count(branch->first) > 0) {
          continue;
        }
        if (HasSettingsBelow(branch->first)) {
          return false;
        }
        Add(OperationKind::ClearBranch, branch->first, "", "");
      }
    }
    return true;
  }

  bool HasSettingsBelow(const std::string& aPath) const
  {
    const std::string prefix = aPath + "/";
    const auto below = m_settings.lower_bound(prefix);
    return below != m_settings.end() &&
           below->first.substr(0, prefix.size()) == prefix;
  }

  void CompareBranch(const std::string& aPath, const Settings& aSettings)
  {
    const auto known = m_tree.Branches().find(aPath);
    const Branch* branch =
      known == m_tree.Branches().end() ? nullptr : known->second.get();
    if (branch != nullptr && IsCleared(aPath)) {
      for (const auto& [key, value] : branch->m_settings) {
        if (Find(aSettings, key) == nullptr) {
          Add(OperationKind::Unset, aPath, key, "");
        }
      }
    }
    for (const Operation* operation : aSettings) {
      if (branch != nullptr) {
        const auto value = branch->m_settings.find(operation->key);
        if (value != branch->m_settings.end() &&
            value->second == operation->value) {
          continue;
        }
      }
      m_result.push_back(*operation);
    }
  }

  void Add(OperationKind::type aKind,
           const std::string& aPath,
           const std::string& aKey,
           const std::string& aValue)
  {
    Operation& operation = m_result.emplace_back();
    operation.kind = aKind;
    operation.path = aPath;
    operation.key = aKey;
    operation.value = aValue;
  }

  const Tree& m_tree;
  const std::vector<Operation>& m_operations;
  std::vector<std::string> m_cleared;
  std::map<std::string_view, Settings> m_settings; // by path
  std::vector<Operation> m_result;
};

} // namespace

std::optional<std::vector<Operation>> DiffRelease(
  const Tree& aTree,
  const std::vector<Operation>& aOperations)
{
  return Diff(aTree, aOperations).Make();
}

} // namespace wigeonfold::registry
