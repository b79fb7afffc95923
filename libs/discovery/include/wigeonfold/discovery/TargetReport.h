// What a target says of itself, and which of its reports count.
#pragma once

#include "wigeonfold/base/Settings.h"
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
  Gone, // the target leaves; it may go on serving for a moment
};

struct TargetReport
{
  std::string m_service; // empty in a report of state Gone
  SocketAddress m_address;
  int m_slots = 1;
  int m_connections = 0; // limit of the target; 0: that of its service
  ReportedState m_state = ReportedState::Ready;
  std::string m_instance; // differs after each start, mostly
  // Wall clock of the target's start in ms since 1970, 0 when not told. A
  // target that starts again under the same id has a greater one.
  int64_t m_startedAtMs = 0;
  int64_t m_sequence = 0;       // grows with each report of one start; 0: none
  Duration m_warmupRemaining{}; // the target is slow for this long
};

enum class ReportResult
{
  Applied,
  Stale,   // older than what is known of this start, or of an earlier start
  Retired, // the start it speaks for has left
};

// Tells late, reordered and repeated reports from those that count, for the
// target beside one node. A start that was said to be draining never becomes
// ready again, and one that was said to be gone stays gone. Deterministic; not
// thread safe.
class TargetReportTracker
{
public:
  ReportResult Apply(const TargetReport& aReport);

  // The newest start; nothing before the first report. Its state is Gone once
  // it has left.
  const std::optional<TargetReport>& Current() const { return m_current; }

private:
  bool IsRetired(const TargetReport& aReport) const;
  void Retire(const std::string& aInstance, int64_t aStartedAtMs);

  struct RetiredStart
  {
    std::string m_instance;
    int64_t m_startedAtMs = 0;
  };

  std::optional<TargetReport> m_current;
  std::deque<RetiredStart> m_retired; // newest last
};

} // namespace wigeonfold::discovery
