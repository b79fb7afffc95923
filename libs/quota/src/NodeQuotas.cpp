#include "wigeonfold/quota/NodeQuotas.h"

#include <algorithm>

namespace wigeonfold::quota {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kThousandths = 1000;
// Below this rate the time until the next credit is longer than
// NodeQuotas::kMaxRetryAfter for any credit.
constexpr double kMinRate = 0.001;

Allowance FromWire(const wire::AccountLimit& aLimit)
{
  const auto decimal = [](int64_t aThousandths) {
    return static_cast<double>(std::max<int64_t>(aThousandths, 0)) /
           kThousandths;
  };
  return { decimal(aLimit.milliRate), decimal(aLimit.milliBurst) };
}

} // namespace

const char* ToString(QuotaBasis aBasis)
{
  switch (aBasis) {
    case QuotaBasis::Unlimited:
      return "unlimited";
    case QuotaBasis::Limited:
      return "limited";
    case QuotaBasis::Static:
      break;
  }
  return "static";
}

NodeQuotas::NodeQuotas(uint64_t aSeed)
  : m_random(aSeed)
{
}

// ---- Quotas and limits -----------------------------------------------------

void NodeQuotas::SetQuotas(const std::vector<AccountQuota>& aQuotas,
                           int aEndpoints,
                           TimePoint aNow)
{
  if (!m_knowsNodes) {
    m_nodes = std::max(aEndpoints, 1);
  }
  std::unordered_map<std::string, Account> accounts;
  for (const AccountQuota& quota : aQuotas) {
    Account& account = accounts[quota.m_path];
    const auto known = m_accounts.find(quota.m_path);
    if (known != m_accounts.end()) {
      Accrue(known->second, aNow);
      account = known->second;
    }
    account.m_creditAt = aNow;
    account.m_quota = quota;
  }
  m_accounts = std::move(accounts);
  m_byHash.clear();
  m_touched.clear();
  for (auto& [path, account] : m_accounts) {
    m_byHash[HashOf(path)].push_back(&account);
    if (account.m_touched) {
      m_touched.push_back(&account);
    }
  }
}

void NodeQuotas::OnNotice(const QuotaNotice& aNotice, TimePoint aNow)
{
  for (auto& [path, account] : m_accounts) {
    Accrue(account, aNow); // by the allowance so far
    account.m_limit.reset();
  }
  if (aNotice.m_nodes > 0) {
    m_nodes = aNotice.m_nodes;
    m_knowsNodes = true;
  }
  m_noticedAt = aNow;
  for (const wire::AccountLimit& limit : aNotice.m_limits) {
    const auto named = m_byHash.find(limit.accountHash);
    if (named == m_byHash.end()) {
      continue;
    }
    for (Account* account : named->second) {
      account->m_limit = FromWire(limit);
      account->m_credit =
        std::min(account->m_credit, account->m_limit->m_burst);
    }
  }
}

bool NodeQuotas::IsStatic(TimePoint aNow) const
{
  return !m_noticedAt || aNow - *m_noticedAt > kNoticeTimeout;
}

QuotaBasis NodeQuotas::BasisOf(const Account& aAccount, TimePoint aNow) const
{
  if (IsStatic(aNow)) {
    return QuotaBasis::Static;
  }
  return aAccount.m_limit ? QuotaBasis::Limited : QuotaBasis::Unlimited;
}

Allowance NodeQuotas::AllowanceOf(const Account& aAccount,
                                  QuotaBasis aBasis) const
{
  switch (aBasis) {
    case QuotaBasis::Limited:
      return *aAccount.m_limit;
    case QuotaBasis::Unlimited:
      return UnlimitedAllowance(aAccount.m_quota, m_nodes);
    case QuotaBasis::Static:
      break;
  }
  return StaticAllowance(aAccount.m_quota, m_nodes);
}

// ---- Requests --------------------------------------------------------------

void NodeQuotas::Accrue(Account& aAccount, TimePoint aNow) const
{
  const Allowance allowance = AllowanceOf(aAccount, BasisOf(aAccount, aNow));
  const Seconds time = std::max(aNow - aAccount.m_creditAt, Duration::zero());
  aAccount.m_credit = std::min(
    aAccount.m_credit + allowance.m_rate * time.count(), allowance.m_burst);
  aAccount.m_creditAt = aNow;
}

bool NodeQuotas::Spend(Account& aAccount)
{
  if (aAccount.m_credit >= 1) {
    aAccount.m_credit -= 1;
    return true;
  }
  const double chance = std::uniform_real_distribution<double>()(m_random);
  const bool admitted = chance < aAccount.m_credit;
  aAccount.m_credit = std::min(aAccount.m_credit, 0.0);
  return admitted;
}

std::optional<QuotaRefusal> NodeQuotas::Admit(const std::string& aAccount,
                                              TimePoint aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return std::nullopt;
  }
  Account& account = found->second;
  Touch(account);
  ++account.m_asked;
  Accrue(account, aNow);
  const double credit = account.m_credit;
  if (Spend(account)) {
    ++account.m_admitted;
    return std::nullopt;
  }
  QuotaRefusal refusal;
  refusal.m_basis = BasisOf(account, aNow);
  refusal.m_allowance = AllowanceOf(account, refusal.m_basis);
  refusal.m_credit = credit;
  const double rate = std::max(refusal.m_allowance.m_rate, kMinRate);
  const Seconds wait(std::min(1 / rate, Seconds(kMaxRetryAfter).count()));
  refusal.m_retryAfter = std::chrono::duration_cast<Duration>(wait);
  return refusal;
}

void NodeQuotas::GiveBack(const std::string& aAccount)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end()) {
    Touch(found->second);
    --found->second.m_admitted;
    // Accrue() caps it by the burst that then applies.
    found->second.m_credit += 1;
  }
}

// ---- Reports ---------------------------------------------------------------

void NodeQuotas::Touch(Account& aAccount)
{
  if (!aAccount.m_touched) {
    aAccount.m_touched = true;
    m_touched.push_back(&aAccount);
  }
}

std::vector<wire::AccountUsage> NodeQuotas::TakeUsage()
{
  std::vector<wire::AccountUsage> usage;
  usage.reserve(m_touched.size());
  for (Account* account : m_touched) {
    wire::AccountUsage& entry = usage.emplace_back();
    entry.accountHash = HashOf(account->m_quota.m_path);
    entry.admitted = account->m_admitted;
    entry.asked = account->m_asked;
    account->m_admitted = 0;
    account->m_asked = 0;
    account->m_touched = false;
  }
  m_touched.clear();
  return usage;
}

size_t NodeQuotas::LimitedAccounts() const
{
  return static_cast<size_t>(
    std::count_if(m_accounts.begin(), m_accounts.end(), [](const auto& aEntry) {
      return aEntry.second.m_limit.has_value();
    }));
}

} // namespace wigeonfold::quota
