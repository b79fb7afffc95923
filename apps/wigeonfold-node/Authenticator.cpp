#include "Authenticator.h"

namespace wigeonfold::node {

using forwarding::LocalReply;
using forwarding::Outcome;
using identity::Verdict;

Authenticator::Authenticator(identity::LeaseSettings aSettings,
                             const TargetSide& aTarget,
                             const forwarding::Dialect& aDialect,
                             NodeMetrics& aMetrics,
                             observe::DecisionLog& aLog)
  : m_lease(aSettings)
  , m_target(aTarget)
  , m_dialect(aDialect)
  , m_metrics(aMetrics)
  , m_log(aLog)
{
}

std::optional<LocalReply> Authenticator::Refuse(forwarding::ParsedCall& aCall,
                                                const routing::View& aView,
                                                TimePoint aNow)
{
  if (!aCall.m_credentials) {
    return std::nullopt;
  }
  wire::CallRequest& request = *aCall.m_request;
  const auto parentAccount = m_target.AccountOfCaller(aCall.m_parentId, aNow);
  const identity::Decision decision = identity::Authenticate(
    { *aCall.m_credentials, aCall.m_isAuthExempt, parentAccount.has_value() },
    aView.Accounts(),
    m_lease,
    aNow);
  m_metrics.CountAuthentication(decision.m_reason);
  if (decision.m_verdict != Verdict::Run) {
    LogRefusal(request, decision, aView, aNow);
    return LocalReply{ decision.m_verdict == Verdict::NoAccount
                         ? Outcome::Unauthenticated
                         : Outcome::KeysNotCurrent,
                       forwarding::kNoTarget,
                       decision.m_retryAfter };
  }
  if (parentAccount) {
    request.office = *parentAccount;
  } else if (decision.m_account != nullptr) {
    NoteAccount(request, *decision.m_account);
  }
  return std::nullopt;
}

void Authenticator::NoteAccount(wire::CallRequest& aRequest,
                                const routing::ClientAccount& aAccount) const
{
  aRequest.office = aAccount.m_path;
  aRequest.priority = aAccount.m_priority.value_or(aRequest.priority);
  for (wire::HeaderField& field : m_dialect.AccountFields(aAccount.m_name)) {
    aRequest.headers.push_back(std::move(field));
  }
}

void Authenticator::LogRefusal(const wire::CallRequest& aRequest,
                               const identity::Decision& aDecision,
                               const routing::View& aView,
                               TimePoint aNow)
{
  if (m_log.Admits(EventId::RequestNotIdentified, aNow)) {
    m_log.Record(EventId::RequestNotIdentified,
                 { { "request", aRequest.requestId },
                   { "route", aRequest.route },
                   { "reason", identity::ToString(aDecision.m_reason) },
                   { "version", ToString(aView.Settings().TreeVersion()) },
                   { "age-ms", FormatAge(aNow) } });
  }
}

void Authenticator::CheckLease(const routing::View& aView, TimePoint aNow)
{
  const bool mayServe =
    !aView.Accounts().RequireKeys() || m_lease.MayServe(aNow);
  if (mayServe == m_mayServe) {
    return;
  }
  const EventId event = mayServe ? EventId::KeysUsable : EventId::KeysNotUsable;
  if (m_log.Admits(event, aNow)) {
    m_mayServe = mayServe;
    m_log.Record(event,
                 { { "version", ToString(aView.Settings().TreeVersion()) },
                   { "age-ms", FormatAge(aNow) } });
  }
}

// Time since the configuration in force was last known to be current.
std::string Authenticator::FormatAge(TimePoint aNow) const
{
  const auto since = m_lease.CurrentAsOf();
  return since ? std::to_string(ToMilliseconds(aNow - *since)) : "unknown";
}

} // namespace wigeonfold::node
