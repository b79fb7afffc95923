#include "Commands.h"
#include "Draft.h"

#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace wigeonfold;

client::Environment RealEnvironment()
{
  return { net::HttpCall,
           [] { return Clock::now(); },
           [](Duration aTime) { std::this_thread::sleep_for(aTime); },
           client::MakeChangeId,
           std::random_device()() };
}

ExitStatus Run(int aCount, const char* const* aArguments)
{
  ExitStatus status = ExitStatus::Usage;
  const auto arguments = client::ParseArguments(aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  if (arguments->m_command == client::Command::Discard) {
    return client::RunDiscard(*arguments, std::cout, std::cerr);
  }
  const auto settings = client::LoadSettings(*arguments, status);
  if (!settings) {
    return status;
  }
  if (arguments->m_command == client::Command::CheckConfig) {
    return ExitStatus::Success;
  }
  const client::Environment environment = RealEnvironment();
  client::ControlClient control(
    environment, settings->m_control, settings->m_timeout);
  client::Session session{ *arguments, *settings, environment,
                           control,    std::cout, std::cerr };
  return client::RunCommand(session);
}

} // namespace

int main(int aCount, char** aArguments)
{
  return static_cast<int>(Run(aCount, aArguments));
}
