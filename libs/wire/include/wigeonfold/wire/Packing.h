// Compression of large payloads.
#pragma once

#include "wigeonfold/base/Error.h"

#include <string>
#include <string_view>

namespace wigeonfold::wire {

// Compressed bytes. Favours time over size: control VMs have a part of a core.
// Thread safe.
std::string Pack(std::string_view aBytes);

// The inverse. aLength is the length before packing, as the sender states it;
// fails with Protocol and the peer when it is greater than aLimit, or when the
// bytes are damaged. Thread safe.
Result<std::string> Unpack(std::string_view aPacked,
                           size_t aLength,
                           size_t aLimit,
                           const std::string& aPeer);

} // namespace wigeonfold::wire
