// Settings of the control process.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/consensus/MembershipPolicy.h"
#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/NodeSessions.h"
#include "wigeonfold/net/LinkPolicy.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::control {

struct ControlSettings
{
  std::string m_name;
  std::string m_availabilityZone;
  std::string m_dataFolder;
  SocketAddress m_peerListen;
  SocketAddress m_nodeListen;
  SocketAddress m_apiListen;
  // Addresses told to others; the listening addresses unless set.
  SocketAddress m_peerAddress;
  SocketAddress m_apiAddress;
  SocketAddress m_nodeAddress;
  // Other control VMs that are contacted at the start.
  std::vector<SocketAddress> m_seeds;
  // This VM creates the cluster when its data folder is empty and no other
  // control VM already belongs to one.
  bool m_bootstrap = false;
  // Names of the first voters; the bootstrapping VM waits for all of them and
  // adds them by itself, once.
  std::set<std::string> m_initialVoters;
  // The group forms from the seeds and replaces lost members by itself.
  bool m_automaticMembers = false;
  bool m_isSeed = false; // the seeds contain this VM
  consensus::MembershipPolicyOptions m_policy;
  // Changes are refused while the group has fewer voters, so that an accepted
  // change is on that many disks at least.
  size_t m_minVoters = 1;
  // The platform's interface for operators, and its address told to others.
  std::optional<SocketAddress> m_operatorListen;
  net::LinkFaults m_linkFaults; // for tests of whole processes
  std::string m_diskRules;      // file with a disk fault; empty: none

  consensus::RaftSettings m_raft;
  discovery::EndpointTableOptions m_endpoints;
  distribution::NodeSessionsOptions m_nodes;
};

// Peers' addresses of the seeds, this VM left out. Notes problems in aFile.
std::vector<SocketAddress> ReadSeeds(SettingsFile& aFile);

// Notes problems in aFile; the result is usable only when there are none.
ControlSettings ReadControlSettings(SettingsFile& aFile);

} // namespace wigeonfold::control
