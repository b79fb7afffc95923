// Requests of callers: from HTTP to attempts at endpoints and back.
#pragma once

#include "Deadlines.h"
#include "NodeMetrics.h"
#include "PeerClient.h"
#include "TargetSide.h"

#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace wigeonfold::node {

// Runs on the data thread.
class CallerSide
{
public:
  CallerSide(std::string aNodeName,
             routing::Chooser aChooser,
             TargetSide& aTarget,
             PeerClient& aPeers,
             forwarding::Dialect& aDialect,
             NodeMetrics& aMetrics,
             observe::DecisionLog& aLog);

  void SetView(std::shared_ptr<const routing::View> aView);
  // Callers' traffic is rejected until then.
  void SetReady() { m_ready = true; }

  void OnRequest(net::HttpRequest aRequest,
                 net::HttpRespond aRespond,
                 const net::HttpOnAbandon& aOnAbandon);

  // Reports of PeerClient.
  void OnWritten(const forwarding::AttemptKey& aKey);
  void OnAttemptEnded(const forwarding::AttemptKey& aKey,
                      forwarding::Outcome aOutcome,
                      wire::CallResponse aResponse);
  void OnGoaway(const std::string& aNodeName);
  void OnUnreachable(const std::string& aNodeName);
  void OnReachable(const std::string& aNodeName);
  void OnSilent(const forwarding::AttemptKey& aKey);

  // Ends calls past their deadline. Call each 10 ms.
  void Tick(TimePoint aNow);

  size_t Active() const { return m_calls.size(); }

private:
  // An attempt under way: at the own target, or at a peer.
  struct Attempt
  {
    int m_number = 0;
    bool m_local = false;
    uint64_t m_served = 0;
    PeerTicket m_ticket;
  };
  struct ActiveCall
  {
    std::shared_ptr<const routing::View> m_view; // holds the call's route
    std::shared_ptr<wire::CallRequest> m_request;
    forwarding::Call m_call;
    net::HttpRespond m_respond;
    TimePoint m_arrived{};
    TimePoint m_timeout{};
    size_t m_bytes = 0;
    std::string m_lastTarget;
    std::vector<Attempt> m_attempts;
    wire::CallResponse m_response; // of the attempt that ended last
    forwarding::Outcome m_responseOutcome = forwarding::Outcome::TargetLost;
    // Answer of a target that ran the request in vain; the caller's answer
    // unless a later attempt does better.
    std::optional<wire::CallResponse> m_failure;
  };

  void Reject(forwarding::Outcome aOutcome, const net::HttpRespond& aRespond);
  void Execute(uint64_t aId, const forwarding::CallStep& aStep);
  void Start(uint64_t aId,
             ActiveCall& aCall,
             const forwarding::StartAttempt& aStart);
  void StartLocal(uint64_t aId, ActiveCall& aCall, int aNumber);
  void StartRemote(uint64_t aId,
                   ActiveCall& aCall,
                   const forwarding::StartAttempt& aStart);
  void Withdraw(ActiveCall& aCall, int aNumber);
  void Finish(uint64_t aId, forwarding::Outcome aOutcome);
  void Log(EventId aEvent,
           const ActiveCall& aCall,
           forwarding::Outcome aOutcome,
           TimePoint aNow);
  void Abandon(uint64_t aId);

  const std::string m_nodeName;
  routing::Chooser m_chooser;
  routing::Tracker m_tracker;
  TargetSide& m_target;
  PeerClient& m_peers;
  forwarding::Dialect& m_dialect;
  NodeMetrics& m_metrics;
  observe::DecisionLog& m_log;
  std::shared_ptr<const routing::View> m_view;
  bool m_ready = false;
  std::unordered_map<std::string, forwarding::RetryBudget> m_budgets;
  std::unordered_map<uint64_t, ActiveCall> m_calls;
  uint64_t m_lastId = 0;
  size_t m_bytes = 0; // of request bodies in memory
  Deadlines m_deadlines;
};

} // namespace wigeonfold::node
