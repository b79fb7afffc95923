// Rate-limited log lines for decisions about requests.
#pragma once

#include "wigeonfold/base/Events.h"
#include "wigeonfold/base/Time.h"

#include <map>
#include <vector>

namespace wigeonfold::observe {

// Limits the lines of each event per second. The first call of Admits() after
// the second reports the number of omitted lines per event as DecisionsOmitted.
// Not thread safe; never blocks.
class DecisionLog
{
public:
  explicit DecisionLog(EventLog& aLog);

  // Returns whether a line of the event may be written now, and counts it as
  // written or omitted. Call it before building the fields, so that an omitted
  // line costs little.
  bool Admits(EventId aId, TimePoint aNow);
  // Precondition: Admits() was true.
  void Record(EventId aId, std::vector<EventField> aFields);

  // Limit for each event other than RequestServed.
  static constexpr int kLinesPerSecond = 20;
  // Limit for RequestServed: a single successful request tells little.
  static constexpr int kServedLinesPerSecond = 2;

private:
  // Starts a new second once the current one is over.
  void AdvanceWindow(TimePoint aNow);

  EventLog& m_log;
  TimePoint m_windowStart{};
  std::map<EventId, int> m_written;
  std::map<EventId, int> m_omitted;
};

} // namespace wigeonfold::observe
