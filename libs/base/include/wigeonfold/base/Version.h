// Position of an accepted configuration in the total order.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wigeonfold {

// The number counts accepted changes. The generation is drawn when a cluster
// is bootstrapped or recovered by force and is greater than any earlier one,
// so that a pair is never reissued for other content.
struct Version
{
  int64_t m_generation = 0;
  int64_t m_number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
  auto operator<=>(const Version&) const = default;
};

// "generation.number".
std::string ToString(const Version& aVersion);

} // namespace wigeonfold
