// Commands that send changes.
#include "Commands.h"
#include "Draft.h"

#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/wire/Codec.h"

#include <boost/algorithm/string.hpp>
#include <ostream>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

// Other operators' changes may win that often in a row; at 0.5 changes/s more
// than a few losses mean that something else is wrong.
constexpr int kMaxRebases = 10;
constexpr Duration kWaitPoll = 200ms;
constexpr size_t kMaxShownNodes = 10;

constexpr const char* kOutcomeUnknown =
  "the outcome is not known; run the same command again: the change id makes "
  "sure that the change is applied once";

Result<Answer> Post(Session& aSession, const wire::Change& aChange)
{
  return aSession.m_client.Send(
    "POST", "/v1/accept", registry::FormatChange(aChange));
}

// aMaybeSent: a control VM may have the change, now or from an earlier run.
ExitStatus FailToSend(Session& aSession, const Error& aError, bool aMaybeSent)
{
  const ExitStatus status = Fail(aSession.m_err, aError);
  if (aMaybeSent) {
    aSession.m_err << "wigeonfold: " << kOutcomeUnknown << '\n';
  }
  return status;
}

void PrintResult(Session& aSession, const Json& aResult)
{
  if (aSession.m_arguments.m_json) {
    aSession.m_out << aResult.dump(2) << '\n';
  }
}

// Reports success and waits when asked to.
ExitStatus Finish(Session& aSession, Json aResult, const std::string& aText)
{
  if (!aSession.m_arguments.m_json) {
    aSession.m_out << aText << '\n';
  }
  ExitStatus status = ExitStatus::Success;
  if (aSession.m_arguments.m_wait) {
    status = WaitInForce(aSession, TextOf(aResult, "version"), aResult);
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

// Moves the draft to the newest version; what stands against it otherwise.
Result<std::string> Rebase(Session& aSession, Draft& aDraft)
{
  const std::string base = ToString(wire::FromWire(aDraft.m_change.base));
  const auto changes = Read(aSession, "/v1/changes?since=" + base);
  if (!changes) {
    return changes.error();
  }
  const auto version =
    registry::ParseVersion(TextOf(changes.value(), "version"));
  if (!version || !changes.value().value("complete", false)) {
    return "cannot rebase: the kept history does not reach back to " + base;
  }
  const auto overlap =
    Overlap(aDraft.m_change.operations, ToChangedPaths(changes.value()));
  if (!overlap.empty()) {
    std::string text = "cannot rebase: the same branches were changed since:";
    for (const std::string& path : overlap) {
      text += " " + ShowPath(path);
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
    text += " " + ShowPath(path.is_string() ? path.get<std::string>() : "");
  }
  const auto count = aAnswer.m_json.value("changedCount", changed.size());
  if (count > changed.size()) {
    text += " and " + std::to_string(count - changed.size()) + " more";
  }
  return text;
}

// A refused change keeps its operations; its id belongs to the refusal.
Status Renew(Session& aSession, Draft& aDraft)
{
  aDraft.m_change.changeId = aSession.m_environment.m_drawId();
  aDraft.m_sent = false;
  return SaveDraft(aSession.m_arguments.m_draft, aDraft);
}

// Sends the draft once; the draft says that it was sent before it is.
Result<Answer> SendDraft(Session& aSession, Draft& aDraft)
{
  const bool sentBefore = aDraft.m_sent;
  const std::string& file = aSession.m_arguments.m_draft;
  aDraft.m_sent = true;
  if (auto saved = SaveDraft(file, aDraft); !saved) {
    return saved.error();
  }
  auto answer = Post(aSession, aDraft.m_change);
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
    return Fail(aSession.m_err, deleted.error());
  }
  return Finish(aSession,
                aAnswer.m_json,
                "accepted as version " + TextOf(aAnswer.m_json, "version"));
}

ExitStatus OnRefused(Session& aSession,
                     const Answer& aAnswer,
                     const std::string& aText)
{
  PrintResult(aSession, aAnswer.m_json);
  return Refuse(aSession, aText);
}

ExitStatus SendUntilDecided(Session& aSession, Draft& aDraft)
{
  for (int rebases = 0;; ++rebases) {
    const auto answer = SendDraft(aSession, aDraft);
    if (!answer) {
      return FailToSend(aSession, answer.error(), aDraft.m_sent);
    }
    const int status = answer.value().m_status;
    if (status == 200) {
      return OnAccepted(aSession, answer.value());
    }
    if (status != 409 && status != 422) {
      return OnRefused(aSession, answer.value(), ProblemOf(answer.value()));
    }
    if (auto renewed = Renew(aSession, aDraft); !renewed) {
      return Fail(aSession.m_err, renewed.error());
    }
    if (status == 422) {
      return OnRefused(aSession,
                       answer.value(),
                       "the change is invalid:\n" + ProblemOf(answer.value()));
    }
    const std::string conflict = DescribeConflict(answer.value());
    if (!aSession.m_arguments.m_rebase || rebases == kMaxRebases) {
      return OnRefused(aSession,
                       answer.value(),
                       conflict + "; see wigeonfold diff and accept --rebase");
    }
    const auto refusal = Rebase(aSession, aDraft);
    if (!refusal) {
      return Fail(aSession.m_err, refusal.error());
    }
    if (!refusal.value().empty()) {
      return OnRefused(aSession, answer.value(), refusal.value());
    }
  }
}

// Author and comment belong to the content that the change id stands for.
void Describe(Session& aSession, Draft& aDraft)
{
  const Arguments& arguments = aSession.m_arguments;
  const bool given =
    !arguments.m_author.empty() || !arguments.m_comment.empty();
  if (aDraft.m_sent) {
    if (given) {
      aSession.m_err << "wigeonfold: the draft was sent before; its author and "
                        "comment stay\n";
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
  Json m_behind = Json::array();
  Json m_unreachable = Json::array();
  size_t m_refusing = 0;
};

bool Refuses(const Json& aNode, const Version& aVersion)
{
  const auto refused = registry::ParseVersion(TextOf(aNode, "refused"));
  return refused && *refused >= aVersion;
}

Result<Progress> AskProgress(Session& aSession, const Version& aVersion)
{
  const auto statuses =
    AskEveryControl(aSession, "/v1/status?behind=" + ToString(aVersion));
  if (!statuses) {
    return statuses.error();
  }
  Progress progress;
  for (const ControlStatus& status : statuses.value()) {
    if (!status.m_status) {
      progress.m_unreachable.push_back(status.m_name);
      continue;
    }
    progress.m_nodes += status.m_status->value("nodeCount", size_t{ 0 });
    for (const Json& node : status.m_status->value("nodes", Json::array())) {
      progress.m_refusing += Refuses(node, aVersion) ? 1 : 0;
      progress.m_behind.push_back(node);
    }
  }
  return progress;
}

std::string Describe(const Progress& aProgress)
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

void PrintBehind(Session& aSession, const Progress& aProgress)
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
                   << (inForce.empty() ? "nothing" : inForce)
                   << (refusal.empty() ? "" : ", refused: " + refusal) << '\n';
  }
}

} // namespace

ExitStatus WaitInForce(Session& aSession,
                       const std::string& aVersion,
                       Json& aResult)
{
  const Version version = registry::ParseVersion(aVersion).value_or(Version{});
  const TimePoint deadline =
    aSession.m_environment.m_now() + aSession.m_settings.m_waitTimeout;
  std::string shown;
  while (true) {
    const auto asked = AskProgress(aSession, version);
    if (!asked) {
      return Fail(aSession.m_err, asked.error());
    }
    const Progress& progress = asked.value();
    const std::string text = Describe(progress);
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
      PrintBehind(aSession, progress);
      return Refuse(aSession,
                    "version " + aVersion +
                      " is accepted but not known to be in force everywhere");
    }
    aSession.m_environment.m_sleep(kWaitPoll);
  }
}

ExitStatus RunAccept(Session& aSession)
{
  const auto loaded = LoadDraft(aSession.m_arguments.m_draft);
  if (!loaded) {
    return Fail(aSession.m_err, loaded.error());
  }
  if (!loaded.value()) {
    return Refuse(aSession, "no draft in " + aSession.m_arguments.m_draft);
  }
  Draft draft = *loaded.value();
  Describe(aSession, draft);
  const auto checked =
    registry::ParseChange(registry::FormatChange(draft.m_change));
  if (!checked) {
    return Refuse(aSession, checked.error().m_detail);
  }
  return SendUntilDecided(aSession, draft);
}

// ---- Drain -----------------------------------------------------------------

namespace {

// The change that drains the target or takes it back; no operation when the
// newest version already says so.
Result<wire::Change> DrainChange(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  wire::Operation operation;
  operation.path = "targets/" + arguments.m_node;
  const auto branch = Read(
    aSession, "/v1/branch?path=" + Escape(operation.path) + "&effective=1");
  if (!branch) {
    return branch.error();
  }
  const auto base = registry::ParseVersion(TextOf(branch.value(), "version"));
  const Json settings = branch.value().value("settings", Json::object());
  const bool draining = TextOf(settings, "target.drain") == "true";
  wire::Change change;
  change.changeId = aSession.m_environment.m_drawId();
  change.base = wire::ToWire(base.value_or(Version{}));
  change.comment =
    (arguments.m_undo ? "undo drain of " : "drain ") + arguments.m_node;
  if (arguments.m_undo && branch.value().value("exists", false)) {
    // target.drain is the only key there, so no empty branch is left behind.
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
    const auto change = DrainChange(aSession);
    if (!change) {
      return Fail(aSession.m_err, change.error());
    }
    if (change.value().operations.empty()) {
      const std::string version = ToString(wire::FromWire(change.value().base));
      return Finish(aSession,
                    { { "outcome", "unchanged" }, { "version", version } },
                    node + " is already " + state + " at version " + version);
    }
    const auto answer = Post(aSession, change.value());
    if (!answer) {
      return FailToSend(
        aSession, answer.error(), answer.error().m_code == ErrorCode::Timeout);
    }
    if (answer.value().m_status == 200) {
      return Finish(aSession,
                    answer.value().m_json,
                    node + " is " + state + " as of version " +
                      TextOf(answer.value().m_json, "version"));
    }
    if (answer.value().m_status != 409) {
      return OnRefused(aSession, answer.value(), ProblemOf(answer.value()));
    }
  }
  return Refuse(aSession, "too many conflicts; run the command again");
}

} // namespace wigeonfold::client
