// Stops the hedges of a service while its targets are overloaded.
#pragma once

#include "wigeonfold/base/Time.h"

namespace wigeonfold::forwarding {

// Part of recent events that had a property. Not thread safe.
class RecentShare
{
public:
  explicit RecentShare(Duration aHalfLife)
    : m_halfLife(aHalfLife)
  {
  }

  void Note(bool aHasProperty, TimePoint aNow);
  // True if more than aLimit of the events had the property. False while the
  // events count for fewer than aMinEvents, an event counting for half after
  // the half-life.
  bool Exceeds(double aLimit, double aMinEvents, TimePoint aNow) const;

private:
  double Factor(TimePoint aNow) const;

  Duration m_halfLife;
  double m_all = 0;
  double m_marked = 0;
  TimePoint m_updatedAt{};
};

// A hedge helps when one target is slow. When all are overloaded, answers are
// slow as well, and a hedge would add to the load. Not thread safe.
class HedgeGuard
{
public:
  // An attempt that is no hedge has ended. aOverloaded: the target's node
  // refused it, or it waited there until its latency objective had passed.
  void OnAttemptEnded(bool aOverloaded, TimePoint aNow);
  // aRefused: the target's node had no free slot for it.
  void OnHedgeEnded(bool aRefused, TimePoint aNow);

  // More than a quarter of the recent attempts found their target overloaded.
  bool IsOverloaded(TimePoint aNow) const;
  // More than half of the last hedges were refused. Ends after some seconds, so
  // that further hedges show whether there are free slots again.
  bool AreHedgesRefused(TimePoint aNow) const;

private:
  RecentShare m_overloaded{ std::chrono::seconds(1) };
  RecentShare m_refused{ std::chrono::seconds(2) };
};

} // namespace wigeonfold::forwarding
