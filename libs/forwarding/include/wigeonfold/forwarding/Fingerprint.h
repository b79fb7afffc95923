// Recognizes requests with the same content.
#pragma once

#include "wigeonfold/wire/gen/peer_types.h"

#include <cstdint>
#include <string>

namespace wigeonfold::forwarding {

// Hash of the route, method, path, client account and body. A caller that
// returns, at this node or another one, has another request id but the same
// fingerprint. Thread safe.
uint64_t FingerprintOf(const wire::CallRequest& aRequest);

// Sixteen hexadecimal digits, for logs. Thread safe.
std::string FormatFingerprint(uint64_t aFingerprint);

} // namespace wigeonfold::forwarding
