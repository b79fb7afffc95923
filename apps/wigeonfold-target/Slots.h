// Slots of the stand-in target and the queue of requests that wait for one.
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
  Waiting, // queued until a slot is free
  Shed,    // the queue is full
  Expired, // the deadline has passed
};

// Jobs that left the queue when a slot became free.
struct SlotChanges
{
  std::vector<JobId> m_started;
  std::vector<JobId> m_expired;
};

// Starts jobs in the order of their arrival. The caller supplies the time, and
// a waiting job that has expired is found only when a slot becomes free. Not
// thread safe.
class Slots
{
public:
  // At most aSlots jobs run at once; when aShedAbove jobs wait, further ones
  // are shed.
  Slots(int aSlots, int aShedAbove)
    : m_slots(aSlots)
    , m_shedAbove(aShedAbove)
  {
  }

  Admission Admit(JobId aJob,
                  std::optional<TimePoint> aDeadline,
                  TimePoint aNow);
  // Frees the slot of a started job. Starts the next waiting job and drops
  // those in front of it whose deadline has passed.
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
