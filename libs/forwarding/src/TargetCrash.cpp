#include "wigeonfold/forwarding/TargetCrash.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::forwarding {

void CrashDetector::OnWritten(uint64_t aId, WrittenRequest aRequest)
{
  m_running[aId] = std::move(aRequest);
}

// The target works: it has not ended under a request that was abandoned
// earlier, nor under one that was lost before this one was written.
void CrashDetector::OnAnswered(uint64_t aId, TimePoint aNow)
{
  const auto entry = m_running.extract(aId);
  if (entry.empty()) {
    return;
  }
  const TimePoint written = entry.mapped().m_written;
  std::erase_if(m_unanswered, [&](const Unanswered& aOne) {
    return aOne.m_ended < (aOne.m_lost ? written : aNow);
  });
}

void CrashDetector::OnLost(uint64_t aId, TimePoint aNow)
{
  Keep(aId, aNow, true);
}

void CrashDetector::OnAbandoned(uint64_t aId, TimePoint aNow)
{
  Keep(aId, aNow, false);
}

void CrashDetector::Keep(uint64_t aId, TimePoint aNow, bool aLost)
{
  auto entry = m_running.extract(aId);
  if (entry.empty()) {
    return;
  }
  m_unanswered.push_back({ std::move(entry.mapped()), aNow, aLost });
  if (m_unanswered.size() > kMaxUnanswered) {
    m_unanswered.pop_front();
  }
}

bool CrashDetector::MayHaveEnded() const
{
  return m_running.empty() &&
         std::any_of(m_unanswered.begin(),
                     m_unanswered.end(),
                     [](const Unanswered& aOne) { return aOne.m_lost; });
}

TargetCrash CrashDetector::OnEnded(TimePoint aNow)
{
  TargetCrash crash;
  for (Unanswered& one : std::exchange(m_unanswered, {})) {
    if (aNow - one.m_ended <= kMaxAge) {
      crash.m_requests.push_back(std::move(one.m_request));
    }
  }
  return crash;
}

} // namespace wigeonfold::forwarding
