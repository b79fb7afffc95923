// Settings of a node, from the settings file.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/discovery/TargetReport.h"
#include "wigeonfold/identity/ConfigurationLease.h"
#include "wigeonfold/net/LinkPolicy.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::node {

// Members are grouped by the sections of the file.
struct NodeSettings
{
  // [node]
  std::string m_name;
  std::string m_availabilityZone;
  SocketAddress m_callerListen; // HTTP for callers
  SocketAddress m_peerListen;   // calls from other nodes
  SocketAddress m_peerAddress;  // where other nodes reach m_peerListen
  SocketAddress m_localListen;  // HTTP for the own target and operators
  // HTTP dialect of callers and of the own target: "native" or "platform".
  std::string m_dialect = "native";
  std::string m_service; // of the own target; empty: the one it announces
  // Interfaces of the platform, for reports of the own target and for the
  // node's readiness; not served when absent.
  std::optional<SocketAddress> m_announceListen;
  std::optional<SocketAddress> m_readyListen;
  // Rate of the VM's network link in bytes per second; 0: unknown. Large
  // answers are paced and admitted by it.
  uint64_t m_linkRate = 0;
  // [control]
  struct ControlVm
  {
    SocketAddress m_address;
    std::string m_availabilityZone;
  };
  std::vector<ControlVm> m_controlVms;
  // [session]: sessions with control VMs
  Duration m_sessionSilence{}; // a session without a frame this long is closed
  // Above this freshness age of the control VM, the node looks for a fresher
  // one.
  Duration m_maxFreshnessAge{};
  Duration m_sessionBackoffMax{}; // longest pause between connection attempts
  Duration m_sessionConnectTimeout{};
  // [calls]
  std::string m_pickStrategy; // see routing::MakePickStrategy()
  std::string m_queue;        // see admission::MakeQueue()
  Duration m_peerConnectTimeout{};
  Duration m_targetConnectTimeout{};
  Duration m_announceLease{}; // a target must announce itself this often
  // [accounts]
  identity::LeaseSettings m_keyLease;
  // Not read from the file.
  Duration m_maxReportDelay = discovery::TargetReportTracker::kMaxDelay;
  // [fault-injection], for tests of whole processes
  net::LinkFaults m_linkFaults;
  // [drain]
  Duration m_drainLinger{}; // new requests are still accepted for this long
  Duration m_drainLimit{};  // requests still running after this are aborted
};

// Reads the control VMs in [control]. Problems are added to aFile.
std::vector<NodeSettings::ControlVm> ReadControlVms(SettingsFile& aFile);

// Reads every key; problems are listed by aFile.Finish().
NodeSettings ReadNodeSettings(SettingsFile& aFile);

} // namespace wigeonfold::node
