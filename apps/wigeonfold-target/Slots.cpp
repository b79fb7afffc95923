#include "Slots.h"

#include <algorithm>

namespace wigeonfold::target {

Admission Slots::Admit(JobId aJob,
                       std::optional<TimePoint> aDeadline,
                       TimePoint aNow)
{
  if (aDeadline && *aDeadline <= aNow) {
    return Admission::Expired;
  }
  if (m_busy < m_slots) {
    ++m_busy;
    return Admission::Started;
  }
  if (Waiting() >= m_shedAbove) {
    return Admission::Shed;
  }
  m_waiting.push_back({ aJob, aDeadline });
  return Admission::Waiting;
}

SlotChanges Slots::Finish(TimePoint aNow)
{
  SlotChanges changes;
  --m_busy;
  while (!m_waiting.empty() && m_busy < m_slots) {
    const Waiter next = m_waiting.front();
    m_waiting.pop_front();
    if (next.m_deadline && *next.m_deadline <= aNow) {
      changes.m_expired.push_back(next.m_job);
      continue;
    }
    ++m_busy;
    changes.m_started.push_back(next.m_job);
  }
  return changes;
}

bool Slots::Cancel(JobId aJob)
{
  const auto found = std::find_if(
    m_waiting.begin(), m_waiting.end(), [aJob](const Waiter& aWaiter) {
      return aWaiter.m_job == aJob;
    });
  if (found == m_waiting.end()) {
    return false;
  }
  m_waiting.erase(found);
  return true;
}

} // namespace wigeonfold::target
