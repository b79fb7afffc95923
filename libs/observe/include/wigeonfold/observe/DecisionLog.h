// Log lines for decisions about requests, bounded under load.
#pragma once

#include "wigeonfold/base/Events.h"
#include "wigeonfold/base/Time.h"

#include <map>
#include <vector>

namespace wigeonfold::observe {

// Lets a number of lines of each event pass in a second and counts the others
// in one DecisionsOmitted line. Not thread safe; never blocks.
class DecisionLog
{
public:
  explicit DecisionLog(EventLog& aLog);

  // Whether a line of that event may be written now; when not, it is counted.
  // Ask before the fields are put together.
  bool Admits(EventId aId, TimePoint aNow);
  // Precondition: Admits() was true.
  void Record(EventId aId, std::vector<EventField> aFields);

  // Lines of one event in a second.
  static constexpr int kLinesPerSecond = 20;
  // The same for answers of targets, which tell little one by one.
  static constexpr int kServedPerSecond = 2;

private:
  void Renew(TimePoint aNow);

  EventLog& m_log;
  TimePoint m_second{};
  std::map<EventId, int> m_written;
  std::map<EventId, int> m_omitted;
};

} // namespace wigeonfold::observe
