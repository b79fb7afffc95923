// wigeonfold-control: accepts changes and serves nodes and operators.
#include "Process.h"

#include "wigeonfold/base/CommandLine.h"

#include <malloc.h>

namespace {

// Each further malloc arena keeps freed memory for itself; control VMs are
// small and have a thread for each duty.
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
