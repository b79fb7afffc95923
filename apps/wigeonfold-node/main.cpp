#include "Node.h"

#include "wigeonfold/base/CommandLine.h"

#include <glog/logging.h>
#include <iostream>
#include <malloc.h>

namespace {

using wigeonfold::ExitStatus;

// Each further malloc arena keeps freed memory for itself; with a few threads
// one is enough and saves megabytes on VMs that have little to spare.
constexpr int kMallocArenas = 1;

ExitStatus RunNode(int aCount, const char* const* aArguments)
{
  ExitStatus status = ExitStatus::Success;
  const auto arguments = wigeonfold::ParseDaemonArguments(
    "wigeonfold-node",
    "sidecar that routes and forwards requests",
    aCount,
    aArguments,
    status);
  if (!arguments) {
    return status;
  }
  auto file = wigeonfold::SettingsFile::Load(arguments->m_configPath);
  if (!file) {
    std::cerr << file.error().ToString() << '\n';
    return ExitStatus::InvalidSettings;
  }
  const auto settings = wigeonfold::node::ReadNodeSettings(file.value());
  if (!wigeonfold::ReportProblems(file.value().Finish())) {
    return ExitStatus::InvalidSettings;
  }
  if (arguments->m_checkOnly) {
    return ExitStatus::Success;
  }
  wigeonfold::node::Node node(settings);
  if (const auto result = node.Run(); !result) {
    std::cerr << result.error().ToString() << '\n';
    return ExitStatus::Failed;
  }
  return ExitStatus::Success;
}

} // namespace

int main(int aCount, char** aArguments)
{
  mallopt(M_ARENA_MAX, kMallocArenas);
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  return static_cast<int>(RunNode(aCount, aArguments));
}
