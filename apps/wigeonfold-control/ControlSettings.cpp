#include "ControlSettings.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

constexpr const char* kControl = "control";
constexpr const char* kTiming = "timing";
constexpr const char* kLimits = "limits";
constexpr const char* kRollouts = "rollouts";

std::set<std::string> ParseNames(const std::string& aText)
{
  std::vector<std::string> parts;
  boost::split(parts, aText, boost::is_any_of(","));
  std::set<std::string> names;
  for (std::string& part : parts) {
    boost::trim(part);
    if (!part.empty()) {
      names.insert(std::move(part));
    }
  }
  return names;
}

void ReadAddresses(SettingsFile& aFile, ControlSettings& aSettings)
{
  aSettings.m_peerListen = aFile.RequiredAddress(kControl, "peer-listen");
  aSettings.m_nodeListen = aFile.RequiredAddress(kControl, "node-listen");
  aSettings.m_apiListen = aFile.RequiredAddress(kControl, "api-listen");
  aSettings.m_peerAddress =
    aFile.Address(kControl, "peer-address").value_or(aSettings.m_peerListen);
  aSettings.m_apiAddress =
    aFile.Address(kControl, "api-address").value_or(aSettings.m_apiListen);
  aSettings.m_nodeAddress =
    aFile.Address(kControl, "node-address").value_or(aSettings.m_nodeListen);
  aSettings.m_operatorListen = aFile.Address(kControl, "operator-listen");
  aSettings.m_seeds = ReadSeeds(aFile);
  const size_t listed = aSettings.m_seeds.size();
  std::erase(aSettings.m_seeds, aSettings.m_peerAddress);
  std::erase(aSettings.m_seeds, aSettings.m_peerListen);
  aSettings.m_isSeed = aSettings.m_seeds.size() < listed;
}

// 2n + 1 voters keep a quorum when n of them are lost at a time.
void ReadMembership(SettingsFile& aFile, ControlSettings& aSettings)
{
  aSettings.m_automaticMembers =
    aFile.Boolean(kControl, "automatic-members", false);
  const auto losses =
    static_cast<size_t>(aFile.Integer(kControl, "tolerated-losses", 1, 0, 10));
  aSettings.m_policy.m_voters = 2 * losses + 1;
  aSettings.m_policy.m_standbyVoters = losses > 0 ? 1 : 0;
  if (aSettings.m_automaticMembers) {
    aSettings.m_toleratedLosses = losses;
    aSettings.m_raft.m_toleratedLosses = losses;
  }
}

void ReadTiming(SettingsFile& aFile, ControlSettings& aSettings)
{
  consensus::RaftSettings& raft = aSettings.m_raft;
  raft.m_heartbeat =
    aFile.Time(kTiming, "heartbeat", raft.m_heartbeat, 5ms, 10s);
  raft.m_electionMin =
    aFile.Time(kTiming, "election-min", raft.m_electionMin, 20ms, 60s);
  raft.m_electionMax =
    aFile.Time(kTiming, "election-max", raft.m_electionMax, 20ms, 120s);
  raft.m_lease = aFile.Time(kTiming, "lease", raft.m_lease, 10ms, 60s);
  aSettings.m_endpoints.m_sessionLease = aFile.Time(
    kTiming, "session-lease", aSettings.m_endpoints.m_sessionLease, 100ms, 60s);
  aSettings.m_endpoints.m_ownerLease = aFile.Time(
    kTiming, "owner-lease", aSettings.m_endpoints.m_ownerLease, 1s, 600s);
  aSettings.m_nodes.m_heartbeat = aFile.Time(
    kTiming, "node-heartbeat", aSettings.m_nodes.m_heartbeat, 50ms, 60s);
  if (raft.m_electionMax <= raft.m_electionMin) {
    aFile.AddProblem(
      kTiming, "election-max", "must be greater than election-min");
  }
  if (raft.m_heartbeat * 3 > raft.m_electionMin) {
    aFile.AddProblem(
      kTiming, "heartbeat", "must be at most a third of election-min");
  }
  // Allows for clocks whose rates differ by 10 % between VMs.
  if (raft.m_lease * 11 > raft.m_electionMin * 10) {
    aFile.AddProblem(kTiming, "lease", "must be at most 10/11 of election-min");
  }
}

void ReadLimits(SettingsFile& aFile, ControlSettings& aSettings)
{
  distribution::NodeSessionsOptions& nodes = aSettings.m_nodes;
  nodes.m_maxSessions =
    static_cast<size_t>(aFile.Integer(kLimits,
                                      "node-sessions",
                                      static_cast<int64_t>(nodes.m_maxSessions),
                                      1,
                                      100'000));
  nodes.m_maxFullTransfers = static_cast<size_t>(
    aFile.Integer(kLimits,
                  "full-transfers",
                  static_cast<int64_t>(nodes.m_maxFullTransfers),
                  1,
                  1000));
  nodes.m_helloRate =
    static_cast<double>(aFile.Integer(kLimits,
                                      "hellos-per-second",
                                      static_cast<int64_t>(nodes.m_helloRate),
                                      1,
                                      100'000));
}

void ReadRollouts(SettingsFile& aFile, ControlSettings& aSettings)
{
  RolloutSettings& rollouts = aSettings.m_rollouts;
  rollouts.m_exposureShare = aFile.Number(
    kRollouts, "exposure-share", rollouts.m_exposureShare, 0.0, 1.0);
  rollouts.m_rollbackBound = aFile.Time(
    kRollouts, "rollback-bound", rollouts.m_rollbackBound, 100ms, 600s);
}

} // namespace

std::vector<SocketAddress> ReadSeeds(SettingsFile& aFile)
{
  std::vector<SocketAddress> seeds = aFile.Addresses(kControl, "seeds");
  const auto port = static_cast<uint16_t>(
    aFile.Integer(kControl, "seed-port", 0, 0, UINT16_MAX));
  for (SocketAddress& seed : seeds) {
    seed.m_port = port == 0 ? seed.m_port : port;
  }
  return seeds;
}

ControlSettings ReadControlSettings(SettingsFile& aFile)
{
  ControlSettings settings;
  settings.m_name = aFile.RequiredString(kControl, "name");
  settings.m_availabilityZone =
    aFile.RequiredString(kControl, "availability-zone");
  settings.m_dataFolder = aFile.RequiredString(kControl, "data-folder");
  ReadAddresses(aFile, settings);
  settings.m_bootstrap = aFile.Boolean(kControl, "bootstrap", false);
  settings.m_initialVoters =
    ParseNames(aFile.String(kControl, "initial-voters", ""));
  ReadMembership(aFile, settings);
  ReadTiming(aFile, settings);
  ReadLimits(aFile, settings);
  ReadRollouts(aFile, settings);
  settings.m_linkFaults =
    net::ReadLinkFaults(aFile, settings.m_peerListen.m_host);
  settings.m_diskRules = aFile.String("fault-injection", "disk-rules", "");
  const auto& voters = settings.m_initialVoters;
  if (!voters.empty() && !settings.m_bootstrap) {
    aFile.AddProblem(kControl, "initial-voters", "needs bootstrap = true");
  }
  if (!voters.empty() && voters.count(settings.m_name) == 0) {
    aFile.AddProblem(kControl, "initial-voters", "must contain this VM's name");
  }
  if (voters.size() > 1 && settings.m_seeds.empty()) {
    aFile.AddProblem(kControl, "seeds", "must name the other initial voters");
  }
  return settings;
}

} // namespace wigeonfold::control
