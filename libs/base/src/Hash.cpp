#include "wigeonfold/base/Hash.h"

#include <xxhash.h>

namespace wigeonfold {

uint64_t Hash64(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

} // namespace wigeonfold
