// Command line conventions shared by all binaries.
#pragma once

#include "wigeonfold/base/Settings.h"

#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold {

enum class ExitStatus : int
{
  Success = 0,
  Failed = 1,          // refused or failed at run time
  Usage = 2,           // bad command line
  InvalidSettings = 3, // invalid or unreadable settings file
  DamagedData = 4,     // damaged or unusable data folder
  Unreachable = 5,     // no control VM answered
};

inline constexpr const char* kVersionText = "wigeonfold 0.1.0";

// Arguments of a process that reads --config FILE.ini.
struct DaemonArguments
{
  std::string m_configPath;
  bool m_checkOnly = false;
};

// Parses the command line of a daemon with docopt. On --help, --version and
// usage errors it prints the text, sets aStatus and returns nothing.
std::optional<DaemonArguments> ParseDaemonArguments(
  const std::string& aBinary,
  const std::string& aSummary,
  int aCount,
  const char* const* aArguments,
  ExitStatus& aStatus);

// Prints all problems to stderr; true when there are none.
bool ReportProblems(const std::vector<std::string>& aProblems);

// Directs glog to stderr. Call once, before the first log line.
void StartLogging(const char* aProgram);

// Ignores SIGHUP until the daemon installs a handler; the default action would
// terminate the process.
void IgnoreHangup();

// Runs a daemon: starts logging, parses the command line, reads the settings
// with aReadSettings(SettingsFile&) and checks all of them, then calls
// aRun(settings, path) and returns its exit status. path is that of the
// settings file, for a reload. aRun is not called with --check-config, nor when
// the command line or the settings have an error.
template<class ReadSettings, class Run>
ExitStatus RunDaemon(const std::string& aBinary,
                     const std::string& aSummary,
                     int aCount,
                     const char* const* aArguments,
                     ReadSettings aReadSettings,
                     Run aRun)
{
  IgnoreHangup();
  StartLogging(aArguments[0]);
  ExitStatus status = ExitStatus::Success;
  const auto arguments =
    ParseDaemonArguments(aBinary, aSummary, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  auto file = SettingsFile::Load(arguments->m_configPath);
  if (!file) {
    std::cerr << file.error().ToString() << '\n';
    return ExitStatus::InvalidSettings;
  }
  const auto settings = aReadSettings(file.value());
  if (!ReportProblems(file.value().Finish())) {
    return ExitStatus::InvalidSettings;
  }
  return arguments->m_checkOnly ? ExitStatus::Success
                                : aRun(settings, arguments->m_configPath);
}

// Reads the settings file of a running daemon again. If there are problems, it
// prints them and returns nothing; the caller keeps the settings in use.
template<class ReadSettings>
auto ReloadSettings(const std::string& aPath, ReadSettings aReadSettings)
  -> std::optional<decltype(aReadSettings(std::declval<SettingsFile&>()))>
{
  auto file = SettingsFile::Load(aPath);
  if (!file) {
    std::cerr << file.error().ToString() << '\n';
    return std::nullopt;
  }
  auto settings = aReadSettings(file.value());
  if (!ReportProblems(file.value().Finish())) {
    return std::nullopt;
  }
  return settings;
}

} // namespace wigeonfold
