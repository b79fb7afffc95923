#include "Arguments.h"

#include <array>
#include <docopt/docopt.h>
#include <iostream>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

using Parsed = std::map<std::string, docopt::value>;

#define WIGEONFOLD_CONTROL "[--config FILE] [--control ADDRESSES] [--json]"
#define WIGEONFOLD_DRAFT WIGEONFOLD_CONTROL " [--draft FILE]"

constexpr const char* kUsage =
  R"(wigeonfold: command line client of the operators.

Usage:
  wigeonfold branch get PATH KEY )" WIGEONFOLD_CONTROL R"(
  wigeonfold branch show [PATH] [--effective] )" WIGEONFOLD_CONTROL R"(
  wigeonfold branch set PATH KEY VALUE )" WIGEONFOLD_DRAFT R"(
  wigeonfold branch unset PATH KEY )" WIGEONFOLD_DRAFT R"(
  wigeonfold branch remove PATH )" WIGEONFOLD_DRAFT R"(
  wigeonfold diff [--since VERSION] )" WIGEONFOLD_DRAFT R"(
  wigeonfold accept [--wait] [--rebase] [--author AUTHOR] [--comment TEXT] )" WIGEONFOLD_DRAFT
  R"(
  wigeonfold discard [--force] [--json] [--draft FILE]
  wigeonfold history [--limit N] )" WIGEONFOLD_CONTROL R"(
  wigeonfold status )" WIGEONFOLD_CONTROL R"(
  wigeonfold members list )" WIGEONFOLD_CONTROL R"(
  wigeonfold members add ID NAME ZONE PEER API )" WIGEONFOLD_CONTROL
  R"(
  wigeonfold members remove MEMBER )" WIGEONFOLD_CONTROL R"(
  wigeonfold members promote MEMBER )" WIGEONFOLD_CONTROL R"(
  wigeonfold members replace MEMBER ID NAME ZONE PEER API )" WIGEONFOLD_CONTROL
  R"(
  wigeonfold drain NODE [--undo] [--wait] )" WIGEONFOLD_CONTROL R"(
  wigeonfold rollout start SERVICE --target-version VERSION --duration TIME )" WIGEONFOLD_CONTROL
  R"(
  wigeonfold rollout show [SERVICE] )" WIGEONFOLD_CONTROL R"(
  wigeonfold rollout stop SERVICE )" WIGEONFOLD_CONTROL R"(
  wigeonfold timeline [--chrome] [ADDRESS...] )" WIGEONFOLD_CONTROL R"(
  wigeonfold --check-config --config FILE
  wigeonfold --help
  wigeonfold --version

branch set, unset and remove edit a local draft; accept sends it. PATH is a
path such as services/lots; the root is written /. MEMBER is the id or the name
of a present member; PEER and API are the addresses of a new one. timeline
merges the events of all control VMs and of the processes at the given HTTP
addresses, such as the nodes' local-listen. rollout start moves the requests of
a service to targets of another software version; VERSION may also be given by
--version.

Options:
  --effective          Show for each key the value in effect and its branch.
  --since VERSION      Show what changed after a version instead of the draft.
  --wait               Show progress until in force on every node.
  --rebase             On a conflict with changes to other branches only, send
                       the draft again on the newest version.
  --author AUTHOR      Author of the change [default: ].
  --comment TEXT       Comment of the change [default: ].
  --force              Discard also a draft whose outcome is not known.
  --limit N            Number of changes to show [default: 20].
  --undo               Take the target back into service.
  --target-version VERSION  Software version to which the requests move.
  --duration TIME      Time from the order to its deadline, such as 90s or 10m.
  --chrome             Print the time line in Chrome's trace format.
  --json               Print JSON.
  --draft FILE         Draft file [default: ./wigeonfold.draft.json].
  --control ADDRESSES  API addresses of control VMs, separated by commas.
  --config FILE        Settings in INI form: [client] control, timeout,
                       wait-timeout.
  --check-config       Check the settings, list all problems and exit.
  --help               Show this text.
  --version            Show the version.

Exit status:
  0 success, 1 rejected or failed at run time, 2 usage error, 3 invalid
  settings, 4 damaged draft file, 5 no control VM reachable.
)";

#undef WIGEONFOLD_DRAFT
#undef WIGEONFOLD_CONTROL

struct CommandWords
{
  const char* m_group; // nullptr for a command of one word
  const char* m_word;
  Command m_command;
};

constexpr std::array<CommandWords, 21> kCommands{ {
  { nullptr, "--check-config", Command::CheckConfig },
  { "branch", "get", Command::BranchGet },
  { "branch", "set", Command::BranchSet },
  { "branch", "unset", Command::BranchUnset },
  { "branch", "remove", Command::BranchRemove },
  { "branch", "show", Command::BranchShow },
  { nullptr, "diff", Command::Diff },
  { nullptr, "accept", Command::Accept },
  { nullptr, "discard", Command::Discard },
  { nullptr, "history", Command::History },
  { nullptr, "status", Command::Status },
  { "members", "list", Command::MembersList },
  { "members", "add", Command::MembersAdd },
  { "members", "remove", Command::MembersRemove },
  { "members", "promote", Command::MembersPromote },
  { "members", "replace", Command::MembersReplace },
  { nullptr, "drain", Command::Drain },
  { "rollout", "start", Command::RolloutStart },
  { "rollout", "show", Command::RolloutShow },
  { "rollout", "stop", Command::RolloutStop },
  { nullptr, "timeline", Command::Timeline },
} };

bool Flag(const Parsed& aParsed, const std::string& aName)
{
  const auto value = aParsed.find(aName);
  return value != aParsed.end() && value->second.isBool() &&
         value->second.asBool();
}

std::string Text(const Parsed& aParsed, const std::string& aName)
{
  const auto value = aParsed.find(aName);
  const bool present = value != aParsed.end() && value->second.isString();
  return present ? value->second.asString() : "";
}

Command FindCommand(const Parsed& aParsed)
{
  for (const CommandWords& words : kCommands) {
    const bool group = words.m_group == nullptr || Flag(aParsed, words.m_group);
    if (group && Flag(aParsed, words.m_word)) {
      return words.m_command;
    }
  }
  return Command::CheckConfig;
}

// Paths of the API have no leading slash; the root is the empty path.
std::string ToPath(const std::string& aText)
{
  return !aText.empty() && aText.front() == '/' ? aText.substr(1) : aText;
}

Arguments ToArguments(const Parsed& aParsed)
{
  Arguments arguments;
  arguments.m_command = FindCommand(aParsed);
  arguments.m_path = ToPath(Text(aParsed, "PATH"));
  arguments.m_key = Text(aParsed, "KEY");
  arguments.m_value = Text(aParsed, "VALUE");
  arguments.m_node = Text(aParsed, "NODE");
  arguments.m_service = Text(aParsed, "SERVICE");
  arguments.m_version = Text(aParsed, "--target-version");
  arguments.m_duration = Text(aParsed, "--duration");
  arguments.m_member = Text(aParsed, "MEMBER");
  arguments.m_newId = Text(aParsed, "ID");
  arguments.m_name = Text(aParsed, "NAME");
  arguments.m_zone = Text(aParsed, "ZONE");
  arguments.m_peerAddress = Text(aParsed, "PEER");
  arguments.m_apiAddress = Text(aParsed, "API");
  const auto addresses = aParsed.find("ADDRESS");
  if (addresses != aParsed.end() && addresses->second.isStringList()) {
    arguments.m_addresses = addresses->second.asStringList();
  }
  arguments.m_effective = Flag(aParsed, "--effective");
  arguments.m_wait = Flag(aParsed, "--wait");
  arguments.m_rebase = Flag(aParsed, "--rebase");
  arguments.m_undo = Flag(aParsed, "--undo");
  arguments.m_force = Flag(aParsed, "--force");
  arguments.m_json = Flag(aParsed, "--json");
  arguments.m_chrome = Flag(aParsed, "--chrome");
  arguments.m_since = Text(aParsed, "--since");
  arguments.m_author = Text(aParsed, "--author");
  arguments.m_comment = Text(aParsed, "--comment");
  arguments.m_limit = Text(aParsed, "--limit");
  arguments.m_config = Text(aParsed, "--config");
  arguments.m_control = Text(aParsed, "--control");
  arguments.m_draft = Text(aParsed, "--draft");
  return arguments;
}

// The parser takes --version for the option of all commands, which shows the
// version of this program.
void RenameVersionOption(std::vector<std::string>& aWords)
{
  if (aWords.size() < 2 || aWords[0] != "rollout" || aWords[1] != "start") {
    return;
  }
  const std::string option = "--version";
  for (std::string& word : aWords) {
    if (word == option || word.rfind(option + "=", 0) == 0) {
      word.replace(0, option.size(), "--target-version");
    }
  }
}

// The file of --config; empty settings when it is not given.
Result<SettingsFile> OpenSettings(const Arguments& aArguments)
{
  if (!aArguments.m_config.empty()) {
    return SettingsFile::Load(aArguments.m_config);
  }
  return SettingsFile::Parse("--control", "");
}

} // namespace

std::optional<Arguments> ParseArguments(int aCount,
                                        const char* const* aArguments,
                                        ExitStatus& aStatus)
{
  try {
    std::vector<std::string> words(aArguments + 1, aArguments + aCount);
    RenameVersionOption(words);
    return ToArguments(docopt::docopt_parse(kUsage, words, true, true));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    aStatus = ExitStatus::Success;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersionText << '\n';
    aStatus = ExitStatus::Success;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\nRun wigeonfold --help for the usage.\n";
    aStatus = ExitStatus::Usage;
  }
  return std::nullopt;
}

std::optional<ClientSettings> LoadSettings(const Arguments& aArguments,
                                           ExitStatus& aStatus)
{
  aStatus = ExitStatus::InvalidSettings;
  auto file = OpenSettings(aArguments);
  if (!file) {
    std::cerr << file.error().ToString() << '\n';
    return std::nullopt;
  }
  ClientSettings settings;
  settings.m_control = file.value().Addresses("client", "control");
  settings.m_timeout =
    file.value().Time("client", "timeout", 15s, 100ms, 10min);
  settings.m_waitTimeout =
    file.value().Time("client", "wait-timeout", 60s, 1s, 24h);
  if (!aArguments.m_control.empty()) {
    SettingsFile given = SettingsFile::Parse(
      "--control", "[client]\ncontrol = " + aArguments.m_control + "\n");
    settings.m_control = given.Addresses("client", "control");
    if (!ReportProblems(given.Finish())) {
      aStatus = ExitStatus::Usage;
      return std::nullopt;
    }
  }
  if (!ReportProblems(file.value().Finish())) {
    return std::nullopt;
  }
  if (settings.m_control.empty()) {
    std::cerr << "no control VM: give --control ADDRESSES or [client] control "
                 "in --config FILE\n";
    aStatus = aArguments.m_config.empty() ? ExitStatus::Usage
                                          : ExitStatus::InvalidSettings;
    return std::nullopt;
  }
  return settings;
}

} // namespace wigeonfold::client
