#include "QuotaExchange.h"

#include "wigeonfold/routing/ClientAccounts.h"

#include <cmath>

namespace wigeonfold::control {

namespace {

using namespace std::chrono_literals;

// Lines on accounts in each kLogInterval, which many accounts near their
// quotas would exceed.
constexpr int kMaxLines = 20;
constexpr Duration kLogInterval = 1s;
// A smaller change of the share than this is a node that moves to another
// control VM.
constexpr double kMinShareChange = 0.05;

std::vector<quota::AccountQuota> ReadQuotas(const settings::Tree& aTree)
{
  const routing::ClientAccounts accounts(aTree);
  std::vector<quota::AccountQuota> quotas;
  for (const auto& [path, account] : accounts.All()) {
    if (account.m_rate > 0) {
      quotas.push_back({ path, account.m_rate, account.m_burst });
    }
  }
  return quotas;
}

std::string Rounded(double aValue)
{
  return std::to_string(std::lround(aValue));
}

} // namespace

QuotaExchange::QuotaExchange(int64_t aMemberId,
                             int64_t aIncarnation,
                             EventLog& aLog)
  : m_log(aLog)
  , m_quotas(aMemberId, aIncarnation)
{
}

void QuotaExchange::SetTree(const settings::Tree& aTree, TimePoint aNow)
{
  m_quotas.SetQuotas(ReadQuotas(aTree), aNow);
}

void QuotaExchange::SetMembers(const wire::Membership& aMembership)
{
  std::set<int64_t> members;
  for (const wire::Member& member : aMembership.members) {
    members.insert(member.memberId);
  }
  m_quotas.SetMembers(std::move(members));
}

void QuotaExchange::Tick(PeerLinks& aPeers, TimePoint aNow)
{
  if (const auto sync = m_quotas.TakeSync(aNow)) {
    aPeers.SendQuotaSync(*sync);
  }
  LogChanges(aNow);
  LogShare();
}

void QuotaExchange::LogChanges(TimePoint aNow)
{
  if (aNow >= m_nextLog) {
    m_nextLog = aNow + kLogInterval;
    m_loggedLines = 0;
  }
  for (const quota::LimitChange& change : m_quotas.TakeChanges()) {
    if (++m_loggedLines > kMaxLines) {
      continue;
    }
    m_log.Record(change.m_limited ? EventId::AccountLimited
                                  : EventId::AccountNotLimited,
                 { { "account", change.m_path },
                   { "level", Rounded(change.m_level) },
                   { "demand", Rounded(change.m_demand) },
                   { "quota", Rounded(change.m_rate) } });
  }
}

void QuotaExchange::LogShare()
{
  const double share = m_quotas.IsActive() ? m_quotas.Share() : 1;
  if (std::abs(share - m_loggedShare) < kMinShareChange) {
    return;
  }
  m_loggedShare = share;
  constexpr int kPercent = 100;
  m_log.Record(EventId::QuotaShareChanged,
               { { "percent", Rounded(share * kPercent) },
                 { "nodes", std::to_string(m_quotas.FleetNodes()) } });
}

QuotaSummary QuotaExchange::Summary() const
{
  return { m_quotas.Counters(),
           m_quotas.LimitedAccounts(),
           m_quotas.IsActive() ? m_quotas.FleetNodes() : 0,
           m_quotas.IsActive() ? m_quotas.Share() : 1 };
}

} // namespace wigeonfold::control
