#include "wigeonfold/rollout/ServiceRollout.h"

#include "wigeonfold/settings/Schema.h"

namespace wigeonfold::rollout {

namespace {

Phase PhaseOf(const std::string& aState, const std::string& aStage)
{
  if (aState == "completed") {
    return Phase::Completed;
  }
  if (aState == "running" && aStage == "canary") {
    return Phase::Canary;
  }
  return aState == "running" && aStage == "full" ? Phase::Full
                                                 : Phase::Reverted;
}

} // namespace

const char* ToString(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Canary:
      return "canary";
    case Phase::Full:
      return "full";
    case Phase::Completed:
      return "completed";
    case Phase::Reverted:
      break;
  }
  return "reverted";
}

std::optional<ServiceRollout> ReadServiceRollout(const settings::Tree& aTree,
                                                 const std::string& aService)
{
  const std::string path = settings::JoinPath(settings::kRollouts, aService);
  if (aTree.Branches().count(path) == 0) {
    return std::nullopt;
  }
  ServiceRollout rollout;
  rollout.m_version = aTree.Text(path, "rollout.version");
  rollout.m_phase = PhaseOf(aTree.Text(path, "rollout.state"),
                            aTree.Text(path, "rollout.stage"));
  rollout.m_exposurePercent =
    static_cast<int>(aTree.Integer(path, "rollout.exposure-percent"));
  rollout.m_orderId = aTree.Text(path, "rollout.order-id");
  return rollout.m_version.empty() ? std::nullopt : std::optional(rollout);
}

std::vector<std::string> RunningRollouts(const settings::Tree& aTree)
{
  std::vector<std::string> running;
  for (std::string& service : aTree.Children(settings::kRollouts)) {
    const auto rollout = ReadServiceRollout(aTree, service);
    if (rollout && rollout->IsRunning()) {
      running.push_back(std::move(service));
    }
  }
  return running;
}

} // namespace wigeonfold::rollout
