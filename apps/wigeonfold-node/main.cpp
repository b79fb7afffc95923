#include "Node.h"

#include "wigeonfold/base/CommandLine.h"

#include <iostream>
#include <malloc.h>

namespace {

using wigeonfold::ExitStatus;

// Each malloc arena keeps its own freed memory. One arena is enough for a few
// threads and saves megabytes on small VMs.
constexpr int kMallocArenas = 1;

ExitStatus RunNode(const wigeonfold::node::NodeSettings& aSettings,
                   const std::string& aPath)
{
  wigeonfold::node::Node node(aSettings, aPath);
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
  return static_cast<int>(
    wigeonfold::RunDaemon("wigeonfold-node",
                          "sidecar that routes and forwards requests",
                          aCount,
                          aArguments,
                          wigeonfold::node::ReadNodeSettings,
                          RunNode));
}
