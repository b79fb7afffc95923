// Node side of fleet-wide quotas: decides whether a request of a client account
// is within the account's quota.
#pragma once

#include "wigeonfold/quota/AccountQuota.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::quota {

// Limits that a control VM assigned to this node in a heartbeat.
struct QuotaNotice
{
  std::vector<wire::AccountLimit> m_limits;
  int m_nodes = 0; // of the fleet
};

// Why a request was refused.
enum class QuotaBasis
{
  Unlimited, // the control VMs have not limited the account
  Limited,   // by an AccountLimit
  Static,    // no heartbeat for NodeQuotas::kNoticeTimeout
};
const char* ToString(QuotaBasis aBasis);

struct QuotaRefusal
{
  Duration m_retryAfter{}; // until credit is available
  QuotaBasis m_basis = QuotaBasis::Unlimited;
  Allowance m_allowance;
  double m_credit = 0; // in requests
};

// Answers a client account that sends more than its quota, over any number of
// nodes, which would use up the targets of the others. Each account with a
// quota has a bucket of credit. A request is admitted at once if there is
// credit of a whole request; with a credit c < 1 it is admitted with the
// probability c and the credit is used up in either case. So an account that
// has less than one request per second at a node gets its part on average,
// without a bucket of a whole request at each node, the sum of which would
// exceed the quota. Deterministic; not thread safe.
class NodeQuotas
{
public:
  explicit NodeQuotas(uint64_t aSeed);

  // Replaces the quotas. Accounts that are new start without credit, so that a
  // restart of the node grants none. aEndpoints is the number of nodes that the
  // configuration names, which counts until the first notice.
  void SetQuotas(const std::vector<AccountQuota>& aQuotas,
                 int aEndpoints,
                 TimePoint aNow);
  // A heartbeat with quotaNodes arrived.
  void OnNotice(const QuotaNotice& aNotice, TimePoint aNow);

  // Counts a request. Nothing if it is admitted or its account has no quota.
  std::optional<QuotaRefusal> Admit(const std::string& aAccount,
                                    TimePoint aNow);
  // An admitted request ended as not run: gives its credit back.
  void GiveBack(const std::string& aAccount);

  // Accounts with requests since the last call, for NodeStatus.usage.
  std::vector<wire::AccountUsage> TakeUsage();

  bool IsEmpty() const { return m_accounts.empty(); }
  bool HasQuota(const std::string& aAccount) const
  {
    return m_accounts.count(aAccount) > 0;
  }
  // Nodes of the fleet, as far as known.
  int FleetNodes() const { return m_nodes; }
  // Accounts with an AccountLimit.
  size_t LimitedAccounts() const;
  // Whether the static share applies to all accounts.
  bool IsStatic(TimePoint aNow) const;

  // After this time without a notice the static share applies.
  static constexpr Duration kNoticeTimeout = std::chrono::milliseconds(1500);
  // Longest Retry-After. The control VMs assign limits anew within a window.
  static constexpr Duration kMaxRetryAfter = kWindow;

private:
  struct Account
  {
    AccountQuota m_quota;
    double m_credit = 0;
    TimePoint m_creditAt{};
    std::optional<Allowance> m_limit;
    int64_t m_admitted = 0; // since the last TakeUsage()
    int64_t m_asked = 0;
    bool m_touched = false; // listed in m_touched
  };

  QuotaBasis BasisOf(const Account& aAccount, TimePoint aNow) const;
  Allowance AllowanceOf(const Account& aAccount, QuotaBasis aBasis) const;
  void Accrue(Account& aAccount, TimePoint aNow) const;
  bool Spend(Account& aAccount);
  void Touch(Account& aAccount);

  std::mt19937_64 m_random;
  std::unordered_map<std::string, Account> m_accounts; // by path
  std::unordered_map<int32_t, std::vector<Account*>> m_byHash;
  std::vector<Account*> m_touched;
  std::optional<TimePoint> m_noticedAt;
  int m_nodes = 1;
  bool m_knowsNodes = false; // a notice named them
};

} // namespace wigeonfold::quota
