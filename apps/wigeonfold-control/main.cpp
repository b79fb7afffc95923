// wigeonfold-control: accepts changes and serves nodes and operators.
#include "Process.h"

#include <glog/logging.h>
#include <iostream>

namespace {

using namespace wigeonfold;

int Exit(ExitStatus aStatus)
{
  return static_cast<int>(aStatus);
}

} // namespace

int main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  ExitStatus status = ExitStatus::Success;
  const auto arguments =
    ParseDaemonArguments("wigeonfold-control",
                         "accepts changes, serves nodes and operators",
                         aCount,
                         aArguments,
                         status);
  if (!arguments) {
    return Exit(status);
  }
  auto file = SettingsFile::Load(arguments->m_configPath);
  if (!file) {
    std::cerr << file.error().ToString() << '\n';
    return Exit(ExitStatus::InvalidSettings);
  }
  const auto settings = control::ReadControlSettings(file.value());
  if (!ReportProblems(file.value().Finish())) {
    return Exit(ExitStatus::InvalidSettings);
  }
  if (arguments->m_checkOnly) {
    return Exit(ExitStatus::Success);
  }
  return Exit(control::RunControl(settings));
}
