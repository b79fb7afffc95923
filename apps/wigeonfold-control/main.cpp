// wigeonfold-control: accepts changes and serves nodes and operators.
#include "Process.h"

#include "wigeonfold/base/CommandLine.h"

#include <malloc.h>

namespace {

// Each malloc arena retains the memory freed in it. Control VMs are small and
// have few threads, so one arena is enough.
constexpr int kMallocArenas = 1;

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace wigeonfold;
  mallopt(M_ARENA_MAX, kMallocArenas);
  return static_cast<int>(
    RunDaemon("wigeonfold-control",
              "accepts changes, serves nodes and operators",
              aCount,
              aArguments,
              control::ReadControlSettings,
              control::RunControl));
}
