#include "wigeonfold/settings/Tree.h"

#include "ChangeRun.h"
#include "Combinations.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/settings/Schema.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <set>

namespace wigeonfold::settings {

namespace {

// ---- Digest ----------------------------------------------------------------

void AppendNumber(std::string& aOut, uint64_t aNumber)
{
  std::array<char, sizeof(aNumber)> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(aNumber);
    aNumber >>= 8U;
  }
  aOut.append(bytes.data(), bytes.size());
}

// The length prefix gives ("ab", "c") and ("a", "bc") different digests.
void AppendText(std::string& aOut, const std::string& aText)
{
  AppendNumber(aOut, aText.size());
  aOut += aText;
}

void AppendVersion(std::string& aOut, const Version& aVersion)
{
  AppendNumber(aOut, static_cast<uint64_t>(aVersion.m_generation));
  AppendNumber(aOut, static_cast<uint64_t>(aVersion.m_number));
}

uint64_t HashOf(const std::string& aPath, const Branch& aBranch)
{
  std::string bytes;
  AppendText(bytes, aPath);
  AppendVersion(bytes, aBranch.m_modified);
  for (const auto& [key, value] : aBranch.m_settings) {
    AppendText(bytes, key);
    AppendText(bytes, value);
  }
  return Hash64(bytes);
}

size_t BytesOf(const std::string& aPath, const Branch& aBranch)
{
  size_t bytes = aPath.size();
  for (const auto& [key, value] : aBranch.m_settings) {
    bytes += key.size() + value.size();
  }
  return bytes;
}

// Memory that a branch and each of its settings take besides their text: map
// nodes, string objects and allocator overhead.
constexpr size_t kBranchOverheadBytes = 300;
constexpr size_t kSettingOverheadBytes = 110;

size_t OverheadOf(const Branch& aBranch)
{
  return kBranchOverheadBytes +
         kSettingOverheadBytes * aBranch.m_settings.size();
}

// ---- Wire form -------------------------------------------------------------

wire::BranchState ToState(const std::string& aPath, const Branch& aBranch)
{
  wire::BranchState state;
  state.path = aPath;
  state.settings = aBranch.m_settings;
  state.modified = wire::ToWire(aBranch.m_modified);
  return state;
}

wire::BranchState ToTombstone(const std::string& aPath,
                              const Version& aRemovedAt)
{
  wire::BranchState state;
  state.path = aPath;
  state.modified = wire::ToWire(aRemovedAt);
  state.removed = true;
  return state;
}

// ---- Change ----------------------------------------------------------------

Error InvalidChange(const std::vector<std::string>& aProblems)
{
  return Error{
    ErrorCode::InvalidArgument, "apply change", "", boost::join(aProblems, "\n")
  };
}

// Checks one branch by the schema. The result is stored in the branch, so that
// a node doesn't check the whole tree again at each change.
std::vector<std::string> ProblemsOf(const std::string& aPath,
                                    const SettingsMap& aSettings)
{
  if (auto problem = PathProblem(aPath)) {
    return { *problem };
  }
  std::vector<std::string> problems;
  for (const auto& [key, value] : aSettings) {
    if (auto problem = SettingProblem(aPath, key, value)) {
      problems.push_back(*problem);
    }
  }
  return problems;
}

} // namespace

wire::Operation SetOperation(const std::string& aPath,
                             const std::string& aKey,
                             std::string aValue)
{
  wire::Operation operation;
  operation.kind = wire::OperationKind::Set;
  operation.path = aPath;
  operation.key = aKey;
  operation.value = std::move(aValue);
  return operation;
}

// ---- Reading ---------------------------------------------------------------

bool Tree::Has(const std::string& aPath) const
{
  if (aPath.empty() || m_state->m_branches.count(aPath) > 0) {
    return true;
  }
  const auto below = m_state->m_branches.lower_bound(aPath + "/");
  return below != m_state->m_branches.end() && IsBelow(below->first, aPath);
}

std::vector<std::string> Tree::Children(const std::string& aPath) const
{
  const std::string prefix = aPath.empty() ? "" : aPath + "/";
  std::set<std::string> names;
  for (auto it = m_state->m_branches.lower_bound(prefix);
       it != m_state->m_branches.end() && boost::starts_with(it->first, prefix);
       ++it) {
    const std::string rest = it->first.substr(prefix.size());
    if (!rest.empty()) {
      names.insert(rest.substr(0, rest.find('/')));
    }
  }
  return { names.begin(), names.end() };
}

EffectiveValue Tree::Effective(const std::string& aPath,
                               const std::string& aKey) const
{
  const KeyInfo* key = FindKey(aKey);
  const bool inherits = key == nullptr || IsInherited(key->m_scope);
  std::string path = aPath;
  while (true) {
    const auto branch = m_state->m_branches.find(path);
    if (branch != m_state->m_branches.end()) {
      const auto value = branch->second->m_settings.find(aKey);
      if (value != branch->second->m_settings.end()) {
        return { value->second, path, false };
      }
    }
    if (path.empty() || !inherits) {
      break;
    }
    path = ParentOf(path);
  }
  return { key == nullptr ? "" : key->m_default, "", true };
}

std::string Tree::Text(const std::string& aPath, const std::string& aKey) const
{
  return Effective(aPath, aKey).m_value;
}

int64_t Tree::Integer(const std::string& aPath, const std::string& aKey) const
{
  return ParseInteger(Text(aPath, aKey)).value_or(0);
}

bool Tree::Boolean(const std::string& aPath, const std::string& aKey) const
{
  return Text(aPath, aKey) == "true";
}

Duration Tree::Time(const std::string& aPath, const std::string& aKey) const
{
  return std::chrono::milliseconds(Integer(aPath, aKey));
}

std::vector<std::string> Tree::List(const std::string& aPath,
                                    const std::string& aKey) const
{
  return SplitList(Text(aPath, aKey));
}

uint64_t Tree::Digest() const
{
  std::string bytes;
  AppendVersion(bytes, m_version);
  AppendNumber(bytes, m_state->m_branches.size());
  AppendNumber(bytes, m_hashSum);
  return Hash64(bytes);
}

std::vector<std::string> Tree::Problems() const
{
  std::vector<std::string> problems;
  for (const auto& [path, branch] : m_state->m_branches) {
    problems.insert(
      problems.end(), branch->m_problems.begin(), branch->m_problems.end());
  }
  CheckCombinations(*this, problems);
  return problems;
}

// ---- Changing --------------------------------------------------------------

void Tree::PutBranch(const std::string& aPath, Branch aBranch)
{
  EraseBranch(aPath);
  aBranch.m_hash = HashOf(aPath, aBranch);
  aBranch.m_problems = ProblemsOf(aPath, aBranch.m_settings);
  m_hashSum += aBranch.m_hash;
  m_bytes += BytesOf(aPath, aBranch);
  m_overheadBytes += OverheadOf(aBranch);
  m_state->m_branches[aPath] =
    std::make_shared<const Branch>(std::move(aBranch));
  m_state->m_tombstones.erase(aPath);
}

void Tree::EraseBranch(const std::string& aPath)
{
  const auto it = m_state->m_branches.find(aPath);
  if (it != m_state->m_branches.end()) {
    m_hashSum -= it->second->m_hash;
    m_bytes -= BytesOf(aPath, *it->second);
    m_overheadBytes -= OverheadOf(*it->second);
    m_state->m_branches.erase(it);
  }
}

void Tree::Commit(const WorkingMap& aWorking, const Version& aNext)
{
  m_version = aNext;
  for (const auto& [path, settings] : aWorking) {
    const auto old = m_state->m_branches.find(path);
    if (!settings) {
      if (old != m_state->m_branches.end()) {
        EraseBranch(path);
        m_state->m_tombstones[path] = aNext;
      }
    } else if (old == m_state->m_branches.end() ||
               old->second->m_settings != *settings) {
      PutBranch(path, Branch{ *settings, aNext });
    }
  }
}

Result<Tree> Tree::Apply(const std::vector<wire::Operation>& aOperations,
                         const Version& aNext) const
{
  if (aOperations.empty()) {
    return InvalidChange({ "the change has no operations" });
  }
  ChangeRun run(*this);
  for (const wire::Operation& operation : aOperations) {
    run.Run(operation);
  }
  Tree next = *this;
  next.Detach();
  next.Commit(run.Working(), aNext);
  CheckCombinations(next, run.Problems());
  if (!run.Problems().empty()) {
    return InvalidChange(run.Problems());
  }
  return next;
}

// ---- Differences -----------------------------------------------------------

TreeDelta Tree::DeltaFrom(const std::optional<Version>& aBase) const
{
  TreeDelta delta;
  delta.m_newVersion = m_version;
  delta.m_digest = Digest();
  delta.m_full = !aBase || aBase->m_generation != m_version.m_generation ||
                 *aBase > m_version || *aBase < m_horizon;
  delta.m_baseVersion = delta.m_full ? Version{} : *aBase;
  for (const auto& [path, branch] : m_state->m_branches) {
    if (delta.m_full || branch->m_modified > delta.m_baseVersion) {
      delta.m_branches.push_back(ToState(path, *branch));
    }
  }
  for (const auto& [path, removedAt] : m_state->m_tombstones) {
    if (!delta.m_full && removedAt > delta.m_baseVersion) {
      delta.m_branches.push_back(ToTombstone(path, removedAt));
    }
  }
  return delta;
}

void Tree::PutState(wire::BranchState&& aBranch)
{
  const Version modified = wire::FromWire(aBranch.modified);
  if (aBranch.removed) {
    EraseBranch(aBranch.path);
    m_state->m_tombstones[aBranch.path] = modified;
  } else {
    PutBranch(aBranch.path, Branch{ std::move(aBranch.settings), modified });
  }
}

Result<Tree> Tree::Patch(TreeDelta aDelta) const
{
  const bool baseMatches = aDelta.m_full || aDelta.m_baseVersion == m_version;
  if (!baseMatches || aDelta.m_newVersion < m_version) {
    return Error{ ErrorCode::Conflict,
                  "apply delta",
                  "",
                  "a delta from " + ToString(aDelta.m_baseVersion) + " to " +
                    ToString(aDelta.m_newVersion) +
                    " cannot be applied to version " + ToString(m_version) };
  }
  Tree next = aDelta.m_full ? Tree() : *this;
  next.Detach();
  next.m_version = aDelta.m_newVersion;
  next.m_horizon = aDelta.m_full ? aDelta.m_newVersion : aDelta.m_baseVersion;
  next.m_state->m_tombstones.clear();
  for (wire::BranchState& branch : aDelta.m_branches) {
    next.PutState(std::move(branch));
  }
  if (next.Digest() != aDelta.m_digest) {
    return Error{ ErrorCode::Corrupt,
                  "apply delta",
                  "",
                  "the digest of the tree at version " +
                    ToString(aDelta.m_newVersion) +
                    " differs from that in the delta" };
  }
  return next;
}

std::vector<std::string> Tree::ChangedSince(const Version& aBase) const
{
  std::set<std::string> paths;
  for (const auto& [path, branch] : m_state->m_branches) {
    if (branch->m_modified > aBase) {
      paths.insert(path);
    }
  }
  for (const auto& [path, removedAt] : m_state->m_tombstones) {
    if (removedAt > aBase) {
      paths.insert(path);
    }
  }
  return { paths.begin(), paths.end() };
}

Tree Tree::WithTombstoneHorizon(const Version& aHorizon) const
{
  Tree next = *this;
  if (aHorizon > m_horizon) {
    next.m_horizon = aHorizon;
    next.Detach();
    std::erase_if(next.m_state->m_tombstones,
                  [&aHorizon](const auto& aTombstone) {
                    return aTombstone.second <= aHorizon;
                  });
  }
  return next;
}

Tree Tree::WithTombstoneLimit(size_t aLimit) const
{
  if (m_state->m_tombstones.size() <= aLimit) {
    return *this;
  }
  std::vector<Version> removals;
  for (const auto& [path, removedAt] : m_state->m_tombstones) {
    removals.push_back(removedAt);
  }
  std::sort(removals.begin(), removals.end());
  const size_t kept = aLimit * 3 / 4;
  return WithTombstoneHorizon(removals[removals.size() - kept - 1]);
}

Tree Tree::WithGeneration(int64_t aGeneration) const
{
  Tree next = *this;
  next.m_version.m_generation = aGeneration;
  return next.WithTombstoneHorizon(next.m_version);
}

// ---- Snapshot --------------------------------------------------------------

std::vector<wire::BranchState> Tree::Export() const
{
  std::vector<wire::BranchState> states;
  for (const auto& [path, branch] : m_state->m_branches) {
    states.push_back(ToState(path, *branch));
  }
  for (const auto& [path, removedAt] : m_state->m_tombstones) {
    states.push_back(ToTombstone(path, removedAt));
  }
  return states;
}

Result<Tree> Tree::Restore(const Version& aVersion,
                           const Version& aHorizon,
                           const std::vector<wire::BranchState>& aBranches)
{
  Tree tree;
  tree.m_version = aVersion;
  tree.m_horizon = aHorizon;
  std::set<std::string> seen;
  for (const wire::BranchState& branch : aBranches) {
    const bool isNew = seen.insert(branch.path).second;
    if (!isNew || PathProblem(branch.path)) {
      return Error{ ErrorCode::Corrupt,
                    "restore tree",
                    "",
                    "repeated or malformed path '" + branch.path + "'" };
    }
    tree.PutState(wire::BranchState(branch));
  }
  return tree;
}

} // namespace wigeonfold::settings
