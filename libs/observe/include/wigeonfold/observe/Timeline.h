// Timeline of the events of all processes.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Events.h"

#include <string>
#include <vector>

namespace wigeonfold::observe {

// Events of one process, oldest first.
struct ProcessTimeline
{
  std::string m_process;
  std::vector<Event> m_events;
};

// Body of the response to GET /timeline.
std::string ToJson(const ProcessTimeline& aTimeline);
// Fails with Protocol and aPeer when the text is not such a body.
Result<ProcessTimeline> FromJson(const std::string& aText,
                                 const std::string& aPeer);

struct TimelineEntry
{
  std::string m_process;
  Event m_event;
};

// Merges timelines in the order of their hybrid stamps: an event never comes
// before its cause, even if the wall clocks of the VMs differ.
std::vector<TimelineEntry> Merge(
  const std::vector<ProcessTimeline>& aTimelines);

// One line per event.
std::string ToText(const std::vector<TimelineEntry>& aEntries);
// Array of events, each with the name of its process.
std::string ToJson(const std::vector<TimelineEntry>& aEntries);
// Chrome trace format: one instant event per entry, one row per process.
std::string ToChromeTrace(const std::vector<TimelineEntry>& aEntries);

} // namespace wigeonfold::observe
