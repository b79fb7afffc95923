// The project's own fields, as docs/design.md 6.1 describes them.
#pragma once

#include "wigeonfold/forwarding/Dialect.h"

namespace wigeonfold::forwarding {

inline constexpr const char* kAccountHeader = "Wigeonfold-Account";
inline constexpr const char* kDeadlineHeader = "Wigeonfold-Deadline-Ms";
inline constexpr const char* kDepthHeader = "Wigeonfold-Depth";
inline constexpr const char* kIdempotentHeader = "Wigeonfold-Idempotent";
// Names the request in logs.
inline constexpr const char* kRequestIdHeader = "Wigeonfold-Request-Id";
inline constexpr const char* kRunHeader = "Wigeonfold-Run";
inline constexpr const char* kTargetHeader = "Wigeonfold-Target";
inline constexpr const char* kReasonHeader = "Wigeonfold-Reason";

inline constexpr int kMaxDepth = 6;

std::unique_ptr<Dialect> MakeNativeDialect();

} // namespace wigeonfold::forwarding
