// Compression of large payloads.
#pragma once

#include "wigeonfold/base/Error.h"

#include <string>
#include <string_view>

namespace wigeonfold::wire {

// Compresses at the fastest level, because a control VM has only a fraction of
// a core. Thread safe.
std::string Pack(std::string_view aBytes);

// Decompresses the result of Pack(). aLength is the uncompressed length stated
// by the sender. Fails with Protocol and aPeer when it exceeds aLimit, or when
// the data is corrupt or has another length. Thread safe.
Result<std::string> Unpack(std::string_view aPacked,
                           size_t aLength,
                           size_t aLimit,
                           const std::string& aPeer);

} // namespace wigeonfold::wire
