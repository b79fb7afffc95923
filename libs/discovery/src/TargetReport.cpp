#include "wigeonfold/discovery/TargetReport.h"

#include <algorithm>

namespace wigeonfold::discovery {

namespace {

// Number of retired starts that are remembered. Reports are delayed by seconds
// and a target starts at most every few seconds, so this covers every report
// that may still arrive.
constexpr size_t kMaxRetired = 64;

} // namespace

bool TargetReportTracker::IsRetired(const TargetReport& aReport) const
{
  return std::any_of(
    m_retired.begin(), m_retired.end(), [&](const RetiredStart& aStart) {
      return aStart.m_instance == aReport.m_instance &&
             aReport.m_startedAtMs <= aStart.m_startedAtMs;
    });
}

void TargetReportTracker::Retire(const std::string& aInstance,
                                 int64_t aStartedAtMs)
{
  m_retired.push_back({ aInstance, aStartedAtMs });
  if (m_retired.size() > kMaxRetired) {
    m_retired.pop_front();
  }
}

ReportResult TargetReportTracker::Apply(const TargetReport& aReport)
{
  if (IsRetired(aReport)) {
    return ReportResult::Retired;
  }
  const bool isCurrent =
    m_current && m_current->m_instance == aReport.m_instance;
  if (aReport.m_state == ReportedState::Gone) {
    // A report without a start time refers to the current start.
    const bool usesCurrentStart = isCurrent && aReport.m_startedAtMs == 0;
    const int64_t startedAt =
      usesCurrentStart ? m_current->m_startedAtMs : aReport.m_startedAtMs;
    if (isCurrent && startedAt < m_current->m_startedAtMs) {
      return ReportResult::Stale;
    }
    Retire(aReport.m_instance, startedAt);
    if (!isCurrent) {
      return ReportResult::Stale;
    }
    m_current->m_state = ReportedState::Gone;
    return ReportResult::Applied;
  }
  const bool sameStart =
    isCurrent && aReport.m_startedAtMs == m_current->m_startedAtMs;
  if (m_current && aReport.m_startedAtMs < m_current->m_startedAtMs) {
    return ReportResult::Stale;
  }
  if (sameStart && aReport.m_sequence != 0 &&
      aReport.m_sequence <= m_current->m_sequence) {
    return ReportResult::Stale;
  }
  const bool staysDraining =
    sameStart && m_current->m_state == ReportedState::Draining;
  if (m_current && !sameStart) {
    Retire(m_current->m_instance, m_current->m_startedAtMs);
  }
  m_current = aReport;
  if (staysDraining) {
    m_current->m_state = ReportedState::Draining;
  }
  return ReportResult::Applied;
}

} // namespace wigeonfold::discovery
