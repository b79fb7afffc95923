#include "wigeonfold/discovery/TargetReport.h"

#include <algorithm>

namespace wigeonfold::discovery {

namespace {

// Number of starts that are remembered. Reports are delayed by seconds and a
// target starts at most every few seconds, so this covers every report that may
// still arrive.
constexpr size_t kMaxRemembered = 64;

int64_t SinceEpochMs(std::chrono::system_clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
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

const char* ToString(ReportResult aResult)
{
  switch (aResult) {
    case ReportResult::Applied:
      return "applied";
    case ReportResult::Stale:
      return "late";
    case ReportResult::Retired:
      return "left";
    case ReportResult::Foreign:
      return "foreign";
  }
  return "applied";
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

bool TargetReportTracker::IsFollowedByLeaving() const
{
  return m_current &&
         std::any_of(m_leaving.begin(),
                     m_leaving.end(),
                     [this](const TargetStart& aStart) {
                       return m_current->m_startedAtMs < aStart.m_startedAtMs;
                     });
}

std::optional<TargetStart> TargetReportTracker::LeavingStartOf(
  const TargetReport& aReport) const
{
  const auto found = std::find_if(
    m_leaving.rbegin(), m_leaving.rend(), [&](const TargetStart& aStart) {
      return aStart.m_instance == aReport.m_instance &&
             aReport.m_startedAtMs <= aStart.m_startedAtMs;
    });
  return aReport.m_state != ReportedState::Ready && found != m_leaving.rend()
           ? std::optional(*found)
           : std::nullopt;
}

ReportResult TargetReportTracker::Apply(
  const TargetReport& aReport,
  std::chrono::system_clock::time_point aReceived,
  bool aMayPrecedeNode)
{
  if (aReport.m_startedAtMs > SinceEpochMs(aReceived + kMaxClockAhead)) {
    return ReportResult::Foreign;
  }
  if (Covers(m_retired, aReport.Start())) {
    return ReportResult::Retired;
  }
  if (aReport.m_state == ReportedState::Gone) {
    return ApplyGone(aReport, aReceived);
  }
  if (IsLate(aReport)) {
    if (!IsDrainOfCurrent(aReport)) {
      return ReportResult::Stale;
    }
    NoteLeaving(m_current->Start());
    return ReportResult::Applied;
  }
  if (m_current && m_current->Start() != aReport.Start()) {
    Remember(m_retired, m_current->Start());
    m_currentReports = 0;
  }
  m_currentReports += aMayPrecedeNode ? 0 : 1;
  m_current = aReport;
  if (aReport.m_state == ReportedState::Draining) {
    Remember(m_leaving, aReport.Start());
  } else if (Covers(m_leaving, aReport.Start())) {
    m_current->m_state = ReportedState::Draining;
  }
  return ReportResult::Applied;
}

// A report without a start time refers to the current start, or to any start of
// its instance until now.
ReportResult TargetReportTracker::ApplyGone(
  const TargetReport& aReport,
  std::chrono::system_clock::time_point aReceived)
{
  const bool isCurrent =
    m_current && m_current->m_instance == aReport.m_instance;
  TargetStart start = aReport.Start();
  if (start.m_startedAtMs == 0) {
    start.m_startedAtMs =
      isCurrent ? m_current->m_startedAtMs : SinceEpochMs(aReceived);
  }
  if (isCurrent && start.m_startedAtMs < m_current->m_startedAtMs) {
    return ReportResult::Stale;
  }
  Remember(m_retired, start);
  if (!isCurrent) {
    Remember(m_leaving, start);
    return ReportResult::Stale;
  }
  m_current->m_state = ReportedState::Gone;
  Remember(m_leaving, m_current->Start());
  return ReportResult::Applied;
}

// Whether the report is of an earlier start, or not newer than the last one of
// the same start.
bool TargetReportTracker::IsLate(const TargetReport& aReport) const
{
  if (!m_current) {
    return false;
  }
  if (aReport.m_startedAtMs < m_current->m_startedAtMs) {
    return true;
  }
  return aReport.Start() == m_current->Start() && aReport.m_sequence != 0 &&
         aReport.m_sequence <= m_current->m_sequence;
}

bool TargetReportTracker::IsDrainOfCurrent(const TargetReport& aReport) const
{
  const bool mayBeCurrentStart =
    aReport.m_startedAtMs == 0 ||
    aReport.m_startedAtMs == m_current->m_startedAtMs;
  return aReport.m_state == ReportedState::Draining &&
         aReport.m_instance == m_current->m_instance &&
         aReport.m_service == m_current->m_service && mayBeCurrentStart;
}

} // namespace wigeonfold::discovery
