#include "NodeSettings.h"

#include "wigeonfold/admission/Queue.h"
#include "wigeonfold/routing/Chooser.h"

namespace wigeonfold::node {

using namespace std::chrono_literals;

namespace {

constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kBytesPerMegabit = 1'000'000.0 / 8;

void ReadSession(SettingsFile& aFile, NodeSettings& aSettings)
{
  aSettings.m_sessionSilence = aFile.Time("session", "silence", 4s, 100ms, 60s);
  aSettings.m_maxFreshnessAge =
    aFile.Time("session", "max-freshness-age", 3s, 100ms, 60s);
  aSettings.m_sessionBackoffMax =
    aFile.Time("session", "backoff-max", 5s, 100ms, 60s);
  aSettings.m_sessionConnectTimeout =
    aFile.Time("session", "connect-timeout", 1s, 10ms, 60s);
}

void ReadCalls(SettingsFile& aFile, NodeSettings& aSettings)
{
  aSettings.m_pickStrategy =
    aFile.String("calls", "load-balancing", "power-of-two");
  if (routing::MakePickStrategy(
        aSettings.m_pickStrategy, aSettings.m_availabilityZone, 0) == nullptr) {
    aFile.AddProblem("calls",
                     "load-balancing",
                     "'" + aSettings.m_pickStrategy +
                       "' is not least-expected-time, power-of-two, "
                       "round-robin or random");
  }
  aSettings.m_queue = aFile.String("calls", "queue", "fair");
  if (admission::MakeQueue(aSettings.m_queue) == nullptr) {
    aFile.AddProblem(
      "calls", "queue", "'" + aSettings.m_queue + "' is not fair or fifo");
  }
  aSettings.m_peerConnectTimeout =
    aFile.Time("calls", "peer-connect-timeout", 250ms, 1ms, 10s);
  aSettings.m_targetConnectTimeout =
    aFile.Time("calls", "target-connect-timeout", 250ms, 1ms, 10s);
  aSettings.m_announceLease =
    aFile.Time("calls", "announce-lease", 3s, 100ms, 60s);
}

// The bound must leave time to renew the lease: a control VM confirms about
// every second by default.
identity::LeaseSettings ReadKeyLease(SettingsFile& aFile)
{
  identity::LeaseSettings lease;
  lease.m_strict = aFile.Boolean("accounts", "strict-revocation", false);
  lease.m_bound = aFile.Time("accounts", "revocation-bound", 5s, 2s, 1h);
  return lease;
}

} // namespace

// Each availability zone with control VMs has a line "zone = IP:PORT, IP:PORT".
// A [node] control-port other than 0 replaces the ports.
std::vector<NodeSettings::ControlVm> ReadControlVms(SettingsFile& aFile)
{
  std::vector<NodeSettings::ControlVm> vms;
  const auto port = static_cast<uint16_t>(
    aFile.Integer("node", "control-port", 0, 0, UINT16_MAX));
  for (const std::string& zone : aFile.Keys("control")) {
    for (SocketAddress address : aFile.Addresses("control", zone)) {
      address.m_port = port == 0 ? address.m_port : port;
      vms.push_back({ address, zone });
    }
  }
  if (vms.empty()) {
    aFile.AddProblem("control", "", "must list at least one control VM");
  }
  return vms;
}

NodeSettings ReadNodeSettings(SettingsFile& aFile)
{
  NodeSettings settings;
  settings.m_name = aFile.RequiredString("node", "name");
  settings.m_availabilityZone =
    aFile.RequiredString("node", "availability-zone");
  settings.m_callerListen = aFile.RequiredAddress("node", "caller-listen");
  settings.m_peerListen = aFile.RequiredAddress("node", "peer-listen");
  settings.m_peerAddress =
    aFile.Address("node", "peer-address").value_or(settings.m_peerListen);
  settings.m_localListen = aFile.RequiredAddress("node", "local-listen");
  settings.m_dialect = aFile.String("node", "dialect", "native");
  if (settings.m_dialect != "native" && settings.m_dialect != "platform") {
    aFile.AddProblem("node", "dialect", "must be native or platform");
  }
  settings.m_service = aFile.String("node", "service", "");
  settings.m_announceListen = aFile.Address("node", "announce-listen");
  settings.m_linkRate = static_cast<uint64_t>(
    aFile.Number("node", "link-mbps", 0, 0, kMaxLinkMbps) * kBytesPerMegabit);
  settings.m_readyListen = aFile.Address("node", "ready-listen");
  settings.m_controlVms = ReadControlVms(aFile);
  ReadSession(aFile, settings);
  ReadCalls(aFile, settings);
  settings.m_keyLease = ReadKeyLease(aFile);
  settings.m_linkFaults =
    net::ReadLinkFaults(aFile, settings.m_peerListen.m_host);
  settings.m_drainLinger = aFile.Time("drain", "linger", 1s, 0ms, 60s);
  settings.m_drainLimit = aFile.Time("drain", "limit", 30s, 0ms, 600s);
  if (settings.m_drainLimit < settings.m_drainLinger) {
    aFile.AddProblem("drain", "limit", "must not be shorter than linger");
  }
  return settings;
}

} // namespace wigeonfold::node
