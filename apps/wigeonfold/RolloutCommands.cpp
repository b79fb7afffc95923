// The commands rollout start, show and stop.
#include "Commands.h"

#include "wigeonfold/base/Text.h"

#include <ostream>

namespace wigeonfold::client {

namespace {

using namespace std::chrono_literals;

constexpr const char* kRollouts = "/v1/rollouts";

// Prints the answer to an order.
ExitStatus PostRollout(Session& aSession,
                       const std::string& aTarget,
                       const Json& aBody,
                       const std::string& aDone)
{
  const auto answer = aSession.m_client.Send("POST", aTarget, DumpJson(aBody));
  if (!answer) {
    return ReportError(aSession.m_err, answer.error());
  }
  if (answer.value().m_status != 200) {
    return ReportFailure(aSession, ErrorText(answer.value()));
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(answer.value().m_json) << '\n';
  } else {
    aSession.m_out << aDone << '\n';
  }
  return ExitStatus::Success;
}

void PrintRollout(Session& aSession, const Json& aRollout)
{
  aSession.m_out << TextOf(aRollout, "service") << "  "
                 << TextOf(aRollout, "version") << "  "
                 << TextOf(aRollout, "state") << "  stage "
                 << TextOf(aRollout, "stage") << "  "
                 << aRollout.value("exposurePercent", 0) << " %  within "
                 << aRollout.value("durationMs", int64_t{ 0 })
                 << " ms  changed by " << TextOf(aRollout, "changedBy") << '\n';
}

} // namespace

ExitStatus RunRolloutStart(Session& aSession)
{
  const Arguments& arguments = aSession.m_arguments;
  SettingsFile given = SettingsFile::Parse(
    "--duration", "[rollout]\nduration = " + arguments.m_duration + "\n");
  const Duration duration = given.Time("rollout", "duration", 0s, 1ms, 168h);
  if (!ReportProblems(given.Finish())) {
    return ExitStatus::Usage;
  }
  return PostRollout(aSession,
                     kRollouts,
                     { { "service", arguments.m_service },
                       { "version", arguments.m_version },
                       { "durationMs", ToMilliseconds(duration) } },
                     "rollout of " + arguments.m_service + " to " +
                       arguments.m_version + " ordered");
}

ExitStatus RunRolloutStop(Session& aSession)
{
  const std::string& service = aSession.m_arguments.m_service;
  return PostRollout(aSession,
                     std::string(kRollouts) + "/stop",
                     { { "service", service } },
                     "rollout of " + service + " stopped");
}

ExitStatus RunRolloutShow(Session& aSession)
{
  const std::string& service = aSession.m_arguments.m_service;
  const auto answer = GetJson(aSession, kRollouts);
  if (!answer) {
    return ReportError(aSession.m_err, answer.error());
  }
  Json found = Json::array();
  for (const Json& rollout : answer.value().at("rollouts")) {
    if (service.empty() || TextOf(rollout, "service") == service) {
      found.push_back(rollout);
    }
  }
  if (!service.empty() && found.empty()) {
    return ReportFailure(aSession, "there is no rollout of '" + service + "'");
  }
  if (aSession.m_arguments.m_json) {
    aSession.m_out << DumpJson(Json{ { "rollouts", found } }) << '\n';
    return ExitStatus::Success;
  }
  for (const Json& rollout : found) {
    PrintRollout(aSession, rollout);
  }
  return ExitStatus::Success;
}

} // namespace wigeonfold::client
