#include "wigeonfold/base/Events.h"

#include <algorithm>
#include <glog/logging.h>

namespace wigeonfold {

// ---- Catalogue -------------------------------------------------------------

const std::vector<EventInfo>& EventCatalogue()
{
#define WIGEONFOLD_EVENT_ROW(aName, aNumber, aLevel, aText)                    \
  EventInfo{ EventId::aName, #aName, EventLevel::aLevel, aText },
  static const std::vector<EventInfo> catalogue{ WIGEONFOLD_EVENTS(
    WIGEONFOLD_EVENT_ROW) };
#undef WIGEONFOLD_EVENT_ROW
  return catalogue;
}

const EventInfo& InfoOf(EventId aId)
{
  const auto& all = EventCatalogue();
  const auto found =
    std::find_if(all.begin(), all.end(), [aId](const EventInfo& aInfo) {
      return aInfo.m_id == aId;
    });
  return found == all.end() ? all.front() : *found;
}

// ---- Log -------------------------------------------------------------------

std::string Format(const Event& aEvent)
{
  const EventInfo& info = InfoOf(aEvent.m_id);
  std::string text = std::to_string(static_cast<int>(info.m_id));
  text += ' ';
  text += info.m_name;
  for (const EventField& field : aEvent.m_fields) {
    const bool quote =
      field.m_value.find_first_of(" \"\n") != std::string::npos;
    text += " " + field.m_name + "=";
    text += quote ? "\"" + field.m_value + "\"" : field.m_value;
  }
  return text;
}

EventLog::EventLog(std::string aProcess, size_t aKept)
  : m_process(std::move(aProcess))
  , m_kept(aKept)
  , m_writer([this] { WriteLoop(); })
{
}

EventLog::~EventLog()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_one();
  m_writer.join();
}

void EventLog::Record(EventId aId, std::vector<EventField> aFields)
{
  const std::lock_guard lock(m_mutex);
  // The stamp is taken under the lock so that the kept events are in order.
  Event event{ ProcessClock().Now(std::chrono::system_clock::now()),
               aId,
               std::move(aFields) };
  m_recent.push_back(event);
  if (m_recent.size() > m_kept) {
    m_recent.pop_front();
  }
  if (m_pending.size() < kMaxPending) {
    m_pending.push_back(std::move(event));
  } else {
    ++m_dropped;
  }
  m_wake.notify_one();
}

std::vector<Event> EventLog::Since(HybridTime aAfter) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<Event> events;
  std::copy_if(
    m_recent.begin(),
    m_recent.end(),
    std::back_inserter(events),
    [aAfter](const Event& aEvent) { return aEvent.m_time > aAfter; });
  return events;
}

void EventLog::WriteLoop()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping || !m_pending.empty()) {
    m_wake.wait(lock, [this] { return m_stopping || !m_pending.empty(); });
    std::deque<Event> batch;
    batch.swap(m_pending);
    if (m_dropped > 0) {
      batch.push_back(
        Event{ ProcessClock().Now(std::chrono::system_clock::now()),
               EventId::EventsDropped,
               { { "count", std::to_string(m_dropped) } } });
      m_dropped = 0;
    }
    lock.unlock();
    for (const Event& event : batch) {
      switch (InfoOf(event.m_id).m_level) {
        case EventLevel::Info:
          LOG(INFO) << Format(event);
          break;
        case EventLevel::Warning:
          LOG(WARNING) << Format(event);
          break;
        case EventLevel::Error:
          LOG(ERROR) << Format(event);
          break;
      }
    }
    lock.lock();
  }
}

} // namespace wigeonfold
