// Control VM side of fleet-wide quotas: sums up the requests of each client
// account over the fleet and limits accounts at their nodes.
#pragma once

#include "wigeonfold/quota/AccountQuota.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::quota {

// An account became limited, or no longer is.
struct LimitChange
{
  std::string m_path;
  bool m_limited = false;
  double m_level = 0;  // of the account's bucket, in requests
  double m_demand = 0; // requests per second, all nodes
  double m_rate = 0;   // of the quota
};

struct FleetQuotasCounters
{
  uint64_t m_syncsSent = 0;
  uint64_t m_syncsReceived = 0;
  uint64_t m_usageReports = 0;
  uint64_t m_limitsSent = 0; // entries in heartbeats
};

// Answers a client account that exceeds its quota in sum over the fleet, as
// reported by nodes and by other control VMs, while machines fail and zones are
// cut off. Each control VM decides for its own nodes from its own estimate; no
// leader is involved.
//
// Each account has a bucket, debited by all requests that ran. A control VM
// that is not heard from may let its nodes use their part (their number over
// the fleet's) of rate and burst; this part is taken from the bucket here. What
// it reports later is debited only beyond what was taken for it. An account is
// limited when its bucket would be empty after kReaction at the present demand.
// Its nodes then get a rate that brings the bucket to its set point, split by
// their demand.
//
// With no quotas nothing is kept and nothing is sent. Deterministic; not thread
// safe.
class FleetQuotas
{
public:
  // aIncarnation must grow with each start of the process.
  FleetQuotas(int64_t aMemberId, int64_t aIncarnation);

  // ---- State ----
  void SetQuotas(const std::vector<AccountQuota>& aQuotas, TimePoint aNow);
  // Control VMs that are members, this one included.
  void SetMembers(std::set<int64_t> aMembers);
  bool IsActive() const { return !m_accounts.empty(); }

  // ---- Nodes ----
  // Number of nodes with a session here.
  void SetSessions(int aNodes, TimePoint aNow);
  void OnUsage(const std::string& aNode,
               const std::vector<wire::AccountUsage>& aUsage,
               TimePoint aNow);
  void ForgetNode(const std::string& aNode);
  // Sets quotaNodes and limits of a heartbeat to this node.
  void Fill(wire::Heartbeat& aBeat, const std::string& aNode);

  // ---- Other control VMs ----
  // The message for all of them; nothing until it is due.
  std::optional<wire::QuotaSync> TakeSync(TimePoint aNow);
  void OnSync(const wire::QuotaSync& aSync, TimePoint aNow);

  // Decides which accounts are limited. Call every 50 to 100 ms. Returns true
  // when an account became limited or a control VM fell silent while one is, so
  // that the nodes should hear of it before their next heartbeat.
  bool Tick(TimePoint aNow);
  std::vector<LimitChange> TakeChanges();

  // ---- Queries ----
  // Nodes of the fleet, also of those that are not heard from.
  int FleetNodes() const { return m_allNodes; }
  // Part of the fleet that is heard from, 0 to 1.
  double Share() const { return m_share; }
  size_t LimitedAccounts() const;
  const FleetQuotasCounters& Counters() const { return m_counters; }
  // Bucket level of an account; nothing for one without a quota.
  std::optional<double> LevelOf(const std::string& aPath) const;

  // A control VM without a message for this long counts as not heard from:
  // two syncs and the time of a repeated packet. Until then both sides of a
  // partition may use the whole rate.
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(700);
  static constexpr Duration kSyncInterval = std::chrono::milliseconds(300);
  // The nodes of a control VM that is not heard from keep their part for this
  // long: partitions of minutes occur several times a year.
  static constexpr Duration kPeerMemory = std::chrono::minutes(10);
  // Nodes that left while all control VMs were heard from keep their part for
  // this long, since they may only be cut off from all control VMs.
  static constexpr Duration kNodeMemory = std::chrono::seconds(30);

private:
  // Estimate of a rate, in 1/s, from counts. Each count decays.
  class RateEstimate
  {
  public:
    void Add(double aCount, Duration aTimeConstant, TimePoint aNow);
    double At(Duration aTimeConstant, TimePoint aNow) const;

  private:
    double m_rate = 0;
    TimePoint m_at{};
  };
  // What one control VM reported of an account.
  struct Source
  {
    RateEstimate m_fast;   // of all its nodes
    RateEstimate m_steady; // the same, smoothed like that of single nodes
    double m_reserved = 0; // taken from the bucket while it was not heard from
    // Counts of the last sync that named the account.
    std::optional<wire::AccountUsage> m_seen;
  };
  struct Account
  {
    AccountQuota m_quota;
    double m_level = 0;
    TimePoint m_levelAt{};
    bool m_limited = false;
    TimePoint m_limitedUntil{};                            // at least
    std::map<int64_t, Source> m_sources;                   // by member
    std::unordered_map<std::string, RateEstimate> m_nodes; // own ones
    wire::AccountUsage m_counted; // own nodes, since the start
    bool m_unsent = false;        // m_counted has changed since the last sync
    // As of the last Tick().
    double m_demand = 0;
    double m_steadyDemand = 0;
    double m_allowedRate = 0; // for all nodes that are heard from
    double m_spareBurst = 0;
  };
  struct Peer
  {
    int m_nodes = 0;
    TimePoint m_heardAt{};
    bool m_heard = true; // within kPeerTimeout
    int64_t m_incarnation = 0;
    // This VM missed the first messages of the incarnation, so the first count
    // of an account says nothing on when the requests ran.
    bool m_joinedLate = false;
  };

  void Advance(Account& aAccount, TimePoint aNow);
  void Debit(Account& aAccount, int64_t aMember, int64_t aAdmitted);
  Peer& GreetPeer(const wire::QuotaSync& aSync);
  wire::AccountUsage NewUsage(Account& aAccount,
                              const Peer& aPeer,
                              int64_t aMember,
                              const wire::AccountUsage& aCounted);
  void Count(Account& aAccount,
             int64_t aMember,
             const wire::AccountUsage& aUsage,
             TimePoint aNow);
  void Decide(Account& aAccount, TimePoint aNow);
  void UpdateFleet(TimePoint aNow);
  void OnSilence(int64_t aMember, const Peer& aPeer, TimePoint aNow);
  std::optional<Allowance> LimitOf(const Account& aAccount,
                                   const std::string& aNode) const;
  void SetLimited(Account& aAccount, bool aLimited);

  const int64_t m_memberId;
  const int64_t m_incarnation;
  int64_t m_sequence = 0;                          // of the last sync
  std::unordered_map<int32_t, Account> m_accounts; // by hash
  std::map<int64_t, Peer> m_peers;                 // by member
  std::set<int64_t> m_members;
  int m_sessions = 0;
  int m_fleetNodes = 0; // as heard from when all control VMs were
  int m_allNodes = 1;   // with an estimate for members not heard from yet
  double m_share = 1;
  std::optional<TimePoint> m_startedAt; // first quotas
  std::optional<TimePoint> m_grownSince;
  std::optional<TimePoint> m_shrunkSince;
  TimePoint m_nextSync{};
  TimePoint m_lastTick{};
  std::vector<LimitChange> m_changes;
  FleetQuotasCounters m_counters;
};

} // namespace wigeonfold::quota
