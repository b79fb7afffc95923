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

struct RolloutSettings
{
  // Share of a service's requests that a bad version may receive.
  double m_exposureShare = 0.1;
  // Time from the 50th bad answer of a version until it gets no request.
  Duration m_rollbackBound = std::chrono::seconds(5);
};

struct ControlSettings
{
  std::string m_name;
  std::string m_availabilityZone;
  std::string m_dataFolder;
  SocketAddress m_peerListen;
  SocketAddress m_nodeListen;
  SocketAddress m_apiListen;
  // Addresses announced to other VMs, nodes and operators; the listening
  // addresses unless set.
  SocketAddress m_peerAddress;
  SocketAddress m_apiAddress;
  SocketAddress m_nodeAddress;
  // Peer addresses of other control VMs, to connect to from the start on.
  std::vector<SocketAddress> m_seeds;
  // This VM creates the cluster when its data folder is empty and no other
  // control VM already belongs to one.
  bool m_bootstrap = false;
  // Names of the first voters. The bootstrapping VM waits until all of them
  // have connected, creates the cluster and adds each of them once.
  std::set<std::string> m_initialVoters;
  // The seeds create the cluster, and the leader adds, promotes and replaces
  // members without an operator.
  bool m_automaticMembers = false;
  bool m_isSeed = false; // the configured seeds contain this VM
  consensus::MembershipPolicyOptions m_policy;
  // Number of disks that may be lost at once without losing an acknowledged
  // change.
  size_t m_toleratedLosses = 0;
  // Address of the platform's operator interface, both to listen on and
  // announced to others. Not served unless set.
  std::optional<SocketAddress> m_operatorListen;
  net::LinkFaults m_linkFaults; // for tests of whole processes
  std::string m_diskRules;      // file with a disk fault to inject, or empty

  consensus::RaftSettings m_raft;
  discovery::EndpointTableOptions m_endpoints;
  distribution::NodeSessionsOptions m_nodes;
  RolloutSettings m_rollouts;
};

// Peer addresses of the configured seeds, with seed-port applied. Adds problems
// to aFile.
std::vector<SocketAddress> ReadSeeds(SettingsFile& aFile);

// Adds problems to aFile; the result is valid only when there are none.
ControlSettings ReadControlSettings(SettingsFile& aFile);

} // namespace wigeonfold::control
