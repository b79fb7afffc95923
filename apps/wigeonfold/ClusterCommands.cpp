// The commands status, history and members.
#include "Commands.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/settings/Schema.h"

#include <algorithm>
#include <ostream>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

// Interval between requests while a membership change is in progress, such as
// while a learner receives a snapshot before its promotion.
constexpr Duration kStepPollInterval = 500ms;

void PrintMember(Session& aSession, const Json& aMember)
{
  const auto age = aMember.find("freshnessAgeMs");
  const bool known = age != aMember.end() && age->is_number();
  aSession.m_out << "  " << TextOf(aMember, "name") << "  "
                 << TextOf(aMember, "memberId") << "  "
                 << TextOf(aMember, "availabilityZone") << "  "
                 << (aMember.value("voter", false) ? "voter" : "learner")
                 << (aMember.value("leader", false) ? ", leader" : "") << "  "
                 << TextOf(aMember, "apiAddress") << "  "
                 << (known ? "confirmed " + DumpJson(*age) + " ms ago"
                           : "freshness not known")
                 << '\n';
}

// ---- Status ----------------------------------------------------------------

void PrintNode(Session& aSession,
               const Json& aNode,
               const std::string& aControl)
{
  const std::string inForce = TextOf(aNode, "inForce");
  const std::string refusal = TextOf(aNode, "refusal");
  const auto lag = aNode.find("lag");
  const bool behind =
    lag != aNode.end() && lag->is_number() && lag->get<int64_t>() > 0;
  aSession.m_out << "  " << TextOf(aNode, "name") << "  "
                 << TextOf(aNode, "availabilityZone") << "  " << aControl
                 << "  " << (inForce.empty() ? "nothing in force" : inForce)
                 << (behind ? ", " + DumpJson(*lag) + " changes behind" : "");
  if (!refusal.empty()) {
    aSession.m_out << ", refused " << TextOf(aNode, "refused") << ": "
                   << refusal;
  }
  aSession.m_out << '\n';
}

void PrintStatus(Session& aSession, const std::vector<ControlAnswer>& aControls)
{
  for (const ControlAnswer& control : aControls) {
    aSession.m_out << control.m_name << "  " << control.m_apiAddress << "  ";
    if (!control.m_json) {
      aSession.m_out << "not reached\n";
      continue;
    }
    const Json& json = *control.m_json;
    aSession.m_out << "version " << TextOf(json, "version") << ", term "
                   << json.value("term", int64_t{ 0 })
                   << (json.value("leaseHeld", false) ? ", leader" : "") << ", "
                   << json.value("nodeCount", size_t{ 0 }) << " nodes\n";
    for (const Json& member : json.value("members", Json::array())) {
      if (member.value("self", false)) {
        PrintMember(aSession, member);
      }
    }
  }
  aSession.m_out << "nodes:\n";
  for (const ControlAnswer& control : aControls) {
    const Json json = control.m_json.value_or(Json::object());
    for (const Json& node : json.value("nodes", Json::array())) {
      PrintNode(aSession, node, control.m_name);
    }
  }
}

Json StatusToJson(const std::vector<ControlAnswer>& aControls)
{
  Json list = Json::array();
  for (const ControlAnswer& control : aControls) {
    list.push_back({ { "name", control.m_name },
                     { "apiAddress", control.m_apiAddress },
                     { "reached", control.m_json.has_value() },
                     { "status", control.m_json.value_or(Json()) } });
  }
  return { { "control", std::move(list) } };
}

// ---- Members ---------------------------------------------------------------

// Id of the member whose id or name is aMember.
Result<int64_t> FindMember(Session& aSession, const std::string& aMember)
{
  const auto members = GetJson(aSession, "/v1/members");
  if (!members) {
    return members.error();
  }
  for (const Json& member : members.value().value("members", Json::array())) {
    const std::string id = TextOf(member, "memberId");
    if (id == aMember || TextOf(member, "name") == aMember) {
      return settings::ParseInteger(id).value_or(0);
    }
  }
  return Error{
    ErrorCode::NotFound, "find member", "", "no member " + aMember
  };
}

Result<registry::MemberRequest> MakeMemberRequest(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  registry::MemberRequest request;
  request.m_action = arguments.m_command == Command::MembersAdd
                       ? registry::MemberAction::Add
                     : arguments.m_command == Command::MembersRemove
                       ? registry::MemberAction::Remove
                     : arguments.m_command == Command::MembersPromote
                       ? registry::MemberAction::Promote
                       : registry::MemberAction::Replace;
  request.m_member.memberId =
    settings::ParseInteger(arguments.m_newId).value_or(0);
  if (!arguments.m_member.empty()) {
    const auto id = FindMember(aSession, arguments.m_member);
    // An interrupted run of this command may already have removed the old
    // member, whose name the new one takes over, and may have added the new
    // one. The request then names no old member and asks for the remaining
    // steps.
    const bool isAlreadyRemoved =
      request.m_action == registry::MemberAction::Replace &&
      (id ? id.value() == request.m_member.memberId
          : id.error().m_code == ErrorCode::NotFound &&
              arguments.m_member == arguments.m_name);
    if (!id && !isAlreadyRemoved) {
      return id.error();
    }
    request.m_memberId = isAlreadyRemoved ? 0 : id.value();
  }
  request.m_member.name = arguments.m_name;
  request.m_member.availabilityZone = arguments.m_zone;
  request.m_member.peerAddress = arguments.m_peerAddress;
  request.m_member.apiAddress = arguments.m_apiAddress;
  return registry::ParseMemberRequest(registry::FormatMemberRequest(request));
}

// Repeats the request, whose answer 202 means that steps are left, until all
// are done or the time limit has passed.
ExitStatus RepeatUntilDone(Session& aSession, const std::string& aBody)
{
  const TimePoint deadline =
    aSession.m_environment.m_now() + aSession.m_settings.m_waitTimeout;
  std::string shown;
  while (true) {
    const auto answer = aSession.m_client.Send("POST", "/v1/members", aBody);
    if (!answer) {
      return ReportError(aSession.m_err, answer.error());
    }
    const int status = answer.value().m_status;
    const std::string step = TextOf(answer.value().m_json, "step");
    if (status != 200 && status != 202) {
      return ReportFailure(aSession, ErrorText(answer.value()));
    }
    if (status == 200) {
      aSession.m_out << (aSession.m_arguments.m_json
                           ? DumpJson(answer.value().m_json, 2)
                           : "done: " + step)
                     << '\n';
      return ExitStatus::Success;
    }
    if (step != shown) {
      shown = step;
      aSession.m_err << step << '\n';
    }
    if (aSession.m_environment.m_now() >= deadline) {
      return ReportFailure(
        aSession,
        "the membership change is not complete after wait-timeout; run the "
        "command again");
    }
    aSession.m_environment.m_sleep(kStepPollInterval);
  }
}

} // namespace

// ---- Commands --------------------------------------------------------------

ExitStatus RunStatus(Session& aSession)
{
  const auto controls = QueryControlVms(aSession, "/v1/status");
  if (!controls) {
    return ReportError(aSession.m_err, controls.error());
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(StatusToJson(controls.value()), 2) << '\n';
  } else {
    PrintStatus(aSession, controls.value());
  }
  const bool complete = std::all_of(
    controls.value().begin(),
    controls.value().end(),
    [](const ControlAnswer& aControl) { return aControl.m_json.has_value(); });
  return complete ? ExitStatus::Success : ExitStatus::Failed;
}

ExitStatus RunHistory(Session& aSession)
{
  const auto history = GetJson(
    aSession, "/v1/history?limit=" + EscapeQuery(aSession.m_arguments.m_limit));
  if (!history) {
    return ReportError(aSession.m_err, history.error());
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(history.value(), 2) << '\n';
    return ExitStatus::Success;
  }
  for (const Json& entry : history.value().value("entries", Json::array())) {
    aSession.m_out << TextOf(entry, "version") << "  "
                   << TextOf(entry, "author") << "  "
                   << TextOf(entry, "comment") << '\n';
    for (const Json& operation : entry.value("operations", Json::array())) {
      const std::string value = TextOf(operation, "value");
      aSession.m_out << "    " << TextOf(operation, "op") << ' '
                     << FormatPath(TextOf(operation, "path")) << ' '
                     << TextOf(operation, "key")
                     << (value.empty() ? "" : " = " + value) << '\n';
    }
  }
  return ExitStatus::Success;
}

ExitStatus RunMembersList(Session& aSession)
{
  const auto members = GetJson(aSession, "/v1/members");
  if (!members) {
    return ReportError(aSession.m_err, members.error());
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(members.value(), 2) << '\n';
    return ExitStatus::Success;
  }
  for (const Json& member : members.value().value("members", Json::array())) {
    PrintMember(aSession, member);
  }
  return ExitStatus::Success;
}

ExitStatus RunMembersChange(Session& aSession)
{
  const auto request = MakeMemberRequest(aSession);
  if (!request) {
    return ReportError(aSession.m_err, request.error());
  }
  return RepeatUntilDone(aSession,
                         registry::FormatMemberRequest(request.value()));
}

} // namespace wigeonfold::client
