// Hybrid logical clock: orders the events of several processes so that a cause
// comes before its effects.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace wigeonfold {

// Upper 48 bits: wall clock in milliseconds; lower 16 bits: counter.
using HybridTime = uint64_t;

// Thread safe. A stamp from Now() is greater than every stamp that Now()
// returned or Observe() received before.
class HybridClock
{
public:
  HybridTime Now(std::chrono::system_clock::time_point aWall);

  // Advances the clock to at least aRemote, the stamp of a received message.
  void Observe(HybridTime aRemote);

private:
  std::atomic<HybridTime> m_last{ 0 };
};

// Wall-clock part of a stamp.
std::chrono::milliseconds WallPart(HybridTime aTime);

// The process-wide clock used by the event log and the frame codec.
HybridClock& ProcessClock();

} // namespace wigeonfold
