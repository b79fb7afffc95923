// Handles the GET requests of the operators' API.
#include "Json.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/settings/Schema.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <map>

namespace wigeonfold::registry {

namespace {

using settings::KeyInfo;
using settings::Scope;
using settings::Tree;

constexpr int64_t kDefaultHistory = 20;
// Encoded changes of which one answer tells. As JSON they take some ten times
// as much memory.
constexpr size_t kMaxHistoryAnswerBytes = size_t{ 2 } << 20;

// ---- Request target --------------------------------------------------------

struct RequestTarget
{
  std::string m_path;
  std::map<std::string, std::string> m_query;
};

// The digit's value, or -1.
int HexDigit(char aByte)
{
  const std::string digits = "0123456789abcdef";
  const size_t digit = digits.find(static_cast<char>(tolower(aByte)));
  return digit == std::string::npos ? -1 : static_cast<int>(digit);
}

// Decodes percent escapes (%2F); nothing when one is malformed.
std::optional<std::string> PercentDecode(const std::string& aText)
{
  std::string plain;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      plain.push_back(aText[i]);
      continue;
    }
    if (i + 2 >= aText.size()) {
      return std::nullopt;
    }
    const int high = HexDigit(aText[i + 1]);
    const int low = HexDigit(aText[i + 2]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    plain.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return plain;
}

std::optional<RequestTarget> ParseRequestTarget(const std::string& aTarget)
{
  RequestTarget target;
  const size_t mark = aTarget.find('?');
  target.m_path = aTarget.substr(0, mark);
  if (mark == std::string::npos) {
    return target;
  }
  std::vector<std::string> fields;
  const std::string query = aTarget.substr(mark + 1);
  boost::split(fields, query, [](char aByte) { return aByte == '&'; });
  for (const std::string& field : fields) {
    const size_t equals = field.find('=');
    const auto name = PercentDecode(field.substr(0, equals));
    const auto value = equals == std::string::npos
                         ? ""
                         : PercentDecode(field.substr(equals + 1));
    if (!name || !value) {
      return std::nullopt;
    }
    target.m_query[*name] = *value;
  }
  return target;
}

std::string QueryValue(const RequestTarget& aTarget, const std::string& aName)
{
  const auto value = aTarget.m_query.find(aName);
  return value == aTarget.m_query.end() ? "" : value->second;
}

// ---- Formats ---------------------------------------------------------------

ApiReply Success(const Json& aJson)
{
  return { 200, DumpJson(aJson), "" };
}

std::string Hex(uint64_t aNumber)
{
  std::array<char, 17> text{};
  snprintf(text.data(),
           text.size(),
           "%016llx",
           static_cast<unsigned long long>(aNumber));
  return text.data();
}

Json VersionToJson(const std::optional<Version>& aVersion)
{
  return aVersion ? Json(ToString(*aVersion)) : Json();
}

Json SettingsToJson(const std::map<std::string, std::string>& aSettings)
{
  Json json = Json::object();
  for (const auto& [key, value] : aSettings) {
    json[key] = value;
  }
  return json;
}

// Whether some process reads the key at the path or below it.
bool IsRelevant(const KeyInfo& aKey, const std::string& aPath)
{
  const std::string first = aPath.substr(0, aPath.find('/'));
  switch (aKey.m_scope) {
    case Scope::OneService:
      return first == settings::kServices && aPath != first;
    case Scope::OneTarget:
      return first == settings::kTargets && aPath != first;
    case Scope::OneRollout:
      return first == settings::kRollouts && aPath != first;
    case Scope::Services:
      return aPath.empty() || first == settings::kServices;
    case Scope::ClientAccounts:
      return aPath.empty() || first == settings::kClientAccounts;
    case Scope::OneClientAccount:
      return first == settings::kClientAccounts && aPath != first;
    case Scope::OneRoute:
      return first == settings::kRoutes && aPath != first;
    case Scope::Routes:
      return aPath.empty() || first == settings::kRoutes;
    case Scope::Root:
      return aPath.empty();
  }
  return false;
}

Json EffectiveToJson(const Tree& aTree, const std::string& aPath)
{
  Json values = Json::object();
  for (const KeyInfo& key : settings::Schema()) {
    if (IsRelevant(key, aPath)) {
      const auto value = aTree.Effective(aPath, key.m_name);
      values[key.m_name] = { { "value", value.m_value },
                             { "unit", key.m_unit },
                             { "source", value.m_source },
                             { "default", value.m_isDefault } };
    }
  }
  return values;
}

// ---- Reads -----------------------------------------------------------------

ApiReply ReadTree(const RegistryView& aRegistry)
{
  const Tree& tree = *aRegistry.m_tree;
  Json branches = Json::object();
  for (const auto& [path, branch] : tree.Branches()) {
    branches[path] = { { "settings", SettingsToJson(branch->m_settings) },
                       { "modified", ToString(branch->m_modified) } };
  }
  return Success({ { "version", ToString(tree.TreeVersion()) },
                   { "digest", Hex(tree.Digest()) },
                   { "branches", std::move(branches) } });
}

ApiReply ReadBranch(const RegistryView& aRegistry, const RequestTarget& aTarget)
{
  const Tree& tree = *aRegistry.m_tree;
  const std::string path = QueryValue(aTarget, "path");
  const bool effective = QueryValue(aTarget, "effective") == "1";
  if (auto problem = settings::PathProblem(path)) {
    return FormatProblem(400, *problem);
  }
  if (!effective && !tree.Has(path)) {
    return FormatProblem(404, "no branch '" + path + "'");
  }
  Json json{ { "version", ToString(tree.TreeVersion()) },
             { "path", path },
             { "exists", tree.Has(path) },
             { "settings", Json::object() },
             { "children", tree.Children(path) } };
  const auto branch = tree.Branches().find(path);
  if (branch != tree.Branches().end()) {
    json["settings"] = SettingsToJson(branch->second->m_settings);
    json["modified"] = ToString(branch->second->m_modified);
  }
  if (effective) {
    json["effective"] = EffectiveToJson(tree, path);
  }
  return Success(json);
}

bool IsUnchanged(const wire::Edit& aEdit)
{
  return aEdit.__isset.before == aEdit.__isset.after &&
         aEdit.before == aEdit.after;
}

// Edits of all versions after aSince, merged to one edit per key: the first
// value before and the last value after. Omits keys whose value is the same
// before and after.
std::vector<wire::Edit> MergedEdits(const RegistryView& aRegistry,
                                    const Version& aSince)
{
  std::map<std::pair<std::string, std::string>, wire::Edit> merged;
  for (const StoredHistoryEntry& entry : aRegistry.m_history) {
    if (entry.m_version <= aSince) {
      continue;
    }
    const wire::HistoryEntry decoded = entry.Decode();
    for (const wire::Edit& edit : decoded.edits) {
      const auto [position, added] =
        merged.try_emplace({ edit.path, edit.key }, edit);
      if (!added) {
        position->second.after = edit.after;
        position->second.__isset.after = edit.__isset.after;
      }
    }
  }
  std::vector<wire::Edit> edits;
  for (auto& [pathAndKey, edit] : merged) {
    if (!IsUnchanged(edit)) {
      edits.push_back(std::move(edit));
    }
  }
  return edits;
}

// Encoded size of the changes after aSince.
size_t HistoryBytesSince(const RegistryView& aRegistry, const Version& aSince)
{
  size_t bytes = 0;
  for (const StoredHistoryEntry& entry : aRegistry.m_history) {
    bytes += entry.m_version > aSince ? entry.m_encoded->size() : 0;
  }
  return bytes;
}

// True when the kept history holds every change after aSince.
bool HasHistorySince(const RegistryView& aRegistry, const Version& aSince)
{
  const Version newest = aRegistry.m_tree->TreeVersion();
  if (aSince.m_generation != newest.m_generation) {
    return false;
  }
  if (aSince == newest) {
    return true;
  }
  if (aRegistry.m_history.empty()) {
    return false;
  }
  const Version& oldest = aRegistry.m_history.front().m_version;
  return aSince < newest &&
         Version{ oldest.m_generation, oldest.m_number - 1 } <= aSince;
}

ApiReply ReadChanges(const RegistryView& aRegistry,
                     const RequestTarget& aTarget)
{
  const auto since = ParseVersion(QueryValue(aTarget, "since"));
  if (!since) {
    return FormatProblem(400, "since is not GENERATION.NUMBER");
  }
  const Tree& tree = *aRegistry.m_tree;
  const bool complete =
    HasHistorySince(aRegistry, *since) &&
    HistoryBytesSince(aRegistry, *since) <= kMaxHistoryAnswerBytes;
  Json paths = Json::array();
  for (const std::string& path : tree.ChangedSince(*since)) {
    paths.push_back(
      { { "path", path }, { "removed", tree.Branches().count(path) == 0 } });
  }
  Json edits = Json::array();
  if (complete) {
    for (const wire::Edit& edit : MergedEdits(aRegistry, *since)) {
      edits.push_back(EditToJson(edit));
    }
  }
  return Success({ { "since", ToString(*since) },
                   { "version", ToString(tree.TreeVersion()) },
                   { "complete", complete },
                   { "paths", std::move(paths) },
                   { "edits", std::move(edits) } });
}

Json HistoryToJson(const wire::HistoryEntry& aEntry)
{
  Json operations = Json::array();
  for (const wire::Operation& operation : aEntry.change.operations) {
    operations.push_back(OperationToJson(operation));
  }
  Json edits = Json::array();
  for (const wire::Edit& edit : aEntry.edits) {
    edits.push_back(EditToJson(edit));
  }
  const Version version{ aEntry.version.generation, aEntry.version.number };
  return { { "version", ToString(version) },
           { "changeId", aEntry.change.changeId },
           { "author", aEntry.change.author },
           { "comment", aEntry.change.comment },
           { "acceptedAtMs", aEntry.change.acceptedAtMs },
           { "operations", std::move(operations) },
           { "edits", std::move(edits) } };
}

ApiReply ReadHistory(const RegistryView& aRegistry,
                     const RequestTarget& aTarget)
{
  int64_t limit = kDefaultHistory;
  if (aTarget.m_query.count("limit") > 0) {
    const auto number = settings::ParseInteger(QueryValue(aTarget, "limit"));
    if (!number || *number < 1) {
      return FormatProblem(400, "limit is not a positive whole number");
    }
    limit = *number;
  }
  Json entries = Json::array();
  size_t bytes = 0;
  const auto& history = aRegistry.m_history;
  for (auto entry = history.rbegin();
       entry != history.rend() && static_cast<int64_t>(entries.size()) < limit;
       ++entry) {
    bytes += entry->m_encoded->size();
    if (!entries.empty() && bytes > kMaxHistoryAnswerBytes) {
      break;
    }
    entries.push_back(HistoryToJson(entry->Decode()));
  }
  return Success({ { "version", ToString(aRegistry.m_tree->TreeVersion()) },
                   { "entries", std::move(entries) } });
}

// ---- Status and members ----------------------------------------------------

Json AgeToJson(const std::optional<Duration>& aAge)
{
  return aAge ? Json(ToMilliseconds(*aAge)) : Json();
}

Json MembersToJson(const ClusterView& aCluster)
{
  Json members = Json::array();
  for (const MemberStatus& status : aCluster.m_members) {
    const wire::Member& member = status.m_member;
    members.push_back(
      { { "memberId", std::to_string(member.memberId) },
        { "name", member.name },
        { "availabilityZone", member.availabilityZone },
        { "peerAddress", member.peerAddress },
        { "apiAddress", member.apiAddress },
        { "voter", member.voter },
        { "leader", aCluster.m_leader == member.memberId },
        { "self", aCluster.m_self == member.memberId },
        { "caughtUp", status.m_caughtUp },
        { "freshnessAgeMs", AgeToJson(status.m_freshnessAge) } });
  }
  return members;
}

// Number of changes that the node lacks; null when it has no version in force
// or one of another generation.
Json LagToJson(const NodeReport& aNode, const Version& aNewest)
{
  const bool comparable =
    aNode.m_inForce && aNode.m_inForce->m_generation == aNewest.m_generation;
  return comparable ? Json(aNewest.m_number - aNode.m_inForce->m_number)
                    : Json();
}

Json NodeToJson(const NodeReport& aNode, const Version& aNewest)
{
  return { { "name", aNode.m_name },
           { "availabilityZone", aNode.m_availabilityZone },
           { "inForce", VersionToJson(aNode.m_inForce) },
           { "lag", LagToJson(aNode, aNewest) },
           { "refused", VersionToJson(aNode.m_refused) },
           { "refusal", aNode.m_refusal },
           { "reportAgeMs", ToMilliseconds(aNode.m_reportAge) } };
}

ApiReply ReadStatus(const RegistryView& aRegistry,
                    const ClusterView& aCluster,
                    const RequestTarget& aTarget)
{
  const std::string behindText = QueryValue(aTarget, "behind");
  const auto behind = ParseVersion(behindText);
  if (!behind && !behindText.empty()) {
    return FormatProblem(400, "behind is not GENERATION.NUMBER");
  }
  const Version newest = aRegistry.m_tree->TreeVersion();
  Json nodes = Json::array();
  for (const NodeReport& node : aCluster.m_nodes) {
    if (!behind || !node.m_inForce || *node.m_inForce < *behind) {
      nodes.push_back(NodeToJson(node, newest));
    }
  }
  return Success(
    { { "clusterId", aRegistry.m_clusterId },
      { "version", ToString(newest) },
      { "digest", Hex(aRegistry.m_tree->Digest()) },
      { "self", std::to_string(aCluster.m_self) },
      { "leader",
        aCluster.m_leader ? Json(std::to_string(*aCluster.m_leader)) : Json() },
      { "leaseHeld", aCluster.m_leaseHeld },
      { "term", aCluster.m_term },
      { "members", MembersToJson(aCluster) },
      { "nodeCount", aCluster.m_nodes.size() },
      { "nodes", std::move(nodes) } });
}

} // namespace

ApiReply HandleRead(const RegistryView& aRegistry,
                    const ClusterView& aCluster,
                    const std::string& aTarget)
{
  const auto target = ParseRequestTarget(aTarget);
  if (!target) {
    return FormatProblem(400, "malformed query");
  }
  const std::string& path = target->m_path;
  // The status is this control VM's own view and has to work without a quorum.
  if (path == "/v1/status") {
    return ReadStatus(aRegistry, aCluster, *target);
  }
  const std::set<std::string> known{
    "/v1/tree", "/v1/branch", "/v1/changes", "/v1/history", "/v1/members"
  };
  if (known.count(path) == 0) {
    return FormatProblem(404, "no such resource");
  }
  if (QueryValue(*target, "stale") != "1") {
    if (auto redirect = RedirectUnlessLeader(aCluster, aTarget)) {
      return *redirect;
    }
  }
  if (path == "/v1/tree") {
    return ReadTree(aRegistry);
  }
  if (path == "/v1/branch") {
    return ReadBranch(aRegistry, *target);
  }
  if (path == "/v1/changes") {
    return ReadChanges(aRegistry, *target);
  }
  if (path == "/v1/history") {
    return ReadHistory(aRegistry, *target);
  }
  return Success({ { "members", MembersToJson(aCluster) } });
}

} // namespace wigeonfold::registry
