// The quota step of a caller's request: binds quota::NodeQuotas to the data
// thread.
#pragma once

#include "NodeMetrics.h"

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/observe/DecisionLog.h"
#include "wigeonfold/quota/NodeQuotas.h"
#include "wigeonfold/routing/View.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::node {

// Result of the quota step.
struct QuotaResult
{
  // The request took credit of its account, which GiveBack() returns.
  bool m_charged = false;
  // Time after which credit is available, if the request is refused.
  std::optional<Duration> m_retryAfter;
};

// All methods run on the data thread. The referenced objects must outlive it.
class QuotaStep
{
public:
  using Usage = std::vector<wire::AccountUsage>;
  // Passes usage on towards the control VM. When it returns false, it is called
  // again on the next tick.
  using ShareUsage = std::function<bool(const Usage&)>;

  QuotaStep(uint64_t aSeed,
            NodeMetrics& aMetrics,
            observe::DecisionLog& aLog,
            ShareUsage aShare);

  // aView must not be null.
  void SetView(std::shared_ptr<const routing::View> aView, TimePoint aNow);
  void OnNotice(const quota::QuotaNotice& aNotice, TimePoint aNow);

  // Precondition: SetView() was called; the request is not a call of the node's
  // own target.
  QuotaResult Charge(const wire::CallRequest& aRequest, TimePoint aNow);
  void GiveBack(const wire::CallRequest& aRequest);

  // Call every 100 ms.
  void Tick(TimePoint aNow);

private:
  bool IsExempt(const std::string& aRoute) const;
  void LogRefusal(const wire::CallRequest& aRequest,
                  const quota::QuotaRefusal& aRefusal,
                  TimePoint aNow);
  void Share();
  void CheckStatic(TimePoint aNow);

  quota::NodeQuotas m_quotas;
  NodeMetrics& m_metrics;
  observe::DecisionLog& m_log;
  const ShareUsage m_share;
  std::shared_ptr<const routing::View> m_view;
  std::vector<quota::AccountQuota> m_inForce;
  size_t m_endpoints = 0; // of the view at the last SetQuotas()
  Usage m_unshared;
  bool m_isStatic = false; // as logged last
};

} // namespace wigeonfold::node
