// Dialect with the Wigeonfold header fields; see docs/design.md 6.1.
#pragma once

#include "wigeonfold/forwarding/Dialect.h"

namespace wigeonfold::forwarding {

inline constexpr const char* kAccountHeader = "Wigeonfold-Account";
inline constexpr const char* kDeadlineHeader = "Wigeonfold-Deadline-Ms";
inline constexpr const char* kDepthHeader = "Wigeonfold-Depth";
inline constexpr const char* kIdempotentHeader = "Wigeonfold-Idempotent";
// Identifies the request in logs.
inline constexpr const char* kRequestIdHeader = "Wigeonfold-Request-Id";
inline constexpr const char* kRunHeader = "Wigeonfold-Run";
inline constexpr const char* kTargetHeader = "Wigeonfold-Target";
inline constexpr const char* kReasonHeader = "Wigeonfold-Reason";

// Requests with a greater call depth are rejected.
inline constexpr int kMaxDepth = 6;

std::unique_ptr<Dialect> MakeNativeDialect();

} // namespace wigeonfold::forwarding
