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
  InvalidSettings = 3, //
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

// Parses the command line of a daemon with docopt. Prints help, version or the
// usage error itself and then returns the exit status in aStatus.
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

// Ignores SIGHUP until the daemon handles it: its default action would end the
// process.
void IgnoreHangup();

// Start of a daemon: logging, command line, settings checked as a whole, then
// aRun(settings, path), whose exit status it returns; path is that of the
// settings file, for a reload. aReadSettings takes the SettingsFile&. Nothing
// runs with --check-config or on a bad file.
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

// Reads the settings file of a running daemon again. Problems are printed and
// leave nothing, so that the settings in use stay.
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
