// Clock types used in signatures.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wigeonfold {

// Monotonic time that also counts the time in which the machine was suspended
// (CLOCK_BOOTTIME). std::chrono::steady_clock does not count it, so a
// lease held across a suspension would look valid. Thread safe.
struct Clock
{
  // NOLINTBEGIN(readability-identifier-naming): names required by
  // std::chrono
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
  // NOLINTEND(readability-identifier-naming)
};
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

inline int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

inline int64_t ToMicroseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

} // namespace wigeonfold
