#include "wigeonfold/registry/Registry.h"

#include "ReleaseDiff.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/outcome/try.hpp>
#include <map>

namespace wigeonfold::registry {

namespace {

using settings::Branch;
using settings::Tree;

// Hash by which a change that is sent again is recognized. Excludes the time of
// the proposal, which differs then. A compacted release carries the hash of the
// whole release.
int64_t ContentHash(const wire::Change& aChange)
{
  if (aChange.contentHash != 0) {
    return aChange.contentHash;
  }
  wire::Change content = aChange;
  content.acceptedAtMs = 0;
  return static_cast<int64_t>(Hash64(wire::Encode(content)));
}

// Shortens aItems to the limits of what a result lists.
void LimitListed(std::vector<std::string>& aItems)
{
  size_t bytes = 0;
  size_t listed = 0;
  for (; listed < std::min(aItems.size(), kMaxListedItems); ++listed) {
    bytes += aItems[listed].size();
    if (listed > 0 && bytes > kMaxListedBytes) {
      break;
    }
  }
  aItems.resize(listed);
}

wire::AcceptResult InvalidResult(const Version& aNewest,
                                 std::vector<std::string> aProblems)
{
  wire::AcceptResult result;
  result.outcome = wire::AcceptOutcome::Invalid;
  result.version = wire::ToWire(aNewest);
  const size_t count = aProblems.size();
  LimitListed(aProblems);
  if (count > aProblems.size()) {
    aProblems.push_back("and " + std::to_string(count - aProblems.size()) +
                        " more problems");
  }
  result.problems = std::move(aProblems);
  return result;
}

wire::AcceptResult ConflictResult(const Tree& aTree, const Version& aBase)
{
  wire::AcceptResult result;
  result.outcome = wire::AcceptOutcome::Conflict;
  result.version = wire::ToWire(aTree.TreeVersion());
  result.changedPaths = aTree.ChangedSince(aBase);
  result.changedCount = static_cast<int32_t>(result.changedPaths.size());
  LimitListed(result.changedPaths);
  return result;
}

// ---- Edits -----------------------------------------------------------------

std::shared_ptr<const Branch> FindBranch(const Tree& aTree,
                                         const std::string& aPath)
{
  const auto branch = aTree.Branches().find(aPath);
  return branch == aTree.Branches().end() ? nullptr : branch->second;
}

void AddEdits(const std::string& aPath,
              const Branch* aBefore,
              const Branch* aAfter,
              std::vector<wire::Edit>& aEdits)
{
  std::map<std::string, wire::Edit> edits;
  if (aBefore != nullptr) {
    for (const auto& [key, value] : aBefore->m_settings) {
      edits[key].__set_before(value);
    }
  }
  if (aAfter != nullptr) {
    for (const auto& [key, value] : aAfter->m_settings) {
      edits[key].__set_after(value);
    }
  }
  if (aBefore == nullptr) {
    edits[""].__set_after("");
  }
  if (aAfter == nullptr) {
    edits[""].__set_before("");
  }
  for (auto& [key, edit] : edits) {
    const bool same =
      edit.__isset.before && edit.__isset.after && edit.before == edit.after;
    if (!same) {
      edit.path = aPath;
      edit.key = key;
      aEdits.push_back(std::move(edit));
    }
  }
}

// Ordered by path and key.
std::vector<wire::Edit> EditsBetween(const Tree& aBefore, const Tree& aAfter)
{
  std::vector<wire::Edit> edits;
  for (const std::string& path : aAfter.ChangedSince(aBefore.TreeVersion())) {
    AddEdits(path,
             FindBranch(aBefore, path).get(),
             FindBranch(aAfter, path).get(),
             edits);
  }
  return edits;
}

StoredHistoryEntry ToStored(const wire::HistoryEntry& aEntry)
{
  return { wire::FromWire(aEntry.version),
           std::make_shared<const std::string>(wire::Encode(aEntry)) };
}

Error CorruptSnapshot(const std::string& aDetail)
{
  return Error{ ErrorCode::Corrupt, "restore registry", "", aDetail };
}

} // namespace

// Encoded by this process, or decoded once when it was restored.
wire::HistoryEntry StoredHistoryEntry::Decode() const
{
  return wire::Decode<wire::HistoryEntry>(*m_encoded, "history").value();
}

Registry::Registry(const RegistryLimits& aLimits)
  : m_limits(aLimits)
  , m_tree(std::make_shared<const Tree>())
  , m_leaving(aLimits.m_leaving)
{
}

// ---- Commands --------------------------------------------------------------

std::optional<wire::AcceptResult> Registry::Apply(
  const wire::RegistryCommand& aCommand)
{
  if (aCommand.__isset.bootstrap) {
    Apply(aCommand.bootstrap);
    return std::nullopt;
  }
  if (aCommand.__isset.change) {
    return Apply(aCommand.change);
  }
  if (aCommand.__isset.leaving) {
    Apply(aCommand.leaving);
  }
  return std::nullopt;
}

Result<std::optional<wire::AcceptResult>> Registry::Apply(
  std::string_view aCommand)
{
  auto command = wire::Decode<wire::RegistryCommand>(aCommand, "log");
  if (!command) {
    return command.error();
  }
  return Apply(command.value());
}

void Registry::Apply(const wire::Bootstrap& aBootstrap)
{
  const bool sameCluster =
    !IsBootstrapped() || aBootstrap.clusterId == m_clusterId;
  if (aBootstrap.clusterId.empty() || !sameCluster ||
      aBootstrap.generation <= TreeVersion().m_generation) {
    return;
  }
  m_clusterId = aBootstrap.clusterId;
  m_tree =
    std::make_shared<const Tree>(m_tree->WithGeneration(aBootstrap.generation));
}

void Registry::Apply(const std::vector<wire::NodeLeaving>& aLeaving)
{
  for (const wire::NodeLeaving& node : aLeaving) {
    for (const wire::TargetStart& start : node.starts) {
      m_leaving.Add(node.nodeName, wire::FromWire(start));
    }
  }
}

wire::AcceptResult Registry::Apply(const wire::Change& aChange)
{
  if (!IsBootstrapped()) {
    return InvalidResult(TreeVersion(),
                         { "the cluster has not been bootstrapped" });
  }
  if (aChange.changeId.empty() || aChange.changeId.size() > kMaxChangeIdBytes) {
    return InvalidResult(TreeVersion(),
                         { "the change id is not 1 to 64 bytes long" });
  }
  const int64_t hash = ContentHash(aChange);
  const auto known = m_results.find(aChange.changeId);
  if (known != m_results.end()) {
    return known->second.m_contentHash == hash
             ? known->second.m_result
             : InvalidResult(TreeVersion(),
                             { "change id " + aChange.changeId +
                               " was used before for another change" });
  }
  wire::AcceptResult result = DecideSafely(aChange);
  StoreResult(aChange.changeId, StoredResult{ result, hash });
  return result;
}

std::optional<wire::AcceptResult> Registry::CertainResult(
  const wire::Change& aChange) const
{
  const auto known = m_results.find(aChange.changeId);
  if (known != m_results.end() &&
      known->second.m_contentHash == ContentHash(aChange)) {
    return known->second.m_result;
  }
  const bool isRelease = aChange.label != 0;
  if (known == m_results.end() && isRelease && IsBootstrapped() &&
      !FollowsNewest(aChange)) {
    return ConflictResult(*m_tree, TreeVersion());
  }
  return std::nullopt;
}

// Whether the release builds on the newest one and has a greater label.
bool Registry::FollowsNewest(const wire::Change& aRelease) const
{
  return aRelease.baseLabel == m_label && aRelease.label > m_label;
}

wire::Change Registry::Compacted(const wire::Change& aChange) const
{
  if (aChange.label == 0 || !FollowsNewest(aChange) || !IsBootstrapped()) {
    return aChange;
  }
  auto operations = DiffRelease(*m_tree, aChange.operations);
  if (!operations || operations->empty()) {
    return aChange;
  }
  wire::Change compact;
  compact.changeId = aChange.changeId;
  compact.base = wire::ToWire(TreeVersion());
  compact.operations = std::move(*operations);
  compact.author = aChange.author;
  compact.comment = aChange.comment;
  compact.acceptedAtMs = aChange.acceptedAtMs;
  compact.label = aChange.label;
  compact.baseLabel = aChange.baseLabel;
  compact.contentHash = ContentHash(aChange);
  return compact;
}

// Replicated, so each replica decides the same. A fault of this program must
// refuse the change and not end every replica in turn. The state changes only
// after all that may fail; without memory a replica can't decide.
wire::AcceptResult Registry::DecideSafely(const wire::Change& aChange)
{
  try {
    return Decide(aChange);
  } catch (const std::bad_alloc&) {
    throw;
  } catch (const std::exception& error) {
    return InvalidResult(
      TreeVersion(),
      { std::string("the change can't be applied: ") + error.what() });
  }
}

wire::AcceptResult Registry::Decide(const wire::Change& aChange)
{
  // Operators number releases themselves. A label that isn't greater than the
  // newest one, or another base label, is a conflict like an old base version.
  const bool isRelease = aChange.label != 0;
  const bool isWholeRelease = isRelease && aChange.contentHash == 0;
  const Version base =
    isWholeRelease ? TreeVersion() : wire::FromWire(aChange.base);
  const bool labelIsValid = !isRelease || FollowsNewest(aChange);
  if (!labelIsValid || base != TreeVersion()) {
    return ConflictResult(*m_tree, base);
  }
  const Version nextVersion{ base.m_generation, base.m_number + 1 };
  const auto next = m_tree->Apply(aChange.operations, nextVersion);
  if (!next) {
    std::vector<std::string> problems;
    boost::split(problems, next.error().m_detail, [](char aByte) {
      return aByte == '\n';
    });
    return InvalidResult(TreeVersion(), std::move(problems));
  }
  Accept(aChange, next.value());
  wire::AcceptResult result;
  result.outcome = wire::AcceptOutcome::Accepted;
  result.version = wire::ToWire(nextVersion);
  return result;
}

void Registry::Accept(const wire::Change& aChange, const Tree& aNext)
{
  wire::HistoryEntry entry;
  entry.version = wire::ToWire(aNext.TreeVersion());
  entry.change = aChange;
  entry.edits = EditsBetween(*m_tree, aNext);
  StoredHistoryEntry stored = ToStored(entry);
  auto tree = std::make_shared<const Tree>(
    aNext.WithTombstoneLimit(m_limits.m_tombstones));
  AppendHistory(std::move(stored));
  m_tree = std::move(tree);
  if (aChange.label != 0) {
    m_label = aChange.label;
    m_baseLabel = aChange.baseLabel;
  }
}

void Registry::StoreResult(const std::string& aChangeId, StoredResult aResult)
{
  aResult.m_bytes = aChangeId.size() + wire::Encode(aResult.m_result).size();
  m_resultBytes += aResult.m_bytes;
  m_results.emplace(aChangeId, std::move(aResult));
  m_resultOrder.push_back(aChangeId);
  while (m_resultOrder.size() > m_limits.m_results ||
         (m_resultOrder.size() > 1 && m_resultBytes > m_limits.m_resultBytes)) {
    const auto oldest = m_results.find(m_resultOrder.front());
    m_resultBytes -= oldest->second.m_bytes;
    m_results.erase(oldest);
    m_resultOrder.pop_front();
  }
}

void Registry::AppendHistory(StoredHistoryEntry aEntry)
{
  m_historyBytes += aEntry.m_encoded->size();
  m_history.push_back(std::move(aEntry));
  while (m_history.size() > 1 && (m_history.size() > m_limits.m_history ||
                                  m_historyBytes > m_limits.m_historyBytes)) {
    m_historyBytes -= m_history.front().m_encoded->size();
    m_history.pop_front();
  }
}

// ---- Reading ---------------------------------------------------------------

const wire::AcceptResult* Registry::FindResult(
  const std::string& aChangeId) const
{
  const auto known = m_results.find(aChangeId);
  return known == m_results.end() ? nullptr : &known->second.m_result;
}

RegistryView Registry::View() const
{
  RegistryView view{ m_clusterId, m_label, m_baseLabel, m_tree, {} };
  view.m_history.assign(m_history.begin(), m_history.end());
  return view;
}

// ---- Snapshot --------------------------------------------------------------

std::string Registry::Snapshot() const
{
  wire::RegistrySnapshot snapshot;
  snapshot.clusterId = m_clusterId;
  snapshot.label = m_label;
  snapshot.baseLabel = m_baseLabel;
  snapshot.version = wire::ToWire(TreeVersion());
  snapshot.branches = m_tree->Export();
  snapshot.tombstoneHorizon = wire::ToWire(m_tree->TombstoneHorizon());
  snapshot.digest = static_cast<int64_t>(m_tree->Digest());
  snapshot.results.reserve(m_resultOrder.size());
  for (const std::string& changeId : m_resultOrder) {
    const StoredResult& known = m_results.at(changeId);
    wire::RememberedResult result;
    result.changeId = changeId;
    result.result = known.m_result;
    result.contentHash = known.m_contentHash;
    snapshot.results.push_back(std::move(result));
  }
  snapshot.encodedHistory.reserve(m_history.size());
  for (const StoredHistoryEntry& entry : m_history) {
    snapshot.encodedHistory.push_back(*entry.m_encoded);
  }
  snapshot.leaving = m_leaving.Export();
  return wire::Encode(snapshot);
}

Status Registry::RestoreHistory(wire::RegistrySnapshot& aSnapshot)
{
  for (const wire::HistoryEntry& entry : aSnapshot.history) {
    AppendHistory(ToStored(entry));
  }
  for (std::string& encoded : aSnapshot.encodedHistory) {
    const auto entry = wire::Decode<wire::HistoryEntry>(encoded, "snapshot");
    if (!entry) {
      return CorruptSnapshot("an entry of the history can't be decoded");
    }
    AppendHistory({ wire::FromWire(entry.value().version),
                    std::make_shared<const std::string>(std::move(encoded)) });
  }
  return Ok();
}

Result<Registry> Registry::Restore(std::string_view aSnapshot,
                                   const RegistryLimits& aLimits)
{
  auto decoded = wire::Decode<wire::RegistrySnapshot>(aSnapshot, "snapshot");
  if (!decoded) {
    return decoded.error();
  }
  wire::RegistrySnapshot& snapshot = decoded.value();
  auto tree = Tree::Restore(wire::FromWire(snapshot.version),
                            wire::FromWire(snapshot.tombstoneHorizon),
                            snapshot.branches);
  if (!tree) {
    return tree.error();
  }
  if (static_cast<int64_t>(tree.value().Digest()) != snapshot.digest) {
    return CorruptSnapshot("the digest of the tree does not match");
  }
  Registry registry(aLimits);
  registry.m_clusterId = snapshot.clusterId;
  registry.m_label = snapshot.label;
  registry.m_baseLabel = snapshot.baseLabel;
  registry.m_tree = std::make_shared<const Tree>(std::move(tree.value()));
  for (wire::RememberedResult& result : snapshot.results) {
    if (registry.m_results.count(result.changeId) > 0) {
      return CorruptSnapshot("change id " + result.changeId + " appears twice");
    }
    registry.StoreResult(
      result.changeId,
      StoredResult{ std::move(result.result), result.contentHash });
  }
  BOOST_OUTCOME_TRYV(registry.RestoreHistory(snapshot));
  registry.Apply(snapshot.leaving);
  return registry;
}

} // namespace wigeonfold::registry
