// The calls of the project's own API that order and show rollouts
// (docs/OPERATIONS.md). Pure functions; thread safe.
#pragma once

#include "wigeonfold/registry/OperatorFormat.h"
#include "wigeonfold/rollout/Order.h"

#include <string>

namespace wigeonfold::control {

// aPath is a request target without its query.
bool IsRolloutPath(const std::string& aPath);
bool IsRolloutStop(const std::string& aPath);

// Body of POST /v1/rollouts. Fails with InvalidArgument; the detail names the
// field.
Result<rollout::OrderRequest> ParseRolloutStart(const std::string& aBody);
// Body of POST /v1/rollouts/stop; only the service is set.
Result<rollout::OrderRequest> ParseRolloutStop(const std::string& aBody);

const registry::OperatorFormat& NativeRolloutFormat();

} // namespace wigeonfold::control
