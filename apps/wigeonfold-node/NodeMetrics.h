// Metrics of a node.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/identity/Authentication.h"
#include "wigeonfold/net/AnswerReader.h"
#include "wigeonfold/observe/Metrics.h"

#include <vector>

namespace wigeonfold::node {

// Where a node reads answers from.
enum class AnswerSource
{
  Target, // its own
  Node,   // another one
};

// "target" or "node".
const char* ToString(AnswerSource aSource);

// Registers the metrics once and updates them. aMetrics must outlive this
// object. All methods are thread safe.
class NodeMetrics
{
public:
  explicit NodeMetrics(observe::Metrics& aMetrics);

  void CountOutcome(forwarding::Outcome aOutcome);
  // A request was authenticated or refused for this reason.
  void CountAuthentication(identity::Reason aReason);
  // aIsRetry is true for all but the first attempt of a call.
  void CountAttempt(bool aIsRetry);
  // An attempt at a service that has a rollout.
  void CountRolloutAttempt(bool aIsOfRollout);
  enum class Hedge
  {
    Won, // it was answered first
    Lost,
    Refused, // by the target's node, at no cost
    Withheld,
  };
  // Sent hedges are those with another result than Withheld.
  void CountHedge(Hedge aResult);
  // An answer was refused, since it was broken.
  void CountBrokenAnswer(AnswerSource aSource, net::AnswerFault aFault);
  // Time from the arrival of a caller's request to its end.
  void ObserveLatency(Duration aLatency);
  // Requests and slots of the node's own target.
  void SetTargetLoad(int aRunning, int aQueued, int aSlots);
  // Requests per second that the own target takes; 0: it names no limit.
  void SetTargetRequestLimit(double aPerSecond);
  // Ends of the own target under requests since the node's start.
  void SetTargetCrashes(size_t aCrashes);
  // Client accounts that the control VMs limit here, and whether the node
  // falls back to its static share of the quotas.
  void SetQuotas(size_t aLimited, bool aIsStatic);
  // Frame bytes exchanged with control VMs since the start.
  void SetControlBytes(uint64_t aReceived, uint64_t aSent);

private:
  std::vector<prometheus::Counter*> m_outcomes;        // indexed by Outcome
  std::vector<prometheus::Counter*> m_authentications; // indexed by Reason
  prometheus::Counter& m_firstAttempts;
  prometheus::Counter& m_retries;
  prometheus::Counter& m_rolloutAttempts; // at the version of the rollout
  prometheus::Counter& m_otherAttempts;
  std::vector<prometheus::Counter*> m_hedges; // indexed by Hedge
  // Indexed by AnswerSource, then by AnswerFault.
  std::vector<std::vector<prometheus::Counter*>> m_brokenAnswers;
  prometheus::Histogram& m_latency;
  prometheus::Gauge& m_running;
  prometheus::Gauge& m_queued;
  prometheus::Gauge& m_slots;
  prometheus::Gauge& m_requestLimit;
  prometheus::Gauge& m_crashes;
  prometheus::Gauge& m_limitedAccounts;
  prometheus::Gauge& m_quotaStatic;
  prometheus::Gauge& m_controlReceived;
  prometheus::Gauge& m_controlSent;
};

} // namespace wigeonfold::node
