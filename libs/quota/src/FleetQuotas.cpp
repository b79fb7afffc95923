#include "wigeonfold/quota/FleetQuotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonfold::quota {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr double kThousandths = 1000;
// Demand of an account: short, to see a flood within one report.
constexpr Duration kFastDemand = 400ms;
// Demand of a node, by which rates are split: a node with one request in a few
// seconds keeps its part until the next one.
constexpr Duration kSteadyDemand = 2s;
// Estimates below this are dropped.
constexpr double kMinDemand = 0.005;
// While an account is limited, its bucket is held slightly in debt, so that
// chance does not leave credit unused: by these parts of kOvershoot and of
// kSlack. Most of kSlack is left for chance, which matters to small accounts.
constexpr double kSetPointOfOvershoot = 0.4;
constexpr double kSetPointOfSlack = 0.4;
// Time in which a difference from the set point is made up. The delay of the
// control loop is about 0.6 s; three times that keeps it from oscillating.
constexpr Duration kCorrection = 1800ms;
// An account in debt keeps this part of its rate.
constexpr double kMinRatePart = 0.1;
// Part of the rate that is split evenly: the floor of nodes without demand.
constexpr double kEvenPart = 0.1;
// Part of the tolerance that the bursts of nodes may use.
constexpr double kSparePart = 0.4;
// Shortest time for which an account stays limited, so that one at its limit
// does not alternate.
constexpr Duration kMinLimited = 1s;
// A node that asks for more than this part of its UnlimitedAllowance is listed
// with a greater one, since demand may be uneven.
constexpr double kUnevenPart = 0.75;
// The same in 1/s: a single request counts as 1 / kSteadyDemand, and most nodes
// of a small account have one now and then.
constexpr double kUnevenDemand = 0.6;
// Growth of the fleet counts after this time: a node that changes its control
// VM is counted twice for a moment.
constexpr Duration kGrowthDelay = 3s;
// After its start a control VM learns of the fleet; growth counts at once.
constexpr Duration kStartTime = 5s;
// A bucket is in debt by no more than the tolerance and this much of its rate:
// what ran before a window does not matter to the bound.
constexpr double kMaxDebtSeconds = 1;

double SecondsOf(Duration aTime)
{
  return std::max(Seconds(aTime).count(), 0.0);
}

int64_t ToThousandths(double aValue)
{
  return static_cast<int64_t>(std::llround(aValue * kThousandths));
}

} // namespace

// ---- Estimates -------------------------------------------------------------

double FleetQuotas::RateEstimate::At(Duration aTimeConstant,
                                     TimePoint aNow) const
{
  return m_rate * std::exp(-SecondsOf(aNow - m_at) / SecondsOf(aTimeConstant));
}

void FleetQuotas::RateEstimate::Add(double aCount,
                                    Duration aTimeConstant,
                                    TimePoint aNow)
{
  m_rate = At(aTimeConstant, aNow) + aCount / SecondsOf(aTimeConstant);
  m_at = aNow;
}

// ---- Quotas ----------------------------------------------------------------

FleetQuotas::FleetQuotas(int64_t aMemberId, int64_t aIncarnation)
  : m_memberId(aMemberId)
  , m_incarnation(aIncarnation)
{
}

void FleetQuotas::SetQuotas(const std::vector<AccountQuota>& aQuotas,
                            TimePoint aNow)
{
  if (!IsActive() && !aQuotas.empty()) {
    m_startedAt = aNow;
    m_fleetNodes = 0;
    m_peers.clear();
    UpdateFleet(aNow);
  }
  std::unordered_map<int32_t, Account> accounts;
  for (const AccountQuota& quota : aQuotas) {
    const int32_t hash = HashOf(quota.m_path);
    const auto known = m_accounts.find(hash);
    Account& account = accounts[hash];
    if (known != m_accounts.end()) {
      Advance(known->second, aNow);
      account = known->second;
    }
    // A new account starts with an empty bucket: a control VM that has just
    // started does not know what ran before.
    account.m_quota = quota;
    account.m_levelAt = aNow;
    account.m_level = std::min(account.m_level, quota.m_burst);
  }
  m_accounts = std::move(accounts);
}

void FleetQuotas::SetMembers(std::set<int64_t> aMembers)
{
  m_members = std::move(aMembers);
  std::erase_if(m_peers, [this](const auto& aPeer) {
    return m_members.count(aPeer.first) == 0;
  });
}

void FleetQuotas::Advance(Account& aAccount, TimePoint aNow)
{
  const double rate = aAccount.m_quota.m_rate;
  const double time = SecondsOf(aNow - aAccount.m_levelAt);
  aAccount.m_levelAt = aNow;
  for (const auto& [member, peer] : m_peers) {
    if (!peer.m_heard) {
      aAccount.m_sources[member].m_reserved +=
        rate * time * peer.m_nodes / m_allNodes;
    }
  }
  aAccount.m_level = std::min(aAccount.m_level + rate * m_share * time,
                              aAccount.m_quota.m_burst * m_share);
}

// ---- Usage -----------------------------------------------------------------

void FleetQuotas::Debit(Account& aAccount, int64_t aMember, int64_t aAdmitted)
{
  const double reserved =
    std::exchange(aAccount.m_sources[aMember].m_reserved, 0);
  const double floor =
    -ToleranceOf(aAccount.m_quota) - kMaxDebtSeconds * aAccount.m_quota.m_rate;
  aAccount.m_level =
    std::clamp(aAccount.m_level + reserved - static_cast<double>(aAdmitted),
               floor,
               aAccount.m_quota.m_burst);
}

void FleetQuotas::Count(Account& aAccount,
                        int64_t aMember,
                        const wire::AccountUsage& aUsage,
                        TimePoint aNow)
{
  Advance(aAccount, aNow);
  Debit(aAccount, aMember, aUsage.admitted);
  const auto asked = static_cast<double>(std::max<int64_t>(aUsage.asked, 0));
  Source& source = aAccount.m_sources[aMember];
  source.m_fast.Add(asked, kFastDemand, aNow);
  source.m_steady.Add(asked, kSteadyDemand, aNow);
}

void FleetQuotas::OnUsage(const std::string& aNode,
                          const std::vector<wire::AccountUsage>& aUsage,
                          TimePoint aNow)
{
  ++m_counters.m_usageReports;
  for (const wire::AccountUsage& usage : aUsage) {
    const auto found = m_accounts.find(usage.accountHash);
    if (found == m_accounts.end()) {
      continue;
    }
    Account& account = found->second;
    Count(account, m_memberId, usage, aNow);
    account.m_nodes[aNode].Add(
      static_cast<double>(std::max<int64_t>(usage.asked, 0)),
      kSteadyDemand,
      aNow);
    account.m_counted.admitted += usage.admitted;
    account.m_counted.asked += usage.asked;
    account.m_unsent = true;
  }
}

void FleetQuotas::ForgetNode(const std::string& aNode)
{
  for (auto& [hash, account] : m_accounts) {
    account.m_nodes.erase(aNode);
  }
}

// ---- Other control VMs -----------------------------------------------------

std::optional<wire::QuotaSync> FleetQuotas::TakeSync(TimePoint aNow)
{
  if (!IsActive() || aNow < m_nextSync) {
    return std::nullopt;
  }
  m_nextSync = aNow + kSyncInterval;
  wire::QuotaSync sync;
  sync.owner = m_memberId;
  sync.nodes = m_sessions;
  sync.incarnation = m_incarnation;
  sync.sequence = ++m_sequence;
  for (auto& [hash, account] : m_accounts) {
    if (account.m_unsent) {
      account.m_unsent = false;
      sync.usage.push_back(account.m_counted);
      sync.usage.back().accountHash = hash;
    }
  }
  ++m_counters.m_syncsSent;
  return sync;
}

FleetQuotas::Peer& FleetQuotas::GreetPeer(const wire::QuotaSync& aSync)
{
  const auto [found, isNew] = m_peers.try_emplace(aSync.owner);
  Peer& peer = found->second;
  if (isNew || peer.m_incarnation != aSync.incarnation) {
    peer.m_incarnation = aSync.incarnation;
    peer.m_joinedLate = aSync.sequence > 1;
    for (auto& [hash, account] : m_accounts) {
      account.m_sources[aSync.owner].m_seen.reset();
    }
  }
  return peer;
}

// What was counted since the last sync that named the account.
wire::AccountUsage FleetQuotas::NewUsage(Account& aAccount,
                                         const Peer& aPeer,
                                         int64_t aMember,
                                         const wire::AccountUsage& aCounted)
{
  std::optional<wire::AccountUsage>& seen = aAccount.m_sources[aMember].m_seen;
  wire::AccountUsage usage;
  if (seen || !aPeer.m_joinedLate) {
    usage.admitted = aCounted.admitted - (seen ? seen->admitted : 0);
    usage.asked = aCounted.asked - (seen ? seen->asked : 0);
  }
  seen = aCounted;
  return usage;
}

void FleetQuotas::OnSync(const wire::QuotaSync& aSync, TimePoint aNow)
{
  if (aSync.owner == m_memberId) {
    return;
  }
  ++m_counters.m_syncsReceived;
  Peer& peer = GreetPeer(aSync);
  for (const wire::AccountUsage& counted : aSync.usage) {
    const auto found = m_accounts.find(counted.accountHash);
    if (found != m_accounts.end()) {
      Account& account = found->second;
      Count(account,
            aSync.owner,
            NewUsage(account, peer, aSync.owner, counted),
            aNow);
    }
  }
  if (!peer.m_heard) {
    for (auto& [hash, account] : m_accounts) {
      Advance(account, aNow);
    }
    peer.m_heard = true;
  }
  peer.m_nodes = std::max(aSync.nodes, 0);
  peer.m_heardAt = aNow;
  UpdateFleet(aNow);
}

// The part of the nodes there is taken back to the time of the last message.
void FleetQuotas::OnSilence(int64_t aMember, const Peer& aPeer, TimePoint aNow)
{
  const double part = static_cast<double>(aPeer.m_nodes) / m_allNodes;
  for (auto& [hash, account] : m_accounts) {
    Advance(account, aNow);
    const double taken =
      account.m_quota.m_rate * part * SecondsOf(aNow - aPeer.m_heardAt);
    account.m_level -= taken;
    Source& source = account.m_sources[aMember];
    source.m_reserved += taken;
    source.m_fast = {};
    source.m_steady = {};
  }
}

// ---- Size of the fleet -----------------------------------------------------

void FleetQuotas::SetSessions(int aNodes, TimePoint aNow)
{
  if (aNodes != m_sessions) {
    m_sessions = aNodes;
    UpdateFleet(aNow);
  }
}

// The fleet is known to be as large as it was while all control VMs were heard
// from. What is missing of that may serve requests without being heard of here.
void FleetQuotas::UpdateFleet(TimePoint aNow)
{
  int heardNodes = m_sessions;
  bool allHeard = true;
  for (const auto& [member, peer] : m_peers) {
    heardNodes += peer.m_heard ? peer.m_nodes : 0;
    allHeard &= peer.m_heard;
  }
  int unknownNodes = 0;
  for (const int64_t member : m_members) {
    // A member that was never heard from has about as many nodes as this one.
    if (member != m_memberId && m_peers.count(member) == 0) {
      unknownNodes += m_sessions;
    }
  }
  const bool starting = !m_startedAt || aNow - *m_startedAt < kStartTime;
  if (heardNodes > m_fleetNodes) {
    m_grownSince = m_grownSince.value_or(aNow);
    if (starting || (allHeard && aNow - *m_grownSince >= kGrowthDelay)) {
      m_fleetNodes = heardNodes;
    }
  } else {
    m_grownSince.reset();
  }
  if (heardNodes < m_fleetNodes && allHeard) {
    m_shrunkSince = m_shrunkSince.value_or(aNow);
    if (aNow - *m_shrunkSince >= kNodeMemory) {
      m_fleetNodes = heardNodes;
    }
  } else {
    m_shrunkSince.reset();
  }
  m_allNodes = std::max({ m_fleetNodes, heardNodes + unknownNodes, 1 });
  m_share = heardNodes > 0 ? static_cast<double>(heardNodes) / m_allNodes : 1;
}

// ---- Decisions -------------------------------------------------------------

bool FleetQuotas::Tick(TimePoint aNow)
{
  if (!IsActive()) {
    m_lastTick = aNow;
    return false;
  }
  // After a pause of this process the silence of the others proves nothing yet.
  const bool paused = aNow - m_lastTick > kPeerTimeout / 2;
  m_lastTick = aNow;
  bool isUrgent = false;
  for (auto& [member, peer] : m_peers) {
    if (peer.m_heard && !paused && aNow - peer.m_heardAt > kPeerTimeout) {
      OnSilence(member, peer, aNow);
      peer.m_heard = false;
      isUrgent = true;
    }
  }
  std::erase_if(m_peers, [aNow](const auto& aPeer) {
    return aNow - aPeer.second.m_heardAt > kPeerMemory;
  });
  UpdateFleet(aNow);
  bool hasLimits = false;
  for (auto& [hash, account] : m_accounts) {
    const bool wasLimited = account.m_limited;
    Advance(account, aNow);
    Decide(account, aNow);
    hasLimits |= account.m_limited;
    isUrgent |= account.m_limited && !wasLimited;
  }
  return isUrgent && hasLimits;
}

void FleetQuotas::Decide(Account& aAccount, TimePoint aNow)
{
  aAccount.m_demand = 0;
  aAccount.m_steadyDemand = 0;
  for (const auto& [member, source] : aAccount.m_sources) {
    aAccount.m_demand += source.m_fast.At(kFastDemand, aNow);
    aAccount.m_steadyDemand += source.m_steady.At(kSteadyDemand, aNow);
  }
  std::erase_if(aAccount.m_nodes, [aNow](const auto& aNode) {
    return aNode.second.At(kSteadyDemand, aNow) < kMinDemand;
  });
  const double rate = aAccount.m_quota.m_rate * m_share;
  const double tolerance = ToleranceOf(aAccount.m_quota) * m_share;
  const double excess = std::max(aAccount.m_demand - rate, 0.0);
  const double projected = aAccount.m_level - excess * SecondsOf(kReaction);
  if (projected < 0) {
    aAccount.m_limitedUntil = aNow + kMinLimited;
    SetLimited(aAccount, true);
  } else if (aNow >= aAccount.m_limitedUntil) {
    SetLimited(aAccount, false);
  }
  const double debt =
    m_share * (kSetPointOfOvershoot * (ToleranceOf(aAccount.m_quota) - kSlack) +
               kSetPointOfSlack * kSlack);
  const double error = aAccount.m_level + debt;
  aAccount.m_allowedRate =
    std::max(rate + error / SecondsOf(kCorrection), kMinRatePart * rate);
  aAccount.m_spareBurst =
    std::max(aAccount.m_level + kSparePart * tolerance, 0.0);
}

void FleetQuotas::SetLimited(Account& aAccount, bool aLimited)
{
  if (aAccount.m_limited == aLimited) {
    return;
  }
  aAccount.m_limited = aLimited;
  m_changes.push_back({ aAccount.m_quota.m_path,
                        aLimited,
                        aAccount.m_level,
                        aAccount.m_demand,
                        aAccount.m_quota.m_rate });
}

std::vector<LimitChange> FleetQuotas::TakeChanges()
{
  std::vector<LimitChange> changes;
  changes.swap(m_changes);
  return changes;
}

std::optional<Allowance> FleetQuotas::LimitOf(const Account& aAccount,
                                              const std::string& aNode) const
{
  const auto known = aAccount.m_nodes.find(aNode);
  const double demand = known == aAccount.m_nodes.end()
                          ? 0
                          : known->second.At(kSteadyDemand, m_lastTick);
  const double steady = std::max(aAccount.m_steadyDemand, demand);
  const double byDemand = steady > 0 ? demand / steady : 0;
  const int nodes = m_allNodes;
  const Allowance unlimited = UnlimitedAllowance(aAccount.m_quota, nodes);
  if (!aAccount.m_limited) {
    if (demand <= std::max(kUnevenPart * unlimited.m_rate, kUnevenDemand)) {
      return std::nullopt;
    }
    // Not more in sum than a single node would have.
    const Allowance whole = UnlimitedAllowance(aAccount.m_quota, 1);
    return Allowance{ std::max(unlimited.m_rate, whole.m_rate * byDemand),
                      std::max(unlimited.m_burst, whole.m_burst * byDemand) };
  }
  const double heard = std::max(m_share * nodes, 1.0);
  const double part = (1 - kEvenPart) * byDemand + kEvenPart / heard;
  const double ratio =
    aAccount.m_demand > 0
      ? std::min(aAccount.m_allowedRate / aAccount.m_demand, 1.0)
      : 1.0;
  // At a constant demand a node saves this ratio from one request to the next
  // on average; twice that leaves room for chance.
  return Allowance{ aAccount.m_allowedRate * part,
                    2 * ratio + aAccount.m_spareBurst * part };
}

void FleetQuotas::Fill(wire::Heartbeat& aBeat, const std::string& aNode)
{
  if (!IsActive()) {
    return;
  }
  aBeat.__set_quotaNodes(m_allNodes);
  std::vector<wire::AccountLimit> limits;
  for (const auto& [hash, account] : m_accounts) {
    if (const auto allowance = LimitOf(account, aNode)) {
      wire::AccountLimit& limit = limits.emplace_back();
      limit.accountHash = hash;
      limit.milliRate = ToThousandths(allowance->m_rate);
      limit.milliBurst = ToThousandths(allowance->m_burst);
    }
  }
  m_counters.m_limitsSent += limits.size();
  if (!limits.empty()) {
    aBeat.limits = std::move(limits);
    aBeat.__isset.limits = true;
  }
}

size_t FleetQuotas::LimitedAccounts() const
{
  return static_cast<size_t>(
    std::count_if(m_accounts.begin(), m_accounts.end(), [](const auto& aEntry) {
      return aEntry.second.m_limited;
    }));
}

std::optional<double> FleetQuotas::LevelOf(const std::string& aPath) const
{
  const auto found = m_accounts.find(HashOf(aPath));
  return found == m_accounts.end() ? std::nullopt
                                   : std::optional(found->second.m_level);
}

} // namespace wigeonfold::quota
