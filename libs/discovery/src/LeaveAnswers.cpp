#include "wigeonfold/discovery/LeaveAnswers.h"

#include <array>

namespace wigeonfold::discovery {

bool LeaveAnswers::IsStored(const TargetStart& aStart) const
{
  return Covers(m_stored, aStart);
}

void LeaveAnswers::Wait(ReportId aId, const TargetStart& aStart, TimePoint aNow)
{
  m_waiting.push_back({ aId, aStart, aNow + kTimeout });
}

std::vector<LeaveAnswers::ReportId> LeaveAnswers::OnStored(
  const TargetStart& aStart)
{
  if (!IsStored(aStart)) {
    m_stored.push_back(aStart);
    if (m_stored.size() > kMaxStored) {
      m_stored.pop_front();
    }
  }
  std::vector<ReportId> ids;
  std::erase_if(m_waiting, [&](const Waiting& aOne) {
    const bool stored = Covers(std::array{ aStart }, aOne.m_start);
    if (stored) {
      ids.push_back(aOne.m_id);
    }
    return stored;
  });
  return ids;
}

std::vector<LeaveAnswers::ReportId> LeaveAnswers::TakeExpired(TimePoint aNow)
{
  std::vector<ReportId> ids;
  while (!m_waiting.empty() && m_waiting.front().m_until <= aNow) {
    ids.push_back(m_waiting.front().m_id);
    m_waiting.pop_front();
  }
  return ids;
}

} // namespace wigeonfold::discovery
