// What the threads of a node send each other through rings.
#pragma once

#include "wigeonfold/base/Ring.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/discovery/TargetReport.h"
#include "wigeonfold/routing/View.h"

#include <optional>
#include <string>
#include <variant>

namespace wigeonfold::node {

// Control thread to data thread.
struct ViewUpdate
{
  std::shared_ptr<const routing::View> m_view; // null: unchanged
  uint64_t m_digest = 0;
  bool m_ready = false; // callers' traffic may be accepted
};

// A target's report of itself. Http thread to data thread.
using Announcement = discovery::TargetReport;

struct StatusQuery
{
  uint64_t m_id = 0;
};

using HttpToData = std::variant<Announcement, StatusQuery>;

// State of the own target as its node sees it.
enum class TargetState
{
  Absent, // never announced
  Ready,
  Draining, // leaving, or gone
};

const char* ToString(TargetState aState);

struct TargetStatus
{
  std::string m_service;
  SocketAddress m_address;
  TargetState m_state = TargetState::Absent;
  bool m_leaseLost = false;
  int m_slots = 0;
  int m_running = 0;
  int m_queued = 0;
  size_t m_connections = 0;
};

// Answer to a StatusQuery. Data thread to http thread.
struct StatusReport
{
  uint64_t m_id = 0;
  std::optional<Version> m_inForce;
  uint64_t m_digest = 0;
  bool m_ready = false;
  bool m_stopping = false;
  size_t m_services = 0;
  size_t m_endpoints = 0;
  size_t m_calls = 0;
  size_t m_peers = 0;
  TargetStatus m_target;
};

// Data thread to control thread: the own endpoint changed, or a peer reported
// its version.
using DataToControl = std::variant<wire::EndpointRecord, Version>;

// Bound on the bodies of requests that callers, or that peers, have under way
// here. The node has to stay below 32 MB with both.
inline constexpr size_t kMaxRequestBytes = size_t{ 8 } << 20;

// Enough for bursts; a full ring is reported by the producer.
inline constexpr size_t kRingCapacity = 256;

} // namespace wigeonfold::node
