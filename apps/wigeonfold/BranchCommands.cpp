// The commands branch, diff and discard.
#include "Commands.h"
#include "Draft.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/settings/Schema.h"
#include "wigeonfold/wire/Codec.h"

#include <map>
#include <ostream>

namespace wigeonfold::client {

namespace {

Result<Json> ReadBranch(Session& aSession,
                        const std::string& aPath,
                        bool aEffective)
{
  return GetJson(aSession,
                 "/v1/branch?path=" + EscapeQuery(aPath) +
                   (aEffective ? "&effective=1" : ""));
}

std::string Origin(const Json& aValue)
{
  return aValue.value("default", false) ? "default"
                                        : FormatPath(TextOf(aValue, "source"));
}

// ---- Editing ---------------------------------------------------------------

wire::Operation ToOperation(const Arguments& aArguments)
{
  wire::Operation operation;
  operation.path = aArguments.m_path;
  operation.key = aArguments.m_key;
  operation.value = aArguments.m_value;
  operation.kind = aArguments.m_command == Command::BranchSet
                     ? wire::OperationKind::Set
                   : aArguments.m_command == Command::BranchUnset
                     ? wire::OperationKind::Unset
                     : wire::OperationKind::RemoveBranch;
  return operation;
}

// Problems that can be found without asking a control VM.
std::optional<std::string> FindLocalProblem(const wire::Operation& aOperation)
{
  if (auto problem = settings::PathProblem(aOperation.path)) {
    return problem;
  }
  if (aOperation.kind == wire::OperationKind::Set) {
    return settings::SettingProblem(
      aOperation.path, aOperation.key, aOperation.value);
  }
  const bool unset = aOperation.kind == wire::OperationKind::Unset;
  if (unset && settings::FindKey(aOperation.key) == nullptr) {
    return "unknown key '" + aOperation.key + "'";
  }
  return std::nullopt;
}

// A draft without operations, based on the newest version.
Result<Draft> NewDraft(Session& aSession)
{
  const auto root = ReadBranch(aSession, "", false);
  if (!root) {
    return root.error();
  }
  const auto version = registry::ParseVersion(TextOf(root.value(), "version"));
  if (!version) {
    return Error{
      ErrorCode::Protocol, "read version", "", "the answer has no valid version"
    };
  }
  Draft draft;
  draft.m_change.changeId = aSession.m_environment.m_makeChangeId();
  draft.m_change.base = wire::ToWire(*version);
  return draft;
}

ExitStatus AppendOperation(Session& aSession, Draft aDraft)
{
  aDraft.m_change.operations.push_back(ToOperation(aSession.m_arguments));
  const auto checked =
    registry::ParseChange(registry::FormatChange(aDraft.m_change));
  if (!checked) {
    return ReportFailure(aSession, checked.error().m_detail);
  }
  if (auto saved = SaveDraft(aSession.m_arguments.m_draft, aDraft); !saved) {
    return ReportError(aSession.m_err, saved.error());
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << FormatDraft(aDraft) << '\n';
  } else {
    aSession.m_out << "draft " << aSession.m_arguments.m_draft << ": "
                   << aDraft.m_change.operations.size()
                   << " operations on version "
                   << ToString(wire::FromWire(aDraft.m_change.base)) << '\n';
  }
  return ExitStatus::Success;
}

// ---- Diff ------------------------------------------------------------------

void PrintEdits(Session& aSession, const Json& aChanges)
{
  for (const Json& edit : aChanges.value("edits", Json::array())) {
    const std::string path = FormatPath(TextOf(edit, "path"));
    if (edit.contains("branch")) {
      const std::string branch = TextOf(edit, "branch");
      aSession.m_out << (branch == "created" ? "+ " : "- ") << path
                     << " (branch " << branch << ")\n";
      continue;
    }
    const bool before = edit.contains("before") && edit["before"].is_string();
    const bool after = edit.contains("after") && edit["after"].is_string();
    aSession.m_out << (!before ? "+ "
                       : after ? "~ "
                               : "- ")
                   << path << ' ' << TextOf(edit, "key") << ": "
                   << (before ? TextOf(edit, "before") : "(not set)") << " -> "
                   << (after ? TextOf(edit, "after") : "(not set)") << '\n';
  }
}

ExitStatus DiffSince(Session& aSession)
{
  const std::string& since = aSession.m_arguments.m_since;
  const auto changes =
    GetJson(aSession, "/v1/changes?since=" + EscapeQuery(since));
  if (!changes) {
    return ReportError(aSession.m_err, changes.error());
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(changes.value(), 2) << '\n';
    return ExitStatus::Success;
  }
  aSession.m_out << since << " -> " << TextOf(changes.value(), "version")
                 << '\n';
  if (!changes.value().value("complete", false)) {
    return ReportFailure(aSession,
                         "the kept history does not reach back to " + since);
  }
  PrintEdits(aSession, changes.value());
  return ExitStatus::Success;
}

// Value that the newest version sets at the operation's path, null if none.
// Keeps the branches already read in aBranches.
Json CurrentValue(Session& aSession,
                  const wire::Operation& aOperation,
                  std::map<std::string, Json>& aBranches)
{
  auto [entry, added] = aBranches.try_emplace(aOperation.path);
  if (added) {
    // With effective=1 the API answers for an absent branch too.
    const auto branch = ReadBranch(aSession, aOperation.path, true);
    entry->second = branch ? branch.value() : Json::object();
  }
  const Json settings = entry->second.value("settings", Json::object());
  const auto value = settings.find(aOperation.key);
  return value == settings.end() ? Json() : *value;
}

Json DraftEdits(Session& aSession, const Draft& aDraft)
{
  std::map<std::string, Json> branches;
  Json edits = Json::array();
  for (const wire::Operation& operation : aDraft.m_change.operations) {
    if (operation.kind == wire::OperationKind::RemoveBranch) {
      edits.push_back({ { "path", operation.path }, { "branch", "removed" } });
      continue;
    }
    const bool set = operation.kind == wire::OperationKind::Set;
    edits.push_back({ { "path", operation.path },
                      { "key", operation.key },
                      { "before", CurrentValue(aSession, operation, branches) },
                      { "after", set ? Json(operation.value) : Json() } });
  }
  return edits;
}

} // namespace

// ---- Commands --------------------------------------------------------------

ExitStatus RunBranchGet(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  if (settings::FindKey(arguments.m_key) == nullptr) {
    return ReportFailure(aSession, "unknown key '" + arguments.m_key + "'");
  }
  const auto branch = ReadBranch(aSession, arguments.m_path, true);
  if (!branch) {
    return ReportError(aSession.m_err, branch.error());
  }
  const Json values = branch.value().value("effective", Json::object());
  const auto value = values.find(arguments.m_key);
  if (value == values.end()) {
    return ReportFailure(aSession,
                         arguments.m_key + " does not apply at " +
                           FormatPath(arguments.m_path));
  }
  aSession.m_out << (arguments.m_json ? DumpJson(*value, 2)
                                      : TextOf(*value, "value"))
                 << '\n';
  return ExitStatus::Success;
}

ExitStatus RunBranchShow(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  const auto branch =
    ReadBranch(aSession, arguments.m_path, arguments.m_effective);
  if (!branch) {
    return ReportError(aSession.m_err, branch.error());
  }
  const Json& json = branch.value();
  if (arguments.m_json) {
    aSession.m_out << DumpJson(json, 2) << '\n';
    return ExitStatus::Success;
  }
  aSession.m_out << FormatPath(arguments.m_path) << " at version "
                 << TextOf(json, "version") << '\n';
  if (arguments.m_effective) {
    const Json values = json.value("effective", Json::object());
    for (const auto& item : values.items()) {
      const std::string unit = TextOf(item.value(), "unit");
      aSession.m_out << "  " << item.key() << " = "
                     << TextOf(item.value(), "value")
                     << (unit.empty() ? "" : " " + unit) << "  ("
                     << Origin(item.value()) << ")\n";
    }
  } else {
    const Json settings = json.value("settings", Json::object());
    for (const auto& item : settings.items()) {
      aSession.m_out << "  " << item.key() << " = "
                     << TextOf(settings, item.key()) << '\n';
    }
  }
  for (const Json& child : json.value("children", Json::array())) {
    aSession.m_out << "  " << child.get<std::string>() << "/\n";
  }
  return ExitStatus::Success;
}

ExitStatus RunBranchEdit(Session& aSession)
{
  if (auto problem = FindLocalProblem(ToOperation(aSession.m_arguments))) {
    return ReportFailure(aSession, *problem);
  }
  const auto existing = LoadDraft(aSession.m_arguments.m_draft);
  if (!existing) {
    return ReportError(aSession.m_err, existing.error());
  }
  if (existing.value() && existing.value()->m_sent) {
    return ReportFailure(aSession,
                         "the draft was sent and its outcome is not known; run "
                         "wigeonfold accept again, or discard it");
  }
  if (existing.value()) {
    return AppendOperation(aSession, *existing.value());
  }
  const auto newDraft = NewDraft(aSession);
  return newDraft ? AppendOperation(aSession, newDraft.value())
                  : ReportError(aSession.m_err, newDraft.error());
}

ExitStatus RunDiff(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  if (!arguments.m_since.empty()) {
    return DiffSince(aSession);
  }
  const auto draft = LoadDraft(arguments.m_draft);
  if (!draft) {
    return ReportError(aSession.m_err, draft.error());
  }
  if (!draft.value()) {
    aSession.m_out << (arguments.m_json ? "{}" : "no draft") << '\n';
    return ExitStatus::Success;
  }
  const std::string base =
    ToString(wire::FromWire(draft.value()->m_change.base));
  const auto changes = GetJson(aSession, "/v1/changes?since=" + base);
  if (!changes) {
    return ReportError(aSession.m_err, changes.error());
  }
  Json result{ { "base", base },
               { "version", TextOf(changes.value(), "version") },
               { "edits", DraftEdits(aSession, *draft.value()) },
               { "changedSinceBase",
                 changes.value().value("paths", Json::array()) } };
  if (arguments.m_json) {
    aSession.m_out << DumpJson(result, 2) << '\n';
    return ExitStatus::Success;
  }
  aSession.m_out << "draft on version " << base << ", newest "
                 << TextOf(result, "version") << '\n';
  PrintEdits(aSession, result);
  for (const Json& changed : result["changedSinceBase"]) {
    aSession.m_out << "! " << FormatPath(TextOf(changed, "path"))
                   << " was changed since\n";
  }
  return ExitStatus::Success;
}

ExitStatus RunDiscard(const Arguments& aArguments,
                      std::ostream& aOut,
                      std::ostream& aErr)
{
  const auto draft = LoadDraft(aArguments.m_draft);
  // A damaged draft can be discarded too.
  if (!draft && draft.error().m_code != ErrorCode::Corrupt) {
    return ReportError(aErr, draft.error());
  }
  const bool sent = draft && draft.value() && draft.value()->m_sent;
  if (sent && !aArguments.m_force) {
    aErr << "wigeonfold: the draft was sent and may have been accepted; run "
            "wigeonfold accept again, or discard --force\n";
    return ExitStatus::Failed;
  }
  if (auto deleted = DeleteDraft(aArguments.m_draft); !deleted) {
    return ReportError(aErr, deleted.error());
  }
  aOut << (aArguments.m_json ? R"({"discarded":true})" : "discarded") << '\n';
  return ExitStatus::Success;
}

} // namespace wigeonfold::client
