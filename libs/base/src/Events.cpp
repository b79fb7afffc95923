#include "wigeonfold/base/Events.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace wigeonfold {

// ---- Catalogue -------------------------------------------------------------

const char* ToString(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
    case EventLevel::Error:
      return "error";
  }
  return "info";
}

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

namespace {

// Wall-clock part of a hybrid stamp in UTC, with milliseconds.
std::string FormatWallTime(HybridTime aTime)
{
  const int64_t ms = WallPart(aTime).count();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%FT%T") << '.' << std::setw(3)
       << std::setfill('0') << ms % 1000 << 'Z';
  return text.str();
}

// Appends " name=value". In quoted values, a quote becomes ' and a newline a
// space, so that each event stays one line.
void AppendField(std::string& aText,
                 const std::string& aName,
                 const std::string& aValue)
{
  const bool quote =
    aValue.empty() || aValue.find_first_of(" \"\n") != std::string::npos;
  aText += " " + aName + "=";
  if (!quote) {
    aText += aValue;
    return;
  }
  aText += '"';
  for (const char byte : aValue) {
    aText += byte == '"' ? '\'' : byte == '\n' ? ' ' : byte;
  }
  aText += '"';
}

} // namespace

std::string Format(const Event& aEvent)
{
  const EventInfo& info = InfoOf(aEvent.m_id);
  std::string text = std::to_string(static_cast<int>(info.m_id));
  text += ' ';
  text += info.m_name;
  for (const EventField& field : aEvent.m_fields) {
    AppendField(text, field.m_name, field.m_value);
  }
  return text;
}

std::string FormatLine(const std::string& aProcess, const Event& aEvent)
{
  const EventInfo& info = InfoOf(aEvent.m_id);
  std::string text = "time=" + FormatWallTime(aEvent.m_time);
  AppendField(text, "level", ToString(info.m_level));
  AppendField(text, "process", aProcess);
  AppendField(text, "code", std::to_string(static_cast<int>(info.m_id)));
  AppendField(text, "event", info.m_name);
  for (const EventField& field : aEvent.m_fields) {
    AppendField(text, field.m_name, field.m_value);
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
    std::string lines;
    for (const Event& event : batch) {
      lines += FormatLine(m_process, event) + '\n';
    }
    std::fwrite(lines.data(), 1, lines.size(), stdout);
    std::fflush(stdout);
    lock.lock();
  }
}

} // namespace wigeonfold
