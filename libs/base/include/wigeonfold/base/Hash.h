// Checksums and digests.
#pragma once

#include <cstdint>
#include <string_view>

namespace wigeonfold {

// 64-bit XXH3 of the bytes.
uint64_t Hash64(std::string_view aBytes);

} // namespace wigeonfold
