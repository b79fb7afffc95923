#include "Commands.h"

#include <array>
#include <ostream>

namespace wigeonfold::client {

namespace {

struct CommandFunction
{
  Command m_command;
  ExitStatus (*m_run)(Session&);
};

constexpr std::array<CommandFunction, 19> kFunctions{ {
  { Command::BranchGet, RunBranchGet },
  { Command::BranchShow, RunBranchShow },
  { Command::BranchSet, RunBranchEdit },
  { Command::BranchUnset, RunBranchEdit },
  { Command::BranchRemove, RunBranchEdit },
  { Command::Diff, RunDiff },
  { Command::Accept, RunAccept },
  { Command::History, RunHistory },
  { Command::Status, RunStatus },
  { Command::MembersList, RunMembersList },
  { Command::MembersAdd, RunMembersChange },
  { Command::MembersRemove, RunMembersChange },
  { Command::MembersPromote, RunMembersChange },
  { Command::MembersReplace, RunMembersChange },
  { Command::Drain, RunDrain },
  { Command::RolloutStart, RunRolloutStart },
  { Command::RolloutShow, RunRolloutShow },
  { Command::RolloutStop, RunRolloutStop },
  { Command::Timeline, RunTimeline },
} };

} // namespace

ExitStatus RunCommand(Session& aSession)
{
  for (const CommandFunction& function : kFunctions) {
    if (function.m_command != aSession.m_arguments.m_command) {
      continue;
    }
    try {
      return function.m_run(aSession);
    } catch (const Json::exception& error) {
      // A field of the answer has a type other than the API defines.
      return ReportError(
        aSession.m_err,
        Error{ ErrorCode::Protocol, "read answer", "", error.what() });
    }
  }
  return ExitStatus::Usage;
}

// ---- Shared by the commands ------------------------------------------------

ExitStatus ReportError(std::ostream& aErr, const Error& aError)
{
  aErr << "wigeonfold: " << aError.ToString() << '\n';
  switch (aError.m_code) {
    case ErrorCode::Unavailable:
      return ExitStatus::Unreachable;
    case ErrorCode::Corrupt:
      return ExitStatus::DamagedData;
    default:
      return ExitStatus::Failed;
  }
}

ExitStatus ReportFailure(Session& aSession, const std::string& aMessage)
{
  aSession.m_err << "wigeonfold: " << aMessage << '\n';
  return ExitStatus::Failed;
}

Result<Json> GetJson(Session& aSession, const std::string& aTarget)
{
  auto answer = aSession.m_client.Send("GET", aTarget);
  if (!answer) {
    return answer.error();
  }
  if (answer.value().m_status != 200) {
    return Error{ ErrorCode::InvalidArgument,
                  "GET " + aTarget,
                  "",
                  ErrorText(answer.value()) };
  }
  return std::move(answer.value().m_json);
}

std::string EscapeQuery(const std::string& aText)
{
  const std::string plain =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
    "0123456789-._/";
  const std::string digits = "0123456789ABCDEF";
  std::string escaped;
  for (const char byte : aText) {
    if (plain.find(byte) != std::string::npos) {
      escaped += byte;
    } else {
      const auto code = static_cast<unsigned char>(byte);
      escaped += { '%', digits[code / 16], digits[code % 16] };
    }
  }
  return escaped;
}

std::string TextOf(const Json& aJson, const std::string& aField)
{
  const auto field = aJson.find(aField);
  const bool present = field != aJson.end() && field->is_string();
  return present ? field->get<std::string>() : "";
}

std::string FormatPath(const std::string& aPath)
{
  return aPath.empty() ? "/" : aPath;
}

Result<std::vector<ControlAnswer>> QueryControlVms(Session& aSession,
                                                   const std::string& aTarget)
{
  const auto members = GetJson(aSession, "/v1/members?stale=1");
  if (!members) {
    return members.error();
  }
  std::vector<ControlAnswer> controls;
  for (const Json& member : members.value().value("members", Json::array())) {
    ControlAnswer control{ TextOf(member, "name"),
                           TextOf(member, "apiAddress"),
                           std::nullopt };
    const auto address = ParseSocketAddress(control.m_apiAddress);
    if (address) {
      const auto answer = aSession.m_client.GetOnce(address.value(), aTarget);
      if (answer && answer.value().m_status == 200) {
        control.m_json = answer.value().m_json;
      }
    }
    controls.push_back(std::move(control));
  }
  return controls;
}

} // namespace wigeonfold::client
