#include "RolloutFormat.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/settings/Schema.h"

#include <nlohmann/json.hpp>

namespace wigeonfold::control {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kPath = "/v1/rollouts";
constexpr const char* kStopPath = "/v1/rollouts/stop";

Json ToJson(const rollout::Order& aOrder)
{
  return { { "service", aOrder.m_service },
           { "version", aOrder.m_version },
           { "state", rollout::ToString(aOrder.m_state) },
           { "stage", rollout::ToString(aOrder.m_stage) },
           { "durationMs", aOrder.m_duration.count() },
           { "orderedAtMs", aOrder.m_orderedAt.time_since_epoch().count() },
           { "exposurePercent", aOrder.m_exposurePercent },
           { "orderId", aOrder.m_orderId },
           { "changedBy", ToString(aOrder.m_modified) } };
}

std::string ListRollouts(const settings::Tree& aTree)
{
  Json rollouts = Json::array();
  for (const std::string& service : aTree.Children(settings::kRollouts)) {
    if (const auto order = rollout::FindOrder(aTree, service)) {
      rollouts.push_back(ToJson(*order));
    }
  }
  return DumpJson(Json{ { "rollouts", std::move(rollouts) } });
}

class RolloutFormat : public registry::OperatorFormat
{
public:
  registry::ApiReply FormatAcceptResult(
    const wire::AcceptResult& aResult) const override
  {
    const std::string problem =
      aResult.problems.empty() ? "" : aResult.problems.front();
    switch (aResult.outcome) {
      case wire::AcceptOutcome::Accepted:
        return { 200, "{}", "" };
      case wire::AcceptOutcome::Conflict:
        return registry::FormatProblem(409, problem);
      case wire::AcceptOutcome::Invalid:
        break;
    }
    return registry::FormatProblem(422, problem);
  }
  registry::ApiReply FormatUnknownOutcome(
    const std::string& aProblem) const override
  {
    return registry::FormatUnknownOutcome(aProblem);
  }
  registry::ApiReply HandleRead(const registry::RegistryView& aRegistry,
                                const registry::ClusterView& aCluster,
                                const std::string& aTarget) const override
  {
    if (auto redirect = RedirectUnlessLeader(aCluster, aTarget)) {
      return *redirect;
    }
    return { 200, ListRollouts(*aRegistry.m_tree), "" };
  }
  std::optional<registry::ApiReply> RedirectUnlessLeader(
    const registry::ClusterView& aCluster,
    const std::string& aTarget) const override
  {
    return registry::RedirectUnlessLeader(aCluster, aTarget);
  }
};

template<class Read>
Result<rollout::OrderRequest> ParseBody(const std::string& aBody, Read aRead)
{
  try {
    return aRead(Json::parse(aBody));
  } catch (const std::exception& error) {
    return Error{
      ErrorCode::InvalidArgument, "read rollout", "", error.what()
    };
  }
}

} // namespace

bool IsRolloutPath(const std::string& aPath)
{
  return aPath == kPath || IsRolloutStop(aPath);
}

bool IsRolloutStop(const std::string& aPath)
{
  return aPath == kStopPath;
}

Result<rollout::OrderRequest> ParseRolloutStart(const std::string& aBody)
{
  return ParseBody(aBody, [](const Json& aJson) {
    return rollout::OrderRequest{ aJson.at("service").get<std::string>(),
                                  aJson.at("version").get<std::string>(),
                                  std::chrono::milliseconds(
                                    aJson.at("durationMs").get<int64_t>()) };
  });
}

Result<rollout::OrderRequest> ParseRolloutStop(const std::string& aBody)
{
  return ParseBody(aBody, [](const Json& aJson) {
    return rollout::OrderRequest{ aJson.at("service").get<std::string>(),
                                  "",
                                  {} };
  });
}

const registry::OperatorFormat& NativeRolloutFormat()
{
  static const RolloutFormat format;
  return format;
}

} // namespace wigeonfold::control
