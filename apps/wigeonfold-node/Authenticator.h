// Authenticates callers' requests and notes their client account.
#pragma once

#include "NodeMetrics.h"
#include "TargetSide.h"

#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/identity/Authentication.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <optional>

namespace wigeonfold::node {

// All methods run on the data thread. The referenced objects must outlive it.
class Authenticator
{
public:
  Authenticator(identity::LeaseSettings aSettings,
                const TargetSide& aTarget,
                const forwarding::Dialect& aDialect,
                NodeMetrics& aMetrics,
                observe::DecisionLog& aLog);

  void OnInForce(const Version& aVersion) { m_lease.OnInForce(aVersion); }
  void OnConfirmed(const identity::Confirmation& aConfirmation)
  {
    m_lease.OnConfirmed(aConfirmation);
  }

  // Returns why the request is not run, or notes its account in it: the
  // account's path, its priority and the fields for the target. A call of the
  // node's own target gets the account of the request that the target runs.
  std::optional<forwarding::LocalReply> Refuse(forwarding::ParsedCall& aCall,
                                               const routing::View& aView,
                                               TimePoint aNow);

  // Logs the end and the renewal of the lease. Call about every second.
  void CheckLease(const routing::View& aView, TimePoint aNow);

private:
  void NoteAccount(wire::CallRequest& aRequest,
                   const routing::ClientAccount& aAccount) const;
  void LogRefusal(const wire::CallRequest& aRequest,
                  const identity::Decision& aDecision,
                  const routing::View& aView,
                  TimePoint aNow);
  std::string FormatAge(TimePoint aNow) const;

  identity::ConfigurationLease m_lease;
  const TargetSide& m_target;
  const forwarding::Dialect& m_dialect;
  NodeMetrics& m_metrics;
  observe::DecisionLog& m_log;
  bool m_mayServe = true; // as logged last
};

} // namespace wigeonfold::node
