// The commands accept and drain, which send changes.
#include "Commands.h"
#include "Draft.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/wire/Codec.h"

#include <boost/algorithm/string.hpp>
#include <ostream>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

// Conflicts with other operators' changes in a row before a command gives up.
// At 0.5 changes/s more than a few indicate another fault.
constexpr int kMaxRebases = 10;
constexpr Duration kWaitPollInterval = 200ms;
constexpr size_t kMaxShownNodes = 10;

constexpr const char* kOutcomeUnknown =
  "the outcome is not known; run the same command again: the change id makes "
  "sure that the change is applied once";

Result<Answer> PostChange(Session& aSession, const wire::Change& aChange)
{
  return aSession.m_client.Send(
    "POST", "/v1/accept", registry::FormatChange(aChange));
}

// aMaybeSent: a control VM may have received the change in this or an earlier
// run.
ExitStatus ReportSendError(Session& aSession,
                           const Error& aError,
                           bool aMaybeSent)
{
  const ExitStatus status = ReportError(aSession.m_err, aError);
  if (aMaybeSent) {
    aSession.m_err << "wigeonfold: " << kOutcomeUnknown << '\n';
  }
  return status;
}

void PrintResult(Session& aSession, const Json& aResult)
{
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(aResult, 2) << '\n';
  }
}

// Prints the result and, with --wait, waits until its version is in force.
ExitStatus ReportSuccess(Session& aSession,
                         Json aResult,
                         const std::string& aText)
{
  if (!aSession.m_arguments.m_json) {
    aSession.m_out << aText << '\n';
  }
  ExitStatus status = ExitStatus::Success;
  if (aSession.m_arguments.m_wait) {
    status = WaitUntilInForce(aSession, TextOf(aResult, "version"), aResult);
  }
  PrintResult(aSession, aResult);
  return status;
}

// ---- Accept ----------------------------------------------------------------

std::vector<ChangedPath> ToChangedPaths(const Json& aChanges)
{
  std::vector<ChangedPath> paths;
  for (const Json& changed : aChanges.value("paths", Json::array())) {
    paths.push_back(
      { TextOf(changed, "path"), changed.value("removed", false) });
  }
  return paths;
}

// Sets the draft's base to the newest version. Returns the reason when the
// draft conflicts with later changes, otherwise an empty string.
Result<std::string> Rebase(Session& aSession, Draft& aDraft)
{
  const std::string base = ToString(wire::FromWire(aDraft.m_change.base));
  const auto changes = GetJson(aSession, "/v1/changes?since=" + base);
  if (!changes) {
    return changes.error();
  }
  const auto version =
    registry::ParseVersion(TextOf(changes.value(), "version"));
  if (!version || !changes.value().value("complete", false)) {
    return "cannot rebase: the kept history does not reach back to " + base;
  }
  const auto overlap = FindOverlappingPaths(aDraft.m_change.operations,
                                            ToChangedPaths(changes.value()));
  if (!overlap.empty()) {
    std::string text = "cannot rebase: the same branches were changed since:";
    for (const std::string& path : overlap) {
      text += " " + FormatPath(path);
    }
    return text;
  }
  aDraft.m_change.base = wire::ToWire(*version);
  return std::string();
}

std::string DescribeConflict(const Answer& aAnswer)
{
  std::string text = "conflict: version " + TextOf(aAnswer.m_json, "version") +
                     " is newer than the draft's base; changed since:";
  const Json changed = aAnswer.m_json.value("changed", Json::array());
  for (const Json& path : changed) {
    text += " " + FormatPath(path.is_string() ? path.get<std::string>() : "");
  }
  const auto count = aAnswer.m_json.value("changedCount", changed.size());
  if (count > changed.size()) {
    text += " and " + std::to_string(count - changed.size()) + " more";
  }
  return text;
}

// Gives a rejected draft a new change id: the registry keeps the old id with
// the rejection. The operations stay.
Status AssignNewChangeId(Session& aSession, Draft& aDraft)
{
  aDraft.m_change.changeId = aSession.m_environment.m_makeChangeId();
  aDraft.m_sent = false;
  return SaveDraft(aSession.m_arguments.m_draft, aDraft);
}

// Sends the draft once. The file is marked as sent beforehand, so that a crash
// in between does not leave a sent draft editable; the mark is removed when no
// control VM received the draft in this or an earlier run.
Result<Answer> SendDraft(Session& aSession, Draft& aDraft)
{
  const bool sentBefore = aDraft.m_sent;
  const std::string& file = aSession.m_arguments.m_draft;
  aDraft.m_sent = true;
  if (auto saved = SaveDraft(file, aDraft); !saved) {
    return saved.error();
  }
  auto answer = PostChange(aSession, aDraft.m_change);
  const bool notReceived =
    !answer && answer.error().m_code == ErrorCode::Unavailable;
  if (notReceived && !sentBefore) {
    aDraft.m_sent = false;
    if (auto saved = SaveDraft(file, aDraft); !saved) {
      return saved.error();
    }
  }
  return answer;
}

ExitStatus OnAccepted(Session& aSession, const Answer& aAnswer)
{
  if (auto deleted = DeleteDraft(aSession.m_arguments.m_draft); !deleted) {
    return ReportError(aSession.m_err, deleted.error());
  }
  return ReportSuccess(aSession,
                       aAnswer.m_json,
                       "accepted as version " +
                         TextOf(aAnswer.m_json, "version"));
}

ExitStatus OnRefused(Session& aSession,
                     const Answer& aAnswer,
                     const std::string& aText)
{
  PrintResult(aSession, aAnswer.m_json);
  return ReportFailure(aSession, aText);
}

ExitStatus SendUntilDecided(Session& aSession, Draft& aDraft)
{
  for (int rebases = 0;; ++rebases) {
    const auto answer = SendDraft(aSession, aDraft);
    if (!answer) {
      return ReportSendError(aSession, answer.error(), aDraft.m_sent);
    }
    const int status = answer.value().m_status;
    if (status == 200) {
      return OnAccepted(aSession, answer.value());
    }
    if (status != 409 && status != 422) {
      return OnRefused(aSession, answer.value(), ErrorText(answer.value()));
    }
    if (auto renewed = AssignNewChangeId(aSession, aDraft); !renewed) {
      return ReportError(aSession.m_err, renewed.error());
    }
    if (status == 422) {
      return OnRefused(aSession,
                       answer.value(),
                       "the change is invalid:\n" + ErrorText(answer.value()));
    }
    const std::string conflict = DescribeConflict(answer.value());
    if (!aSession.m_arguments.m_rebase || rebases == kMaxRebases) {
      return OnRefused(aSession,
                       answer.value(),
                       conflict + "; see wigeonfold diff and accept --rebase");
    }
    const auto refusal = Rebase(aSession, aDraft);
    if (!refusal) {
      return ReportError(aSession.m_err, refusal.error());
    }
    if (!refusal.value().empty()) {
      return OnRefused(aSession, answer.value(), refusal.value());
    }
  }
}

// Takes --author and --comment into a draft that was not sent yet. Both are
// part of the content that the change id identifies, so a sent draft keeps its
// own.
void SetAuthorAndComment(Session& aSession, Draft& aDraft)
{
  const Arguments& arguments = aSession.m_arguments;
  const bool isGiven =
    !arguments.m_author.empty() || !arguments.m_comment.empty();
  if (aDraft.m_sent) {
    if (isGiven) {
      aSession.m_err << "wigeonfold: the draft was already sent; its author "
                        "and comment stay unchanged\n";
    }
    return;
  }
  if (!arguments.m_author.empty()) {
    aDraft.m_change.author = arguments.m_author;
  }
  if (!arguments.m_comment.empty()) {
    aDraft.m_change.comment = arguments.m_comment;
  }
}

// ---- Wait ------------------------------------------------------------------

struct Progress
{
  size_t m_nodes = 0;
  Json m_behind = Json::array();      // nodes without the version
  Json m_unreachable = Json::array(); // names of control VMs
  size_t m_refusing = 0;              // of m_behind
};

bool HasRefused(const Json& aNode, const Version& aVersion)
{
  const auto refused = registry::ParseVersion(TextOf(aNode, "refused"));
  return refused && *refused >= aVersion;
}

Result<Progress> QueryProgress(Session& aSession, const Version& aVersion)
{
  const auto controls =
    QueryControlVms(aSession, "/v1/status?behind=" + ToString(aVersion));
  if (!controls) {
    return controls.error();
  }
  Progress progress;
  for (const ControlAnswer& control : controls.value()) {
    if (!control.m_json) {
      progress.m_unreachable.push_back(control.m_name);
      continue;
    }
    progress.m_nodes += control.m_json->value("nodeCount", size_t{ 0 });
    for (const Json& node : control.m_json->value("nodes", Json::array())) {
      progress.m_refusing += HasRefused(node, aVersion) ? 1 : 0;
      progress.m_behind.push_back(node);
    }
  }
  return progress;
}

std::string DescribeProgress(const Progress& aProgress)
{
  const size_t behind = aProgress.m_behind.size();
  std::string text = "in force on " +
                     std::to_string(aProgress.m_nodes - behind) + " of " +
                     std::to_string(aProgress.m_nodes) + " nodes";
  if (!aProgress.m_unreachable.empty()) {
    text += "; control VMs not reached:";
    for (const Json& name : aProgress.m_unreachable) {
      text += " " + name.get<std::string>();
    }
  }
  return text;
}

void PrintNodesBehind(Session& aSession, const Progress& aProgress)
{
  size_t shown = 0;
  for (const Json& node : aProgress.m_behind) {
    if (shown++ == kMaxShownNodes) {
      aSession.m_err << "  and " << aProgress.m_behind.size() - kMaxShownNodes
                     << " more\n";
      return;
    }
    const std::string inForce = TextOf(node, "inForce");
    const std::string refusal = TextOf(node, "refusal");
    aSession.m_err << "  " << TextOf(node, "name") << " has "
                   << (inForce.empty() ? "no version" : inForce)
                   << (refusal.empty() ? "" : ", refused: " + refusal) << '\n';
  }
}

} // namespace

ExitStatus WaitUntilInForce(Session& aSession,
                            const std::string& aVersion,
                            Json& aResult)
{
  const Version version = registry::ParseVersion(aVersion).value_or(Version{});
  const TimePoint deadline =
    aSession.m_environment.m_now() + aSession.m_settings.m_waitTimeout;
  std::string shown;
  while (true) {
    const auto queried = QueryProgress(aSession, version);
    if (!queried) {
      return ReportError(aSession.m_err, queried.error());
    }
    const Progress& progress = queried.value();
    const std::string text = DescribeProgress(progress);
    if (text != shown) {
      shown = text;
      aSession.m_err << shown << '\n';
    }
    const size_t behind = progress.m_behind.size();
    const bool complete = progress.m_unreachable.empty();
    const bool done = complete && behind == 0;
    const bool refused =
      complete && behind > 0 && behind == progress.m_refusing;
    if (done || refused || aSession.m_environment.m_now() >= deadline) {
      aResult["wait"] = { { "inForce", done },
                          { "nodes", progress.m_nodes },
                          { "behind", progress.m_behind },
                          { "unreachable", progress.m_unreachable } };
      if (done) {
        return ExitStatus::Success;
      }
      PrintNodesBehind(aSession, progress);
      return ReportFailure(
        aSession,
        "version " + aVersion +
          " is accepted but not known to be in force everywhere");
    }
    aSession.m_environment.m_sleep(kWaitPollInterval);
  }
}

ExitStatus RunAccept(Session& aSession)
{
  const auto loaded = LoadDraft(aSession.m_arguments.m_draft);
  if (!loaded) {
    return ReportError(aSession.m_err, loaded.error());
  }
  if (!loaded.value()) {
    return ReportFailure(aSession,
                         "no draft file " + aSession.m_arguments.m_draft);
  }
  Draft draft = *loaded.value();
  SetAuthorAndComment(aSession, draft);
  const auto checked =
    registry::ParseChange(registry::FormatChange(draft.m_change));
  if (!checked) {
    return ReportFailure(aSession, checked.error().m_detail);
  }
  return SendUntilDecided(aSession, draft);
}

// ---- Drain -----------------------------------------------------------------

namespace {

// The change that drains the target or undoes the drain. Without operations
// when the newest version already has that state.
Result<wire::Change> MakeDrainChange(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  wire::Operation operation;
  operation.path = "targets/" + arguments.m_node;
  const auto branch =
    GetJson(aSession,
            "/v1/branch?path=" + EscapeQuery(operation.path) + "&effective=1");
  if (!branch) {
    return branch.error();
  }
  const auto base = registry::ParseVersion(TextOf(branch.value(), "version"));
  const Json settings = branch.value().value("settings", Json::object());
  const bool draining = TextOf(settings, "target.drain") == "true";
  wire::Change change;
  change.changeId = aSession.m_environment.m_makeChangeId();
  change.base = wire::ToWire(base.value_or(Version{}));
  change.comment =
    (arguments.m_undo ? "undo drain of " : "drain ") + arguments.m_node;
  if (arguments.m_undo && branch.value().value("exists", false)) {
    // target.drain is the only key that such a branch can have; removing the
    // branch leaves no empty one.
    operation.kind = wire::OperationKind::RemoveBranch;
    change.operations.push_back(operation);
  } else if (!arguments.m_undo && !draining) {
    operation.kind = wire::OperationKind::Set;
    operation.key = "target.drain";
    operation.value = "true";
    change.operations.push_back(operation);
  }
  return change;
}

} // namespace

ExitStatus RunDrain(Session& aSession)
{
  const std::string& node = aSession.m_arguments.m_node;
  const std::string state =
    aSession.m_arguments.m_undo ? "back in service" : "draining";
  for (int attempt = 0; attempt <= kMaxRebases; ++attempt) {
    const auto change = MakeDrainChange(aSession);
    if (!change) {
      return ReportError(aSession.m_err, change.error());
    }
    if (change.value().operations.empty()) {
      const std::string version = ToString(wire::FromWire(change.value().base));
      return ReportSuccess(
        aSession,
        { { "outcome", "unchanged" }, { "version", version } },
        node + " is already " + state + " at version " + version);
    }
    const auto answer = PostChange(aSession, change.value());
    if (!answer) {
      return ReportSendError(
        aSession, answer.error(), answer.error().m_code == ErrorCode::Timeout);
    }
    if (answer.value().m_status == 200) {
      return ReportSuccess(aSession,
                           answer.value().m_json,
                           node + " is " + state + " as of version " +
                             TextOf(answer.value().m_json, "version"));
    }
    if (answer.value().m_status != 409) {
      return OnRefused(aSession, answer.value(), ErrorText(answer.value()));
    }
  }
  return ReportFailure(
    aSession, "too many conflicts with other changes; run the command again");
}

} // namespace wigeonfold::client
