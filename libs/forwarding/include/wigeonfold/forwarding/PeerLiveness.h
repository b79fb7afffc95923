// Decides from the bytes received on a connection whether the node at its other
// end still answers.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>

namespace wigeonfold::forwarding {

enum class PeerCondition
{
  Alive,
  Quiet,  // ask for a sign of life
  Silent, // send no further calls; idempotent calls try another target
  Lost,   // give up the connection and its calls
};

// Watches one connection while calls are in progress on it. Not thread safe.
//
// Received bytes count, not complete messages: a large answer on a slow link
// arrives over a second. Time is counted between checks and at most
// kMaxCheckGap each, so that a pause of this process, after which answers wait
// in its sockets, does not count as silence of the peer.
class PeerLiveness
{
public:
  // aBytesReceived is the total of the connection so far. Call every 50 ms.
  PeerCondition Check(uint64_t aBytesReceived, bool aHasCalls, TimePoint aNow);

  static constexpr Duration kQuietAfter = std::chrono::milliseconds(150);
  // Three signs of life fit. Packet loss and a busy peer cause such pauses too,
  // so calls that aren't idempotent keep waiting.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(500);
  // A VM that disappeared sends no reset.
  static constexpr Duration kLostAfter = std::chrono::milliseconds(1500);
  // Twice the interval of the checks.
  static constexpr Duration kMaxCheckGap = std::chrono::milliseconds(100);

private:
  uint64_t m_bytesReceived = 0;
  TimePoint m_lastCheck{};
  Duration m_silence{};
};

} // namespace wigeonfold::forwarding
