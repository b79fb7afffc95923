// Messages between the threads of a node, sent through rings.
#pragma once

#include "wigeonfold/base/Ring.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/TargetReport.h"
#include "wigeonfold/identity/ConfigurationLease.h"
#include "wigeonfold/quota/NodeQuotas.h"
#include "wigeonfold/routing/View.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wigeonfold::node {

struct KnownLeaving
{
  TargetStart m_start;
  bool m_stored = false; // by the control VMs
};

using CrashRecords = std::vector<wire::CrashRecord>;

// From the control thread to the data thread.
struct ViewUpdate
{
  std::shared_ptr<const routing::View> m_view; // null: unchanged
  uint64_t m_digest = 0;
  bool m_ready = false; // callers' traffic may be accepted
  // m_ready was confirmed by a current control VM.
  bool m_confirmed = false;
  // Starts of the node's target that leave, as announced before a restart or
  // stored by the control VMs. They precede m_ready.
  std::vector<KnownLeaving> m_leaving;
  // New or changed ones, as other nodes report them.
  CrashRecords m_crashes;
  // The newest view is known to have been current at that time. Nothing:
  // unchanged. Set only while a rollout runs.
  std::optional<TimePoint> m_currentAsOf;
  // Of the last heartbeat that had one.
  std::optional<quota::QuotaNotice> m_quotas;
  // Names the version that it belongs to, which is in force by now or later.
  std::optional<identity::Confirmation> m_confirmation;
};

// Requests of client accounts with a quota at this node.
using QuotaUsage = std::vector<wire::AccountUsage>;

// A target's report of itself.
using Announcement = discovery::TargetReport;

// From the HTTP thread to the data thread.
struct AnnouncementReceived
{
  uint64_t m_id = 0; // returned in the answer
  Announcement m_announcement;
};

// Answer to an AnnouncementReceived. From the data thread to the HTTP thread.
struct AnnouncementAnswer
{
  uint64_t m_id = 0;
  bool m_acknowledged = false; // otherwise the target is to report again
};

// Asks the data thread for a StatusReport.
struct StatusQuery
{
  uint64_t m_id = 0; // returned in the report
};

// From the HTTP thread to the data thread.
using HttpToData = std::variant<AnnouncementReceived, StatusQuery>;

// State of the node's own target, as the node sees it.
enum class TargetState
{
  Absent, // never announced
  Ready,
  // The target or its node shuts down, the lease is lost, the target refuses
  // connections, the configuration drains the node, or the node doesn't know
  // yet which starts have left.
  Draining,
};

const char* ToString(TargetState aState);

// The node's own target in a StatusReport.
struct TargetStatus
{
  std::string m_service;
  SocketAddress m_address;
  TargetState m_state = TargetState::Absent;
  bool m_leaseLost = false; // no announcement within the announce lease
  int m_slots = 0;
  int m_running = 0; // requests that occupy a slot
  int m_queued = 0;  // requests that wait for a slot
  size_t m_connections = 0;
  std::optional<double> m_requestLimit; // requests per second, as it names it
  size_t m_crashes = 0;                 // ends of the target under requests
};

// Answer to a StatusQuery. From the data thread to the HTTP thread.
struct StatusReport
{
  uint64_t m_id = 0;                // of the query
  std::optional<Version> m_inForce; // nothing before the first configuration
  uint64_t m_digest = 0;
  bool m_ready = false;
  bool m_stopping = false;
  size_t m_services = 0;
  size_t m_endpoints = 0;
  size_t m_calls = 0; // callers' requests under way
  size_t m_peers = 0; // peer connections in both directions
  TargetStatus m_target;
};

using DataToHttp = std::variant<StatusReport, AnnouncementAnswer>;

// Counts of all services with a running rollout since the node's start.
using VersionStatsList = std::vector<wire::VersionRouteStats>;

// From the data thread to the control thread: the node's own endpoint changed,
// a peer reported a newer version, a start of the target leaves and is to be
// stored, crash records changed, the counts of rollouts are to be reported, or
// client accounts used their quotas.
using DataToControl = std::variant<wire::EndpointRecord,
                                   Version,
                                   TargetStart,
                                   CrashRecords,
                                   VersionStatsList,
                                   QuotaUsage>;

// Limit on the total size of request bodies in memory, applied to the requests
// of callers and to those for the node's own target separately. With both at
// their limit, the node must stay below 32 MB.
inline constexpr size_t kMaxRequestBytes = size_t{ 8 } << 20;

// Messages per ring; enough for bursts. A producer that finds its ring full
// reports that.
inline constexpr size_t kRingCapacity = 256;

} // namespace wigeonfold::node
