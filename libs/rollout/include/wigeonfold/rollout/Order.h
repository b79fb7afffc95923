// Orders of rollouts as the settings tree holds them: reading them, accepting a
// new one, and the changes that move one to its next step.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::rollout {

// Wall clock: an order outlives processes and VMs, so its age can't be measured
// with a monotonic clock. The clocks of the control VMs must agree within a
// small part of a rollout's duration.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

enum class State
{
  Running,
  Completed,
  RolledBack,
  Stopped, // by an operator
};

enum class Stage
{
  Canary, // a small share of the requests goes to the version
  Full,   // all of them
};

// The value of rollout.state. Thread safe.
const char* ToString(State aState);
const char* ToString(Stage aStage);

struct Order
{
  std::string m_service;
  std::string m_version;
  std::chrono::milliseconds m_duration{};
  WallTime m_orderedAt;
  State m_state = State::Running;
  Stage m_stage = Stage::Canary;
  int m_exposurePercent = 0;
  std::string m_orderId;
  // Version of the configuration that last changed the order.
  Version m_modified;

  bool operator==(const Order&) const = default;
};

// Nothing when the service has none, or when its branch has no version. A state
// that is not known counts as Stopped. Thread safe.
std::optional<Order> FindOrder(const settings::Tree& aTree,
                               const std::string& aService);
// The orders that are running, by the name of their service. Thread safe.
std::vector<Order> RunningOrders(const settings::Tree& aTree);
// The longest time for which a caller of the service may wait: the greatest
// route.timeout of the routes that lead to it, or its request.timeout without
// such a route. Thread safe.
Duration LongestTimeout(const settings::Tree& aTree,
                        const std::string& aService);

// ---- Exposure --------------------------------------------------------------

// Percentage of a service's requests that may go to a version in trial, for the
// share of them that a bad version may receive at most: 80 % of it, rounded
// down. The rest covers retries by callers and nodes that learn late of a step.
// Thread safe.
int PlannedExposurePercent(double aExposureShare);

// ---- New orders ------------------------------------------------------------

struct OrderRequest
{
  std::string m_service;
  std::string m_version;
  std::chrono::milliseconds m_duration{};
};

// For this time after its acknowledgement an order that is sent again is the
// same order, even if it has ended.
inline constexpr std::chrono::seconds kResendTime{ 10 };

enum class OrderVerdict
{
  Store,   // a new order
  Known,   // the same order is stored already
  Differs, // another order is running for the service
  Invalid,
};

struct OrderDecision
{
  OrderVerdict m_verdict = OrderVerdict::Invalid;
  std::string m_problem; // Differs, Invalid
  wire::Change m_change; // Store: based on the version of the tree
};

// Decides on an order that an operator sends. aAcknowledgedAt is the time at
// which the service's present order was acknowledged, where it is known;
// otherwise the time of the order counts. Thread safe.
OrderDecision DecideOrder(const settings::Tree& aTree,
                          const OrderRequest& aRequest,
                          std::optional<WallTime> aAcknowledgedAt,
                          int aExposurePercent,
                          WallTime aNow);

// ---- Steps -----------------------------------------------------------------

enum class StepKind
{
  Full,
  Complete,
  RollBack,
  Stop, // by an operator
};

struct Step
{
  StepKind m_kind = StepKind::RollBack;
  std::string m_service;
  std::string m_orderId;
  std::string m_reason; // becomes the comment of the change
};

// The change that takes a step, a compare-and-set on the version of aTree. Its
// id is derived from the order, the step and that version, since the result of
// a change that lost against another one is kept under its id. Nothing when the
// tree does not hold this order as running. Thread safe.
std::optional<wire::Change> MakeStepChange(const settings::Tree& aTree,
                                           const Step& aStep,
                                           WallTime aNow);

} // namespace wigeonfold::rollout
