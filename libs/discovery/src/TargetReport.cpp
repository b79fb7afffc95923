#include "wigeonfold/discovery/TargetReport.h"

#include <algorithm>

namespace wigeonfold::discovery {

namespace {

// Number of starts that are remembered. Reports are delayed by seconds and a
// target starts at most every few seconds, so this covers every report that may
// still arrive.
constexpr size_t kMaxRemembered = 64;

// Whether aStarts holds this start or a later one of the same instance.
bool Covers(const std::deque<TargetStart>& aStarts, const TargetStart& aStart)
{
  return std::any_of(
    aStarts.begin(), aStarts.end(), [&](const TargetStart& aOne) {
      return aOne.m_instance == aStart.m_instance &&
             aStart.m_startedAtMs <= aOne.m_startedAtMs;
    });
}

void Remember(std::deque<TargetStart>& aStarts, const TargetStart& aStart)
{
  if (!aStarts.empty() && aStarts.back() == aStart) {
    return;
  }
  aStarts.push_back(aStart);
  if (aStarts.size() > kMaxRemembered) {
    aStarts.pop_front();
  }
}

} // namespace

wire::TargetStart ToWire(const TargetStart& aStart)
{
  wire::TargetStart start;
  start.instance = aStart.m_instance;
  start.startedAtMs = aStart.m_startedAtMs;
  return start;
}

TargetStart FromWire(const wire::TargetStart& aStart)
{
  return { aStart.instance, aStart.startedAtMs };
}

bool TargetReportTracker::NoteLeaving(const TargetStart& aStart)
{
  if (!Covers(m_leaving, aStart)) {
    Remember(m_leaving, aStart);
  }
  const bool changes = m_current &&
                       m_current->m_state == ReportedState::Ready &&
                       Covers(m_leaving, m_current->Start());
  if (changes) {
    m_current->m_state = ReportedState::Draining;
  }
  return changes;
}

std::optional<TargetStart> TargetReportTracker::LastLeaving() const
{
  return m_leaving.empty() ? std::nullopt : std::optional(m_leaving.back());
}

ReportResult TargetReportTracker::Apply(const TargetReport& aReport)
{
  if (Covers(m_retired, aReport.Start())) {
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
    Remember(m_retired, { aReport.m_instance, startedAt });
    if (!isCurrent) {
      return ReportResult::Stale;
    }
    m_current->m_state = ReportedState::Gone;
    Remember(m_leaving, m_current->Start());
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
  if (m_current && !sameStart) {
    Remember(m_retired, m_current->Start());
  }
  m_current = aReport;
  if (aReport.m_state == ReportedState::Draining) {
    Remember(m_leaving, aReport.Start());
  } else if (Covers(m_leaving, aReport.Start())) {
    m_current->m_state = ReportedState::Draining;
  }
  return ReportResult::Applied;
}

} // namespace wigeonfold::discovery
