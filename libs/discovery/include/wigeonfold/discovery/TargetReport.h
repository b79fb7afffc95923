// Reports of a target about itself, and the order in which they apply.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace wigeonfold::discovery {

enum class ReportedState
{
  Ready,
  Draining,
  Gone, // the target has announced its exit; it may still serve for a moment
};

struct TargetReport
{
  std::string m_service; // empty in a report of state Gone
  SocketAddress m_address;
  int m_slots = 1;
  int m_connections = 0; // connection limit; 0 selects the service's limit
  ReportedState m_state = ReportedState::Ready;
  std::string m_instance;    // target's id; usually differs after each start
  int64_t m_startedAtMs = 0; // see TargetStart
  // Grows with each report of one start; 0 when the target doesn't number its
  // reports.
  int64_t m_sequence = 0;
  Duration m_warmupRemaining{};  // time for which the target will be slow
  std::string m_softwareVersion; // that the target runs; empty: not named

  TargetStart Start() const { return { m_instance, m_startedAtMs }; }
};

enum class ReportResult
{
  Applied,
  Stale,   // not newer than the last report, or not of the newest start
  Retired, // of a start that has left or was replaced
  Foreign, // another writer's; it can't be of the target beside the node
};

// "applied", "late", "left" or "foreign".
const char* ToString(ReportResult aResult);

// Applies the reports of the target beside one node and rejects delayed,
// reordered and repeated ones. A start that is known to leave never becomes
// Ready again, and one that reported Gone stays Gone. A report that the target
// leaves counts in whatever order it arrives, since the sender takes it for
// acknowledged. Deterministic; not thread safe.
class TargetReportTracker
{
public:
  // aReceived is the wall clock. aMayPrecedeNode: the node runs for less than
  // kMaxDelay, so the report may be older than the node; it isn't counted in
  // CurrentReports().
  ReportResult Apply(const TargetReport& aReport,
                     std::chrono::system_clock::time_point aReceived,
                     bool aMayPrecedeNode = false);
  // The start leaves, as its answer or another node says; it may not have
  // reported yet. Returns whether Current() has changed.
  bool NoteLeaving(const TargetStart& aStart);

  // Last applied report of the newest start; nothing before the first report.
  // Its state is Gone once the start has left.
  const std::optional<TargetReport>& Current() const { return m_current; }

  // Reports of the newest start that were applied and don't precede the node,
  // each newer than the one before.
  size_t CurrentReports() const { return m_currentReports; }
  // Whether a start that began after Current() is known to leave. Then the
  // newest report is a late one of a start that has ended, or the leave was
  // another writer's.
  bool IsFollowedByLeaving() const;

  // Last start that is known to leave or to have left.
  std::optional<TargetStart> LastLeaving() const;
  // The start that a report of a leave stands for, once it was applied; nothing
  // when the report made no start leave.
  std::optional<TargetStart> LeavingStartOf(const TargetReport& aReport) const;

  // Time for which a report may be under way.
  static constexpr std::chrono::seconds kMaxDelay{ 10 };
  // A start time further ahead of the wall clock than this is not one. The
  // clocks of a target and its node, on one VM, differ by less.
  static constexpr std::chrono::seconds kMaxClockAhead{ 60 };

private:
  ReportResult ApplyGone(const TargetReport& aReport,
                         std::chrono::system_clock::time_point aReceived);
  bool IsLate(const TargetReport& aReport) const;
  bool IsDrainOfCurrent(const TargetReport& aReport) const;

  using Starts = std::deque<TargetStart>; // newest last

  std::optional<TargetReport> m_current;
  size_t m_currentReports = 0;
  Starts m_retired; // replaced or gone
  Starts m_leaving; // known to leave
};

} // namespace wigeonfold::discovery
