// Position of an accepted configuration in the total order.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wigeonfold {

// The number counts accepted changes. The generation is chosen when a
// cluster is bootstrapped or recovered by force and is greater than any earlier
// one, so that two different contents never have the same version.
struct Version
{
  int64_t m_generation = 0;
  int64_t m_number = 0;

  bool operator==(const Version&) const = default;
  // Not defaulted: clang-tidy 14 mistakes the 0 in the defaulted operator for
  // a null pointer and warns in every file that compares versions.
  std::strong_ordering operator<=>(const Version& aOther) const
  {
    const auto order = m_generation <=> aOther.m_generation;
    return std::is_neq(order) ? order : m_number <=> aOther.m_number;
  }
};

// "generation.number".
std::string ToString(const Version& aVersion);

} // namespace wigeonfold
