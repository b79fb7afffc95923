// Handles callers' requests: parses the HTTP request, makes attempts at
// endpoints and answers the caller. What it logs is in CallerLog.cpp.
#pragma once

#include "Authenticator.h"
#include "BrokenAnswers.h"
#include "Deadlines.h"
#include "Hedging.h"
#include "NodeMetrics.h"
#include "PeerClient.h"
#include "QuotaStep.h"
#include "TargetSide.h"

#include "wigeonfold/admission/Link.h"
#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/forwarding/VersionStats.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace wigeonfold::node {

// All methods run on the data thread. The referenced objects must outlive it.
class CallerSide
{
public:
  CallerSide(std::string aNodeName,
             routing::Chooser aChooser,
             TargetSide& aTarget,
             PeerClient& aPeers,
             forwarding::Dialect& aDialect,
             NodeMetrics& aMetrics,
             Authenticator& aAuthenticator,
             admission::Link& aLink,
             const discovery::CrashLedger& aCrashes,
             forwarding::VersionStats& aVersionStats,
             QuotaStep& aQuotas,
             BrokenAnswers& aBrokenAnswers,
             observe::DecisionLog& aLog);

  // aView must not be null. Calls under way keep the view they started with.
  void SetView(std::shared_ptr<const routing::View> aView);
  // See routing::VersionFilter.
  void SetCurrentAsOf(TimePoint aTime) { m_chooser.SetCurrentAsOf(aTime); }
  // Until this call, callers' requests are rejected with NoConfiguration.
  void SetReady() { m_ready = true; }

  // The node shuts down gracefully: from now on a call whose target's node is
  // silent keeps waiting for its answer, since a planned stop must not cut it.
  void BeginStopping() { m_stopping = true; }

  // Calls aRespond once, unless the caller disconnects first.
  void OnRequest(net::HttpRequest aRequest,
                 net::HttpRespond aRespond,
                 const net::HttpOnAbandon& aOnAbandon);

  // Events of PeerClient; see PeerClientHandlers.
  void OnWritten(const forwarding::AttemptKey& aKey);
  void OnAttemptEnded(const forwarding::AttemptKey& aKey,
                      forwarding::Outcome aOutcome,
                      wire::CallResponse aResponse);
  // As above, for an answer of another node.
  void OnPeerAnswer(const forwarding::AttemptKey& aKey,
                    forwarding::Outcome aOutcome,
                    wire::CallResponse aResponse);
  void OnGoaway(const std::string& aNodeName);
  void OnUnreachable(const std::string& aNodeName);
  void OnReachable(const std::string& aNodeName);
  void OnSilent(const forwarding::AttemptKey& aKey);

  // Ends the calls that are past their deadline. Call every 10 ms.
  void Tick(TimePoint aNow);

  size_t ActiveCalls() const { return m_calls.size(); }

private:
  // An attempt at the node's own target (m_local) or through a peer.
  struct Attempt
  {
    int m_number = 0;
    bool m_local = false;
    uint64_t m_targetCallId = 0; // if local: id for TargetSide::Cancel()
    PeerTicket m_ticket;         // if not local
    std::string m_target;        // node
  };
  struct ActiveCall
  {
    std::shared_ptr<const routing::View> m_view; // keeps the call's route alive
    std::shared_ptr<wire::CallRequest> m_request;
    forwarding::Call m_call;
    net::HttpRespond m_respond;
    TimePoint m_arrived{};
    TimePoint m_expiresAt{}; // deadline plus kOutcomeGrace
    uint64_t m_fingerprint = 0;
    bool m_charged = false; // took credit of its account's quota
    size_t m_bytes = 0;     // of the request body
    // Node of the attempt that ended last or, before one has, of the latest
    // one; or kNoTarget.
    std::string m_lastTarget;
    std::string m_lastSoftware; // version at that target
    std::vector<Attempt> m_attempts;
    wire::CallResponse m_response; // of the attempt that ended last
    forwarding::Outcome m_responseOutcome = forwarding::Outcome::TargetLost;
    // The latest failure (5xx) that a target answered. The caller receives it
    // unless a later attempt succeeds.
    std::optional<wire::CallResponse> m_failureResponse;
  };

  // The quota step; answers the caller and returns false if the request is
  // refused. Calls of the own target (aIsOwnCall) have no quota.
  bool Charge(const wire::CallRequest& aRequest,
              bool aIsOwnCall,
              const net::HttpRespond& aRespond,
              TimePoint aNow,
              bool& aCharged);
  void Reject(forwarding::Outcome aOutcome,
              const net::HttpRespond& aRespond,
              Duration aRetryAfter = Duration::zero());
  // Why a request that may end its targets is not run now; nothing if it is.
  struct CrashRefusal
  {
    forwarding::Outcome m_outcome = forwarding::Outcome::Quarantined;
    Duration m_retryAfter{};
  };
  static std::optional<CrashRefusal> RefusalOf(
    const discovery::CrashJudgement& aJudgement,
    const routing::ServiceRoute& aRoute);
  void LogRefusal(const wire::CallRequest& aRequest,
                  uint64_t aFingerprint,
                  const CrashRefusal& aRefusal,
                  TimePoint aNow);
  void Execute(uint64_t aId, const forwarding::CallStep& aStep);
  void Start(uint64_t aId,
             ActiveCall& aCall,
             const forwarding::StartAttempt& aStart);
  void StartLocal(uint64_t aId,
                  ActiveCall& aCall,
                  const forwarding::StartAttempt& aStart);
  void StartRemote(uint64_t aId,
                   ActiveCall& aCall,
                   const forwarding::StartAttempt& aStart);
  void HedgeSlow(uint64_t aId, TimePoint aNow);
  void CancelAttempt(ActiveCall& aCall, int aNumber);
  void NoteBrokenAnswer(const forwarding::AttemptKey& aKey,
                        const net::BrokenAnswer& aBroken);
  // Whether the newest view has that order and it is running.
  bool IsRunningOrder(const std::string& aService,
                      const std::string& aOrderId) const;
  // Counts an attempt of a request that began under the order that is running.
  // Precondition: m_response is that of the attempt.
  void CountForRollout(const ActiveCall& aCall,
                       int aNumber,
                       forwarding::Outcome aOutcome);
  void Finish(uint64_t aId, forwarding::Outcome aOutcome);
  void Log(EventId aEvent,
           const ActiveCall& aCall,
           forwarding::Outcome aOutcome,
           TimePoint aNow);
  void OnCallerDisconnected(uint64_t aId);

  const std::string m_nodeName;
  routing::Chooser m_chooser;
  routing::Tracker m_tracker;
  TargetSide& m_target;
  PeerClient& m_peers;
  forwarding::Dialect& m_dialect;
  NodeMetrics& m_metrics;
  Authenticator& m_authenticator;
  admission::Link& m_link;
  const discovery::CrashLedger& m_crashLedger;
  forwarding::VersionStats& m_versionStats;
  QuotaStep& m_quotas;
  BrokenAnswers& m_brokenAnswers;
  observe::DecisionLog& m_log;
  std::shared_ptr<const routing::View> m_view;
  bool m_ready = false;
  bool m_stopping = false;
  // By service.
  std::unordered_map<std::string, forwarding::RetryBudget> m_retryBudgets;
  std::unordered_map<uint64_t, ActiveCall> m_calls;
  uint64_t m_lastId = 0;
  size_t m_bytes = 0; // of the request bodies of all active calls
  Deadlines m_deadlines;
  Hedging m_hedging;
};

} // namespace wigeonfold::node
