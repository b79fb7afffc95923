// Limits the hedges of a route to a percentage of its first attempts.
#pragma once

#include <algorithm>
#include <cstdint>

namespace wigeonfold::forwarding {

// Token bucket that starts empty and is filled by first attempts, so that over
// any time since the start the hedges of a fleet are at most the given
// percentage of its first attempts, however many nodes it has. Not thread safe.
class HedgeBudget
{
public:
  // aPercent is the route's hedge-percent.
  void OnFirstAttempt(int aPercent)
  {
    m_hundredths = std::min(m_hundredths + aPercent, kMaxHundredths);
  }
  bool MayHedge() const { return m_hundredths >= kHedge; }
  // Precondition: MayHedge().
  void Take() { m_hundredths -= kHedge; }
  // The hedge was refused by the target's node, so it was no extra attempt.
  void Return()
  {
    m_hundredths = std::min(m_hundredths + kHedge, kMaxHundredths);
  }

  // Most hedges that are saved for a burst of slow answers.
  static constexpr int64_t kMaxSaved = 10;

private:
  static constexpr int64_t kHedge = 100;
  static constexpr int64_t kMaxHundredths = kMaxSaved * kHedge;

  int64_t m_hundredths = 0; // of a hedge
};

} // namespace wigeonfold::forwarding
