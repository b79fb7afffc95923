#include "wigeonfold/base/CommandLine.h"

#include <csignal>
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <iostream>

namespace wigeonfold {

std::optional<DaemonArguments> ParseDaemonArguments(
  const std::string& aBinary,
  const std::string& aSummary,
  int aCount,
  const char* const* aArguments,
  ExitStatus& aStatus)
{
  const std::string usage = aBinary + ": " + aSummary + R"(

Usage:
  )" + aBinary + R"( --config FILE [--check-config]
  )" + aBinary + R"( --help
  )" + aBinary + R"( --version

Options:
  --config FILE   Settings in INI form.
  --check-config  Check the settings, list all problems and exit.
  --help          Show this text.
  --version       Show the version.

Exit status:
  0 success, 1 failed at run time, 2 usage error, 3 invalid settings,
  4 damaged or unusable data folder, 5 no control VM reachable.
)";
  try {
    const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
    auto parsed = docopt::docopt_parse(usage, words, true, true);
    return DaemonArguments{ parsed["--config"].asString(),
                            parsed["--check-config"].asBool() };
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    aStatus = ExitStatus::Success;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << aBinary << ", " << kVersionText << '\n';
    aStatus = ExitStatus::Success;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << usage;
    aStatus = ExitStatus::Usage;
  }
  return std::nullopt;
}

bool ReportProblems(const std::vector<std::string>& aProblems)
{
  for (const std::string& problem : aProblems) {
    std::cerr << problem << '\n';
  }
  return aProblems.empty();
}

void IgnoreHangup()
{
  std::signal(SIGHUP, SIG_IGN);
}

void StartLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

} // namespace wigeonfold
