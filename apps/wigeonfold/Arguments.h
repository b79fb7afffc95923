// Command line and settings of the operators' client.
#pragma once

#include "wigeonfold/base/CommandLine.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::client {

enum class Command
{
  CheckConfig,
  BranchGet,
  BranchSet,
  BranchUnset,
  BranchRemove,
  BranchShow,
  Diff,
  Accept,
  Discard,
  History,
  Status,
  MembersList,
  MembersAdd,
  MembersRemove,
  MembersPromote,
  MembersReplace,
  Drain,
  RolloutStart,
  RolloutShow,
  RolloutStop,
  Timeline,
};

struct Arguments
{
  Command m_command = Command::CheckConfig;

  // ---- Operands; empty where a command has none ----
  std::string m_path;
  std::string m_key;
  std::string m_value;
  std::string m_node;
  std::string m_service;
  std::string m_version;
  std::string m_duration; // with its unit
  std::string m_member;   // id or name of a present member
  std::string m_newId;    // of a new member
  std::string m_name;
  std::string m_zone;
  std::string m_peerAddress;
  std::string m_apiAddress;
  std::vector<std::string> m_addresses; // HTTP addresses for timeline

  // ---- Options ----
  bool m_effective = false;
  bool m_wait = false;
  bool m_rebase = false;
  bool m_undo = false;
  bool m_force = false;
  bool m_json = false;
  bool m_chrome = false;
  std::string m_since;
  std::string m_author;
  std::string m_comment;
  std::string m_limit;
  std::string m_config;
  std::string m_control;
  std::string m_draft;
};

// Settings of the section [client].
struct ClientSettings
{
  std::vector<SocketAddress> m_control;
  Duration m_timeout{};     // of one request, including its retries
  Duration m_waitTimeout{}; // of --wait
};

// Parses the command line of main, whose first word is the program. On --help,
// --version or a usage error prints the text, sets aStatus and returns nullopt.
std::optional<Arguments> ParseArguments(int aCount,
                                        const char* const* aArguments,
                                        ExitStatus& aStatus);

// Reads the settings from --config; --control overrides the control VMs there.
// On invalid settings prints all problems, sets aStatus and returns nullopt.
std::optional<ClientSettings> LoadSettings(const Arguments& aArguments,
                                           ExitStatus& aStatus);

} // namespace wigeonfold::client
