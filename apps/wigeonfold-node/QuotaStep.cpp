#include "QuotaStep.h"

#include "wigeonfold/settings/Schema.h"

#include <cmath>
#include <utility>

namespace wigeonfold::node {

namespace {

std::string ToText(double aValue)
{
  constexpr double kThousandths = 1000;
  return std::to_string(std::round(aValue * kThousandths) / kThousandths);
}

std::vector<quota::AccountQuota> ReadQuotas(
  const routing::ClientAccounts& aAccounts)
{
  std::vector<quota::AccountQuota> quotas;
  for (const auto& [path, account] : aAccounts.All()) {
    if (account.m_rate > 0) {
      quotas.push_back({ path, account.m_rate, account.m_burst });
    }
  }
  return quotas;
}

} // namespace

QuotaStep::QuotaStep(uint64_t aSeed,
                     NodeMetrics& aMetrics,
                     observe::DecisionLog& aLog,
                     ShareUsage aShare)
  : m_quotas(aSeed)
  , m_metrics(aMetrics)
  , m_log(aLog)
  , m_share(std::move(aShare))
{
}

// ---- State -----------------------------------------------------------------

void QuotaStep::SetView(std::shared_ptr<const routing::View> aView,
                        TimePoint aNow)
{
  const bool sameAccounts = m_view && &m_view->Accounts() == &aView->Accounts();
  m_view = std::move(aView);
  auto quotas = sameAccounts ? m_inForce : ReadQuotas(m_view->Accounts());
  if (quotas != m_inForce || m_endpoints != m_view->EndpointCount()) {
    m_inForce = std::move(quotas);
    m_endpoints = m_view->EndpointCount();
    m_quotas.SetQuotas(m_inForce, static_cast<int>(m_endpoints), aNow);
  }
}

void QuotaStep::OnNotice(const quota::QuotaNotice& aNotice, TimePoint aNow)
{
  m_quotas.OnNotice(aNotice, aNow);
}

// ---- Requests --------------------------------------------------------------

// A route without authentication has no quota either, whatever account the
// request names.
bool QuotaStep::IsExempt(const std::string& aRoute) const
{
  return !aRoute.empty() &&
         m_view->Settings().Boolean(
           settings::JoinPath(settings::kRoutes, aRoute), "route.auth-exempt");
}

QuotaResult QuotaStep::Charge(const wire::CallRequest& aRequest, TimePoint aNow)
{
  if (!m_quotas.HasQuota(aRequest.office) || IsExempt(aRequest.route)) {
    return {};
  }
  const auto refusal = m_quotas.Admit(aRequest.office, aNow);
  if (!refusal) {
    return { true, std::nullopt };
  }
  LogRefusal(aRequest, *refusal, aNow);
  return { false, refusal->m_retryAfter };
}

void QuotaStep::GiveBack(const wire::CallRequest& aRequest)
{
  m_quotas.GiveBack(aRequest.office);
}

void QuotaStep::LogRefusal(const wire::CallRequest& aRequest,
                           const quota::QuotaRefusal& aRefusal,
                           TimePoint aNow)
{
  if (!m_log.Admits(EventId::QuotaExceeded, aNow)) {
    return;
  }
  const auto* account = m_view->Accounts().Find(aRequest.office);
  m_log.Record(
    EventId::QuotaExceeded,
    { { "request", aRequest.requestId },
      { "account", aRequest.office },
      { "route", aRequest.route },
      { "basis", quota::ToString(aRefusal.m_basis) },
      { "quota", account == nullptr ? "" : ToText(account->m_rate) },
      { "node-rate", ToText(aRefusal.m_allowance.m_rate) },
      { "node-burst", ToText(aRefusal.m_allowance.m_burst) },
      { "credit", ToText(aRefusal.m_credit) },
      { "retry-ms", std::to_string(ToMilliseconds(aRefusal.m_retryAfter)) },
      { "version", ToString(m_view->Settings().TreeVersion()) } });
}

// ---- Timer -----------------------------------------------------------------

void QuotaStep::Tick(TimePoint aNow)
{
  Share();
  CheckStatic(aNow);
}

void QuotaStep::Share()
{
  Usage usage = m_quotas.TakeUsage();
  m_unshared.insert(m_unshared.end(), usage.begin(), usage.end());
  if (!m_unshared.empty() && m_share(m_unshared)) {
    m_unshared.clear();
  }
}

void QuotaStep::CheckStatic(TimePoint aNow)
{
  const bool isStatic = !m_quotas.IsEmpty() && m_quotas.IsStatic(aNow);
  m_metrics.SetQuotas(m_quotas.LimitedAccounts(), isStatic);
  if (isStatic == m_isStatic) {
    return;
  }
  m_isStatic = isStatic;
  const EventId event =
    isStatic ? EventId::QuotaShareStatic : EventId::QuotaShareDynamic;
  if (m_log.Admits(event, aNow)) {
    m_log.Record(event, { { "nodes", std::to_string(m_quotas.FleetNodes()) } });
  }
}

} // namespace wigeonfold::node
