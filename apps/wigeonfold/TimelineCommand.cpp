// The command timeline, which merges the events of several processes.
#include "Commands.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/observe/Timeline.h"

#include <ostream>

namespace wigeonfold::client {

namespace {

// Adds a process's answer to aTimelines. Prints the error and returns false
// when it is malformed, so that the other processes are still shown.
bool AddTimeline(Session& aSession,
                 const std::string& aAddress,
                 const Json& aAnswer,
                 std::vector<observe::ProcessTimeline>& aTimelines)
{
  auto timeline = observe::FromJson(DumpJson(aAnswer), aAddress);
  if (!timeline) {
    aSession.m_err << "wigeonfold: " << timeline.error().ToString() << '\n';
    return false;
  }
  aTimelines.push_back(std::move(timeline.value()));
  return true;
}

// Adds the time line of the process at that address. Prints the error and
// returns false when there is none.
bool ReadProcess(Session& aSession,
                 const std::string& aText,
                 std::vector<observe::ProcessTimeline>& aTimelines)
{
  const auto address = ParseSocketAddress(aText);
  if (!address) {
    aSession.m_err << "wigeonfold: " << address.error().ToString() << '\n';
    return false;
  }
  const auto answer = aSession.m_client.GetOnce(address.value(), "/timeline");
  if (!answer || answer.value().m_status != 200) {
    aSession.m_err << "wigeonfold: no time line from " << aText << '\n';
    return false;
  }
  return AddTimeline(aSession, aText, answer.value().m_json, aTimelines);
}

} // namespace

ExitStatus RunTimeline(Session& aSession)
{
  const auto controls = QueryControlVms(aSession, "/timeline");
  if (!controls) {
    return ReportError(aSession.m_err, controls.error());
  }
  bool complete = true;
  std::vector<observe::ProcessTimeline> timelines;
  for (const ControlAnswer& control : controls.value()) {
    if (!control.m_json) {
      aSession.m_err << "wigeonfold: no time line from " << control.m_name
                     << '\n';
      complete = false;
      continue;
    }
    complete &=
      AddTimeline(aSession, control.m_apiAddress, *control.m_json, timelines);
  }
  for (const std::string& address : aSession.m_arguments.m_addresses) {
    complete &= ReadProcess(aSession, address, timelines);
  }
  const auto entries = observe::Merge(timelines);
  if (aSession.m_arguments.m_chrome) {
    aSession.m_out << observe::ToChromeTrace(entries) << '\n';
  } else if (aSession.m_arguments.m_json) {
    aSession.m_out << observe::ToJson(entries) << '\n';
  } else {
    aSession.m_out << observe::ToText(entries);
  }
  return complete ? ExitStatus::Success : ExitStatus::Failed;
}

} // namespace wigeonfold::client
