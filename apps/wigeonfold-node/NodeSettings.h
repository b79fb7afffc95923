// Settings of a node.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/net/LinkPolicy.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::node {

struct NodeSettings
{
  // [node]
  std::string m_name;
  std::string m_availabilityZone;
  SocketAddress m_callerListen; // HTTP for callers
  SocketAddress m_peerListen;   // calls from other nodes
  SocketAddress m_peerAddress;  // where other nodes reach m_peerListen
  SocketAddress m_localListen;  // HTTP for the own target and for operators
  // The interface of callers and of the own target: "native" or "platform".
  std::string m_dialect = "native";
  std::string m_service; // of the own target until it announces itself
  // The platform's interfaces for the own target's reports and for readiness.
  std::optional<SocketAddress> m_announceListen;
  std::optional<SocketAddress> m_readyListen;
  // [control]
  struct ControlVm
  {
    SocketAddress m_address;
    std::string m_availabilityZone;
  };
  std::vector<ControlVm> m_controlVms;
  // [session] with a control VM
  Duration m_sessionSilence{};  // one without a frame for this long is left
  Duration m_maxFreshnessAge{}; // one less current than this is left
  Duration m_sessionBackoff{};  // longest pause between two attempts
  Duration m_sessionConnectTimeout{};
  // [calls]
  std::string m_pickStrategy;
  std::string m_queue;
  Duration m_peerConnectTimeout{};
  Duration m_targetConnectTimeout{};
  Duration m_announceLease{};
  net::LinkFaults m_linkFaults; // for tests of whole processes
  // [drain]
  Duration m_drainLinger{}; // new requests are still accepted this long
  Duration m_drainLimit{};  // requests under way are cut after this
};

// Control VMs in [control]. Notes problems in aFile.
std::vector<NodeSettings::ControlVm> ReadControlVms(SettingsFile& aFile);

// Reads every key; problems are listed by aFile.Finish().
NodeSettings ReadNodeSettings(SettingsFile& aFile);

} // namespace wigeonfold::node
