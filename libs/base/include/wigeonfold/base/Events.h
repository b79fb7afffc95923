// Catalogue of numbered events and the log that records them.
#pragma once

#include "wigeonfold/base/HybridClock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace wigeonfold {

// ---- Catalogue -------------------------------------------------------------

enum class EventLevel
{
  Info,
  Warning,
  Error,
};

// "info", "warning" or "error".
const char* ToString(EventLevel aLevel);

// One line per event: identifier, number, level, meaning. docs/events.md holds
// the same list; Events_test checks that they are equal. Number ranges: 1000
// process, 1100 storage, 1200 consensus, 1300 registry, 1400 discovery, 1500
// distribution at the control VM, 1600 rollouts, 2000 node configuration, 2100
// node data path.
// clang-format off
#define WIGEONFOLD_EVENTS(X) \
  X(ProcessStarted,         1000, Info,    "process started") \
  X(ProcessStopping,        1001, Info,    "graceful shutdown began") \
  X(ProcessStopped,         1002, Info,    "process stopped") \
  X(ListenFailed,           1003, Error,   "a listening socket could not be opened") \
  X(ConnectionRejected,     1004, Warning, "a peer sent a malformed frame or message") \
  X(EventsDropped,          1005, Warning, "the event queue was full; events were lost") \
  X(HandlerFailed,          1006, Error,   "a request could not be handled or its answer not be written, because of a fault of this program") \
  X(FolderCreated,          1100, Info,    "a data folder was created") \
  X(FolderRecovered,        1101, Info,    "the content of the data folder was read") \
  X(TornTailCut,            1102, Warning, "an incomplete record at the end of the log was removed") \
  X(SnapshotDamaged,        1103, Warning, "a snapshot failed its checksum and was skipped") \
  X(StorageFailed,          1104, Error,   "the data folder is damaged or a write or sync failed") \
  X(DiskFull,               1107, Error,   "the disk is full; the write is retried until there is space") \
  X(SnapshotSaved,          1105, Info,    "a snapshot was written and synced") \
  X(LogReplaced,            1106, Info,    "the log was replaced by a snapshot") \
  X(RoleChanged,            1200, Info,    "the member changed its role in the replicated group") \
  X(LeaderChanged,          1201, Info,    "the known leader changed") \
  X(MembershipChanged,      1202, Info,    "a membership change was committed") \
  X(QuorumLost,             1203, Warning, "the leader lost contact with a quorum and stepped down") \
  X(LogTruncated,           1204, Warning, "uncommitted entries were replaced by those of the leader") \
  X(SnapshotSending,        1205, Info,    "the leader began to send a snapshot to a member") \
  X(SnapshotInstalled,      1206, Info,    "a snapshot from the leader replaced the log") \
  X(SnapshotRejected,       1207, Warning, "a received snapshot could not be decoded") \
  X(ReleaseInvalid,         1300, Warning, "a configuration could not be parsed or is invalid") \
  X(ChangeDecided,          1301, Info,    "a change was accepted, conflicted with another one or was refused") \
  X(CallUnanswered,         1302, Warning, "an operator's call ended without a known outcome") \
  X(AcknowledgementHeld,    1303, Info,    "an accepted change was acknowledged later, since a voter did not answer and its replacement was awaited") \
  X(EndpointResync,         1400, Info,    "a control VM missed endpoint changes and asked for a full transfer") \
  X(VersionDistributed,     1500, Info,    "a committed version is distributed to the nodes") \
  X(NodeRefusedVersion,     1501, Warning, "a node refused a version") \
  X(NodesShed,              1502, Warning, "nodes were told to connect again later") \
  X(PeerConnected,          1510, Info,    "another control VM identified itself on a connection") \
  X(PeerLost,               1511, Warning, "a connection with another control VM ended") \
  X(PeerRejected,           1512, Warning, "the connection of a control VM of another cluster was rejected") \
  X(BootstrapRefused,       1520, Warning, "no cluster was created because another control VM belongs to one") \
  X(ClusterCreated,         1521, Info,    "a new cluster was created") \
  X(InitialVoterStep,       1522, Info,    "an initial voter was added or promoted") \
  X(MembershipStepTaken,    1523, Info,    "the leader proposed a membership change automatically") \
  X(SeedsChanged,           1524, Info,    "the list of seeds in the settings file changed") \
  X(RolloutOrdered,         1600, Info,    "an order of a rollout was acknowledged") \
  X(RolloutStep,            1601, Info,    "the leader proposed the next step of a rollout") \
  X(RolloutRolledBack,      1602, Warning, "the leader proposed to roll a rollout back") \
  X(RolloutRefused,         1603, Warning, "an order of a rollout was refused") \
  X(RolloutsTakenOver,      1604, Info,    "a new leader took over the running rollouts; it counts anew") \
  X(AccountLimited,         1610, Info,    "a client account is near its quota, so its nodes get limits") \
  X(AccountNotLimited,      1611, Info,    "a client account is below its quota again") \
  X(QuotaShareChanged,      1612, Warning, "the part of the fleet that this control VM hears from, and with it the part of the quotas that it assigns, changed") \
  X(NodeReady,              2000, Info,    "the node accepts callers' requests") \
  X(ConfigApplied,          2001, Info,    "a configuration version is in force") \
  X(ConfigRefused,          2002, Error,   "a configuration version was refused") \
  X(ServingBelowFloor,      2003, Warning, "no fresh control VM answered; the version in force is below the node's floor, or nobody could name a floor") \
  X(ControlSessionOpened,   2004, Info,    "connected to a control VM") \
  X(ControlSessionClosed,   2005, Warning, "connection to a control VM failed or ended") \
  X(TargetStateChanged,     2100, Info,    "the state of the node's own target changed") \
  X(TargetReportIgnored,    2103, Warning, "a target's report was late, malformed or from a target that has left") \
  X(DrainCutShort,          2101, Warning, "requests were aborted when the drain time limit expired") \
  X(RingFull,               2102, Warning, "the ring buffer between two threads was full") \
  X(RequestServed,          2110, Info,    "a caller received a target's response; only a sample is logged") \
  X(RequestFailed,          2111, Info,    "a caller received a response of the system itself, or a target's failure") \
  X(AttemptRepeated,        2112, Info,    "an attempt failed and the request is retried at another target") \
  X(RequestNotAdmitted,     2113, Info,    "the node of a target refused a request") \
  X(DecisionsOmitted,       2114, Warning, "log lines about requests were omitted to limit the size of the log") \
  X(PeerUnreachable,        2115, Warning, "connecting to another node failed or it stopped responding; its target is avoided") \
  X(PeerReachable,          2116, Info,    "an unreachable node responded again") \
  X(TargetLeaving,          2117, Info,    "the node's own target leaves, as its answer or another node says") \
  X(TargetLimitChanged,     2118, Info,    "the node's own target named another limit on its requests per second, or none any more") \
  X(TargetNoticeMalformed,  2119, Warning, "the node's own target said something of itself that can't be read; it is ignored") \
  X(LeaveAcknowledged,      2120, Info,    "a report that the node's own target leaves was answered with success") \
  X(LeaveNotStored,         2121, Warning, "a report that the node's own target leaves was refused, since the control VMs did not store it in time") \
  X(TargetEnded,            2122, Warning, "the node's own target ended while it ran requests") \
  X(RequestAtCrash,         2123, Warning, "a request that the node's own target may have been running when it ended") \
  X(RequestQuarantined,     2124, Warning, "a request was refused, since targets ended while they ran such a request") \
  X(RequestIsolated,        2125, Info,    "a request runs alone at the node's own target, since targets ended while they ran such a request") \
  X(RequestExonerated,      2126, Info,    "the node's own target completed a request, so targets did not end because of such a request") \
  X(RolloutPhaseApplied,    2127, Info,    "the rollout of a service has another phase in the configuration that the node uses") \
  X(RolloutsSuspended,      2128, Warning, "the node does not know whether its configuration is current and sends no requests to versions in trial") \
  X(RolloutsResumed,        2129, Info,    "the configuration is known to be current again, and the running rollouts apply") \
  X(RequestNotIdentified,   2137, Info,    "a caller's request was refused, since it has no key of a client account or the node may not use its keys") \
  X(KeysNotUsable,          2138, Warning, "the configuration was not confirmed as current in time, so requests with a key are refused") \
  X(KeysUsable,             2139, Info,    "the configuration was confirmed as current again, or needs no keys any more, so requests with a key are served") \
  X(QuotaExceeded,          2147, Info,    "a request was refused, since its client account used up its quota") \
  X(QuotaShareStatic,       2148, Warning, "no heartbeat arrived in time, so the node admits only its static share of the quotas") \
  X(QuotaShareDynamic,      2149, Info,    "heartbeats arrive again, so the control VMs decide on the quotas") \
  X(HedgeSent,              2157, Info,    "a request was slow and was sent to a second target as well") \
  X(HedgeWon,               2158, Info,    "the second target of a slow request answered first") \
  X(HedgeRefused,           2159, Info,    "the node of the second target refused a hedge, since no slot was free; it cost nothing") \
  X(HedgeWithheld,          2160, Info,    "a request was slow and was not sent to a second target") \
  X(AnswerRefused,          2161, Warning, "an answer of the node's own target or of another node was broken, and no caller gets it")
// clang-format on

enum class EventId : int
{
#define WIGEONFOLD_EVENT_ENUM(aName, aNumber, aLevel, aText) aName = aNumber,
  WIGEONFOLD_EVENTS(WIGEONFOLD_EVENT_ENUM)
#undef WIGEONFOLD_EVENT_ENUM
};

struct EventInfo
{
  EventId m_id;
  const char* m_name;
  EventLevel m_level;
  const char* m_meaning;
};

// All events in the order of the catalogue.
const std::vector<EventInfo>& EventCatalogue();
// Catalogue entry of an event; the first one if the id is unknown.
const EventInfo& InfoOf(EventId aId);

// ---- Log -------------------------------------------------------------------

struct EventField
{
  std::string m_name;
  std::string m_value;
};

struct Event
{
  HybridTime m_time = 0;
  EventId m_id = EventId::ProcessStarted;
  std::vector<EventField> m_fields;
};

// "1000 ProcessStarted name=a peer=b"; values that are empty or hold spaces,
// quotes or newlines are quoted.
std::string Format(const Event& aEvent);
// The same event as a line of the log: "time=2026-12-04T08:27:34.123Z
// level=info process=n code=1000 event=ProcessStarted name=a".
std::string FormatLine(const std::string& aProcess, const Event& aEvent);

// Keeps the newest events of the process for the timeline. A separate thread
// writes each event as one line to standard output, so that a slow reader of
// the log never blocks a caller.
class EventLog
{
public:
  // aProcess names the process in the timeline; aKept is the number of events
  // kept for it.
  EventLog(std::string aProcess, size_t aKept);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Thread safe. Never waits for output; while kMaxPending events are
  // waiting, further ones are counted and reported as EventsDropped.
  void Record(EventId aId, std::vector<EventField> aFields);

  // Thread safe. Copies the kept events with a stamp greater than aAfter.
  std::vector<Event> Since(HybridTime aAfter) const;

  const std::string& Process() const { return m_process; }

private:
  void WriteLoop();

  static constexpr size_t kMaxPending = 8192;

  const std::string m_process;
  const size_t m_kept;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Event> m_recent;
  std::deque<Event> m_pending;
  size_t m_dropped = 0;
  bool m_stopping = false;
  std::thread m_writer;
};

} // namespace wigeonfold
