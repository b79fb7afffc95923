// Second attempts for slow requests: timers, log and metrics around
// forwarding::HedgePolicy.
#pragma once

#include "Deadlines.h"
#include "NodeMetrics.h"

#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/CallTable.h"
#include "wigeonfold/forwarding/HedgePolicy.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::node {

// Knows the calls in progress of routes with a hedge-percent. Use only on the
// data thread.
class Hedging
{
public:
  Hedging(NodeMetrics& aMetrics, observe::DecisionLog& aLog);

  // The first attempt of a call has started. aPercent is not 0.
  void OnStarted(uint64_t aCall,
                 const wire::CallRequest& aRequest,
                 int aPercent,
                 TimePoint aDeadline,
                 TimePoint aNow);
  // Calls whose hedge is due. Call every 10 ms.
  std::vector<uint64_t> TakeDue(TimePoint aNow);
  // Whether the limits let the call have its hedge now.
  bool Admits(uint64_t aCall, TimePoint aNow);
  // aStart is the hedge; nothing if no target may take it.
  void OnDecided(uint64_t aCall,
                 const std::optional<forwarding::StartAttempt>& aStart,
                 TimePoint aNow);
  // Returns true if the attempt was a hedge of which the target got nothing.
  bool OnAttemptEnded(const forwarding::AttemptKey& aKey,
                      forwarding::Outcome aOutcome,
                      const wire::CallResponse& aResponse,
                      TimePoint aNow);
  void OnFinished(uint64_t aCall, TimePoint aNow);

  // The request to send: for a hedge a copy that is marked as such, since the
  // attempts of a call share one object otherwise.
  static std::shared_ptr<wire::CallRequest> RequestFor(
    const forwarding::StartAttempt& aStart,
    const std::shared_ptr<wire::CallRequest>& aRequest);

private:
  struct Entry
  {
    forwarding::HedgeCandidate m_candidate;
    std::string m_requestId;
    TimePoint m_started{};
    TimePoint m_due{};          // zero: no hedge is planned
    TimePoint m_objective{};    // zero: none
    std::optional<int> m_hedge; // number of the hedge under way
    std::string m_hedgeTarget;
    bool m_answered = false; // the first attempt was answered
    // Another attempt than a hedge has failed, so the time of the call is not
    // that of one attempt.
    bool m_failed = false;
  };

  bool IsOverloaded(const Entry& aEntry,
                    forwarding::Outcome aOutcome,
                    const wire::CallResponse& aResponse) const;
  void EndHedge(Entry& aEntry, NodeMetrics::Hedge aResult, TimePoint aNow);
  void Log(EventId aEvent,
           const Entry& aEntry,
           const char* aReason,
           TimePoint aNow);

  NodeMetrics& m_metrics;
  observe::DecisionLog& m_log;
  forwarding::HedgePolicy m_policy;
  std::unordered_map<uint64_t, Entry> m_entries; // by call
  Deadlines m_due;
};

} // namespace wigeonfold::node
