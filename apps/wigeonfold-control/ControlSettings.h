// Settings of the control process.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/NodeSessions.h"
#include "wigeonfold/net/LinkPolicy.h"

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
  // Other control VMs that are contacted at the start.
  std::vector<SocketAddress> m_seeds;
  // This VM creates the cluster when its data folder is empty and no other
  // control VM already belongs to one.
  bool m_bootstrap = false;
  // Names of the first voters; the bootstrapping VM waits for all of them and
  // adds them by itself, once.
  std::set<std::string> m_initialVoters;
  net::LinkFaults m_linkFaults; // for tests of whole processes

  consensus::RaftSettings m_raft;
  discovery::EndpointTableOptions m_endpoints;
  distribution::NodeSessionsOptions m_nodes;
};

// Notes problems in aFile; the result is usable only when there are none.
ControlSettings ReadControlSettings(SettingsFile& aFile);

} // namespace wigeonfold::control
