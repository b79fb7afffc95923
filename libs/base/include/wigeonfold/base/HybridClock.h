// Hybrid logical clock: orders events over processes by cause.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace wigeonfold {

// Upper 48 bits: wall clock in milliseconds; lower 16 bits: counter.
using HybridTime = uint64_t;

// Thread safe. A stamp from Now() is greater than every stamp given or
// observed before.
class HybridClock
{
public:
  HybridTime Now(std::chrono::system_clock::time_point aWall);

  // Merges the stamp of a received message.
  void Observe(HybridTime aRemote);

private:
  std::atomic<HybridTime> m_last{ 0 };
};

// Wall-clock part of a stamp.
std::chrono::milliseconds WallPart(HybridTime aTime);

// The process-wide clock used by the event log and the frame codec.
HybridClock& ProcessClock();

} // namespace wigeonfold
