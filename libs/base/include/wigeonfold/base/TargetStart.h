// Identity of one start of a target.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace wigeonfold {

struct TargetStart
{
  std::string m_instance; // target's id
  // Wall clock at the target's start in ms since 1970, 0 when not reported. A
  // target that starts again under the same id reports a greater value.
  int64_t m_startedAtMs = 0;
  friend bool operator==(const TargetStart&, const TargetStart&) = default;
};

// Whether aStarts holds this start or a later one of the same instance. Thread
// safe.
template<class Starts>
bool Covers(const Starts& aStarts, const TargetStart& aStart)
{
  return std::any_of(
    aStarts.begin(), aStarts.end(), [&](const TargetStart& aOne) {
      return aOne.m_instance == aStart.m_instance &&
             aStart.m_startedAtMs <= aOne.m_startedAtMs;
    });
}

} // namespace wigeonfold
