#include "wigeonfold/observe/Timeline.h"
#include "wigeonfold/base/Text.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>

namespace wigeonfold::observe {

namespace {

using Json = nlohmann::json;

// Text of a hybrid stamp: UTC wall clock and counter.
std::string FormatTime(HybridTime aTime)
{
  const int64_t milliseconds = WallPart(aTime).count();
  const std::time_t seconds = milliseconds / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  char text[64];
  std::snprintf(text,
                sizeof(text),
                "%s.%03dZ+%u",
                date,
                static_cast<int>(milliseconds % 1000),
                static_cast<unsigned>(aTime & 0xffff));
  return text;
}

Json FieldsToJson(const Event& aEvent)
{
  Json fields = Json::object();
  for (const EventField& field : aEvent.m_fields) {
    fields[field.m_name] = field.m_value;
  }
  return fields;
}

Json EventToJson(const Event& aEvent)
{
  return { { "time", aEvent.m_time },
           { "event", static_cast<int>(aEvent.m_id) },
           { "name", InfoOf(aEvent.m_id).m_name },
           { "fields", FieldsToJson(aEvent) } };
}

} // namespace

std::string ToJson(const ProcessTimeline& aTimeline)
{
  Json events = Json::array();
  for (const Event& event : aTimeline.m_events) {
    events.push_back(EventToJson(event));
  }
  return DumpJson(
    Json{ { "process", aTimeline.m_process }, { "events", events } });
}

Result<ProcessTimeline> FromJson(const std::string& aText,
                                 const std::string& aPeer)
{
  try {
    const Json body = Json::parse(aText);
    ProcessTimeline timeline;
    timeline.m_process = body.at("process").get<std::string>();
    for (const Json& item : body.at("events")) {
      Event event;
      event.m_time = item.at("time").get<HybridTime>();
      event.m_id = static_cast<EventId>(item.at("event").get<int>());
      for (const auto& [name, value] : item.at("fields").items()) {
        event.m_fields.push_back({ name, value.get<std::string>() });
      }
      timeline.m_events.push_back(std::move(event));
    }
    return timeline;
  } catch (const Json::exception& error) {
    return Error{ ErrorCode::Protocol, "read timeline", aPeer, error.what() };
  }
}

std::vector<TimelineEntry> Merge(const std::vector<ProcessTimeline>& aTimelines)
{
  std::vector<TimelineEntry> entries;
  for (const ProcessTimeline& timeline : aTimelines) {
    for (const Event& event : timeline.m_events) {
      entries.push_back({ timeline.m_process, event });
    }
  }
  std::stable_sort(entries.begin(),
                   entries.end(),
                   [](const TimelineEntry& aLeft, const TimelineEntry& aRight) {
                     return aLeft.m_event.m_time < aRight.m_event.m_time;
                   });
  return entries;
}

std::string ToText(const std::vector<TimelineEntry>& aEntries)
{
  std::string text;
  for (const TimelineEntry& entry : aEntries) {
    text += FormatTime(entry.m_event.m_time) + " " + entry.m_process + " " +
            Format(entry.m_event) + "\n";
  }
  return text;
}

std::string ToJson(const std::vector<TimelineEntry>& aEntries)
{
  Json events = Json::array();
  for (const TimelineEntry& entry : aEntries) {
    Json event = EventToJson(entry.m_event);
    event["process"] = entry.m_process;
    events.push_back(std::move(event));
  }
  return DumpJson(events);
}

std::string ToChromeTrace(const std::vector<TimelineEntry>& aEntries)
{
  std::map<std::string, int> rows;
  Json events = Json::array();
  for (const TimelineEntry& entry : aEntries) {
    const auto [row, added] =
      rows.emplace(entry.m_process, static_cast<int>(rows.size()) + 1);
    if (added) {
      events.push_back({ { "name", "process_name" },
                         { "ph", "M" },
                         { "pid", row->second },
                         { "args", { { "name", entry.m_process } } } });
    }
    events.push_back({ { "name", InfoOf(entry.m_event.m_id).m_name },
                       { "ph", "i" },
                       { "s", "p" },
                       { "ts", WallPart(entry.m_event.m_time).count() * 1000 },
                       { "pid", row->second },
                       { "tid", 1 },
                       { "args", FieldsToJson(entry.m_event) } });
  }
  return DumpJson(Json{ { "traceEvents", events } }, 1);
}

} // namespace wigeonfold::observe
