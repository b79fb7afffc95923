#include "wigeonfold/rollout/Order.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/settings/Schema.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace wigeonfold::rollout {

namespace {

using settings::JoinPath;
using settings::Tree;

constexpr const char* kVersion = "rollout.version";
constexpr const char* kDuration = "rollout.duration";
constexpr const char* kOrderedAt = "rollout.ordered-at";
constexpr const char* kState = "rollout.state";
constexpr const char* kStage = "rollout.stage";
constexpr const char* kExposure = "rollout.exposure-percent";
constexpr const char* kOrderId = "rollout.order-id";

// A bad version may receive this part of the exposure share by plan.
constexpr double kPlannedPercent = 80;

constexpr std::array kStates{ State::Running,
                              State::Completed,
                              State::RolledBack,
                              State::Stopped };

std::string PathOf(const std::string& aService)
{
  return JoinPath(settings::kRollouts, aService);
}

State ParseState(const std::string& aText)
{
  const auto state =
    std::find_if(kStates.begin(), kStates.end(), [&aText](State aState) {
      return aText == ToString(aState);
    });
  return state == kStates.end() ? State::Stopped : *state;
}

wire::Change BaseChange(const Tree& aTree, WallTime aNow)
{
  wire::Change change;
  change.base = wire::ToWire(aTree.TreeVersion());
  change.author = "rollout";
  change.acceptedAtMs = aNow.time_since_epoch().count();
  return change;
}

// Unique for each order: the base version is a part of it, and of the changes
// with the same base at most one is accepted. The time is a part of it too, as
// two changes with the same id must not differ.
std::string MakeOrderId(const OrderRequest& aRequest,
                        const Version& aBase,
                        WallTime aNow)
{
  const std::string text = aRequest.m_service + '\n' + aRequest.m_version +
                           '\n' + std::to_string(aRequest.m_duration.count()) +
                           '\n' + wigeonfold::ToString(aBase) + '\n' +
                           std::to_string(aNow.time_since_epoch().count());
  std::array<char, 17> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx",
                static_cast<unsigned long long>(Hash64(text)));
  return digits.data();
}

// Describes what is wrong with a request, whatever the state of the service.
std::optional<std::string> ProblemOf(const Tree& aTree,
                                     const OrderRequest& aRequest)
{
  const std::string service = JoinPath(settings::kServices, aRequest.m_service);
  if (aRequest.m_service.empty() ||
      aRequest.m_service.find('/') != std::string::npos ||
      aTree.Branches().count(service) == 0) {
    return "service '" + aRequest.m_service + "' is unknown";
  }
  if (aRequest.m_duration.count() <= 0) {
    return std::string("the duration is not greater than 0");
  }
  if (aRequest.m_version.empty()) {
    return std::string("the version is empty");
  }
  const std::string path = PathOf(aRequest.m_service);
  if (auto problem =
        settings::SettingProblem(path, kVersion, aRequest.m_version)) {
    return problem;
  }
  return settings::SettingProblem(
    path, kDuration, std::to_string(aRequest.m_duration.count()));
}

wire::Change MakeOrderChange(const Tree& aTree,
                             const OrderRequest& aRequest,
                             int aExposurePercent,
                             WallTime aNow)
{
  const std::string path = PathOf(aRequest.m_service);
  const std::string id = MakeOrderId(aRequest, aTree.TreeVersion(), aNow);
  wire::Change change = BaseChange(aTree, aNow);
  change.changeId = "rollout-" + id;
  change.comment =
    "rollout of " + aRequest.m_service + " to " + aRequest.m_version;
  wire::Operation clear;
  clear.kind = wire::OperationKind::ClearBranch;
  clear.path = path;
  change.operations = {
    clear,
    settings::SetOperation(path, kVersion, aRequest.m_version),
    settings::SetOperation(
      path, kDuration, std::to_string(aRequest.m_duration.count())),
    settings::SetOperation(
      path, kOrderedAt, std::to_string(aNow.time_since_epoch().count())),
    settings::SetOperation(path, kState, ToString(State::Running)),
    settings::SetOperation(path, kStage, ToString(Stage::Canary)),
    settings::SetOperation(path, kExposure, std::to_string(aExposurePercent)),
    settings::SetOperation(path, kOrderId, id),
  };
  return change;
}

struct StepInfo
{
  StepKind m_kind;
  const char* m_name; // in the id of the change
  const char* m_key;
  const char* m_value;
};

const StepInfo& FindStep(StepKind aKind)
{
  static const std::array kSteps{
    StepInfo{ StepKind::Full, "full", kStage, ToString(Stage::Full) },
    StepInfo{
      StepKind::Complete, "completed", kState, ToString(State::Completed) },
    StepInfo{
      StepKind::RollBack, "rolled-back", kState, ToString(State::RolledBack) },
    StepInfo{ StepKind::Stop, "stopped", kState, ToString(State::Stopped) },
  };
  return *std::find_if(
    kSteps.begin(), kSteps.end(), [aKind](const StepInfo& aInfo) {
      return aInfo.m_kind == aKind;
    });
}

} // namespace

const char* ToString(State aState)
{
  switch (aState) {
    case State::Running:
      return "running";
    case State::Completed:
      return "completed";
    case State::RolledBack:
      return "rolled-back";
    case State::Stopped:
      break;
  }
  return "stopped";
}

const char* ToString(Stage aStage)
{
  return aStage == Stage::Full ? "full" : "canary";
}

std::optional<Order> FindOrder(const Tree& aTree, const std::string& aService)
{
  const std::string path = PathOf(aService);
  const auto branch = aTree.Branches().find(path);
  if (branch == aTree.Branches().end() || aTree.Text(path, kVersion).empty()) {
    return std::nullopt;
  }
  Order order;
  order.m_service = aService;
  order.m_version = aTree.Text(path, kVersion);
  order.m_duration = std::chrono::milliseconds(aTree.Integer(path, kDuration));
  order.m_orderedAt =
    WallTime(std::chrono::milliseconds(aTree.Integer(path, kOrderedAt)));
  order.m_state = ParseState(aTree.Text(path, kState));
  order.m_stage = aTree.Text(path, kStage) == ToString(Stage::Full)
                    ? Stage::Full
                    : Stage::Canary;
  order.m_exposurePercent = static_cast<int>(aTree.Integer(path, kExposure));
  order.m_orderId = aTree.Text(path, kOrderId);
  order.m_modified = branch->second->m_modified;
  return order;
}

std::vector<Order> RunningOrders(const Tree& aTree)
{
  std::vector<Order> orders;
  for (const std::string& service : aTree.Children(settings::kRollouts)) {
    auto order = FindOrder(aTree, service);
    if (order && order->m_state == State::Running) {
      orders.push_back(std::move(*order));
    }
  }
  return orders;
}

Duration LongestTimeout(const Tree& aTree, const std::string& aService)
{
  Duration longest = Duration::zero();
  for (const std::string& route : aTree.Children(settings::kRoutes)) {
    const std::string path = JoinPath(settings::kRoutes, route);
    const auto parts =
      settings::ParseServiceWeights(aTree.Text(path, "route.services"));
    const bool leads =
      parts &&
      std::any_of(parts->begin(), parts->end(), [&](const auto& aPart) {
        return aPart.m_service == aService;
      });
    if (leads) {
      longest = std::max(longest, aTree.Time(path, "route.timeout"));
    }
  }
  if (longest == Duration::zero()) {
    return aTree.Time(JoinPath(settings::kServices, aService),
                      "request.timeout");
  }
  return longest;
}

int PlannedExposurePercent(double aExposureShare)
{
  return static_cast<int>(std::floor(kPlannedPercent * aExposureShare));
}

OrderDecision DecideOrder(const Tree& aTree,
                          const OrderRequest& aRequest,
                          std::optional<WallTime> aAcknowledgedAt,
                          int aExposurePercent,
                          WallTime aNow)
{
  OrderDecision decision;
  if (auto problem = ProblemOf(aTree, aRequest)) {
    decision.m_problem = std::move(*problem);
    return decision;
  }
  const auto present = FindOrder(aTree, aRequest.m_service);
  const bool running = present && present->m_state == State::Running;
  const bool same = present && present->m_version == aRequest.m_version &&
                    present->m_duration == aRequest.m_duration;
  if (running && !same) {
    decision.m_verdict = OrderVerdict::Differs;
    decision.m_problem =
      "a rollout of " + aRequest.m_service + " to " + present->m_version +
      " in " + std::to_string(present->m_duration.count()) + " ms is running";
    return decision;
  }
  const bool recent =
    present &&
    aNow - aAcknowledgedAt.value_or(present->m_orderedAt) <= kResendTime;
  if (same && (running || recent)) {
    decision.m_verdict = OrderVerdict::Known;
    return decision;
  }
  decision.m_verdict = OrderVerdict::Store;
  decision.m_change = MakeOrderChange(aTree, aRequest, aExposurePercent, aNow);
  return decision;
}

std::optional<wire::Change> MakeStepChange(const Tree& aTree,
                                           const Step& aStep,
                                           WallTime aNow)
{
  const auto order = FindOrder(aTree, aStep.m_service);
  if (!order || order->m_state != State::Running ||
      order->m_orderId != aStep.m_orderId) {
    return std::nullopt;
  }
  const StepInfo& info = FindStep(aStep.m_kind);
  wire::Change change = BaseChange(aTree, aNow);
  change.changeId = aStep.m_orderId + "-" + info.m_name + "-" +
                    wigeonfold::ToString(aTree.TreeVersion());
  change.comment = "rollout of " + aStep.m_service + " to " + order->m_version +
                   ": " + aStep.m_reason;
  change.operations = { settings::SetOperation(
    PathOf(aStep.m_service), info.m_key, info.m_value) };
  return change;
}

} // namespace wigeonfold::rollout
