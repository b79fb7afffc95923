// Dialect with the Wigeonfold header fields; see docs/design.md 6.1.
#pragma once

#include "wigeonfold/forwarding/Dialect.h"

namespace wigeonfold::forwarding {

inline constexpr const char* kAccountHeader = "Wigeonfold-Account";
inline constexpr const char* kDeadlineHeader = "Wigeonfold-Deadline-Ms";
inline constexpr const char* kDepthHeader = "Wigeonfold-Depth";
inline constexpr const char* kIdempotentHeader = "Wigeonfold-Idempotent";
// Identifies the request in logs. A target that sends it back with its answer
// lets its node tell that answer from a late copy of an earlier one.
inline constexpr const char* kRequestIdHeader = "Wigeonfold-Request-Id";
inline constexpr const char* kRunHeader = "Wigeonfold-Run";
inline constexpr const char* kTargetHeader = "Wigeonfold-Target";
inline constexpr const char* kReasonHeader = "Wigeonfold-Reason";
// "yes" in a target's answer: the target leaves.
inline constexpr const char* kLeavingHeader = "Wigeonfold-Leaving";
// In a target's answer: requests per second that it takes from all nodes.
inline constexpr const char* kLimitHeader = "Wigeonfold-Request-Limit";

// Requests with a greater call depth are rejected.
inline constexpr int kMaxDepth = 6;

// aSeed begins the ids of requests that come without one; it should differ from
// node to node.
std::unique_ptr<Dialect> MakeNativeDialect(uint64_t aSeed);

} // namespace wigeonfold::forwarding
