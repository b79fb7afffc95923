#include "wigeonfold/observe/DecisionLog.h"

#include <utility>

namespace wigeonfold::observe {

using namespace std::chrono_literals;

DecisionLog::DecisionLog(EventLog& aLog)
  : m_log(aLog)
{
}

bool DecisionLog::Admits(EventId aId, TimePoint aNow)
{
  AdvanceWindow(aNow);
  const int limit =
    aId == EventId::RequestServed ? kServedLinesPerSecond : kLinesPerSecond;
  if (m_written[aId] < limit) {
    ++m_written[aId];
    return true;
  }
  ++m_omitted[aId];
  return false;
}

void DecisionLog::Record(EventId aId, std::vector<EventField> aFields)
{
  m_log.Record(aId, std::move(aFields));
}

void DecisionLog::AdvanceWindow(TimePoint aNow)
{
  if (aNow - m_windowStart < 1s) {
    return;
  }
  m_windowStart = aNow;
  m_written.clear();
  if (m_omitted.empty()) {
    return;
  }
  std::vector<EventField> fields;
  for (const auto& [id, count] : std::exchange(m_omitted, {})) {
    fields.push_back({ InfoOf(id).m_name, std::to_string(count) });
  }
  m_log.Record(EventId::DecisionsOmitted, std::move(fields));
}

} // namespace wigeonfold::observe
