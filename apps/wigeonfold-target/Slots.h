// Slots of the target stand-in and the requests that wait for one.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wigeonfold::target {

using JobId = uint64_t;

enum class Admission
{
  Started, // took a slot at once
  Waiting, //
  Shed,    // more requests wait than the bound allows
  Expired, // its deadline has passed
};

// Jobs to act on after a slot became free or a job was cancelled.
struct SlotChanges
{
  std::vector<JobId> m_started;
  std::vector<JobId> m_expired;
};

// First in, first out. Holds no clock and no timer. Not thread safe.
class Slots
{
public:
  Slots(int aSlots, int aShedAbove)
    : m_slots(aSlots)
    , m_shedAbove(aShedAbove)
  {
  }

  Admission Arrive(JobId aJob,
                   std::optional<TimePoint> aDeadline,
                   TimePoint aNow);
  // A started job is done: starts the next one, drops those that are too late.
  SlotChanges Finish(TimePoint aNow);
  // Removes a waiting job; false when it isn't waiting.
  bool Cancel(JobId aJob);

  int Busy() const { return m_busy; }
  int Waiting() const { return static_cast<int>(m_waiting.size()); }

private:
  struct Waiter
  {
    JobId m_job = 0;
    std::optional<TimePoint> m_deadline;
  };

  const int m_slots;
  const int m_shedAbove;
  int m_busy = 0;
  std::deque<Waiter> m_waiting;
};

} // namespace wigeonfold::target
