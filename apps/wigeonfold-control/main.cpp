// wigeonfold-control: accepts changes and serves nodes and operators.
#include "Process.h"

#include "wigeonfold/base/CommandLine.h"

int main(int aCount, char** aArguments)
{
  using namespace wigeonfold;
  return static_cast<int>(
    RunDaemon("wigeonfold-control",
              "accepts changes, serves nodes and operators",
              aCount,
              aArguments,
              control::ReadControlSettings,
              control::RunControl));
}
