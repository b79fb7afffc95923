// The own target: admission, connections, drain state.
#pragma once

#include "Deadlines.h"
#include "Messages.h"
#include "TargetPool.h"

#include "wigeonfold/admission/Admission.h"
#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/forwarding/TargetCall.h"
#include "wigeonfold/forwarding/TargetHealth.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <deque>
#include <unordered_map>

namespace wigeonfold::node {

// Outcome of a served request; the response carries run, status, headers,
// body, load and reason, but no call id.
struct TargetReply
{
  forwarding::Outcome m_outcome = forwarding::Outcome::TargetLost;
  wire::CallResponse m_response;
};

using OnTargetReply = std::function<void(TargetReply)>;

struct TargetSideOptions
{
  std::string m_nodeName;
  Duration m_announceLease{};
  std::string m_service; // of the own target until it announces itself
};

// Serves requests, the node's own and those of peers, through the only path to
// the target. Runs on the data thread.
class TargetSide
{
public:
  // aOnChange is called when the target's service, slots or state changed.
  TargetSide(TargetSideOptions aOptions,
             std::unique_ptr<admission::Queue> aQueue,
             std::unique_ptr<TargetPool> aPool,
             const forwarding::Dialect& aDialect,
             observe::DecisionLog& aLog,
             std::function<void()> aOnChange);

  void SetView(std::shared_ptr<const routing::View> aView, TimePoint aNow);
  // Late reports and those of a target that left are ignored.
  discovery::ReportVerdict Announce(const Announcement& aAnnouncement,
                                    TimePoint aNow);
  // Graceful shutdown. The target is announced as draining at once.
  void BeginStopping();
  // Rejects new requests from now on; those in the queue still run.
  void RejectNew() { m_rejectNew = true; }

  // Calls aReply once unless the request is cancelled; possibly from inside
  // this call. Returns an id for Cancel().
  uint64_t Serve(std::shared_ptr<const wire::CallRequest> aRequest,
                 TimePoint aDeadline,
                 TimePoint aNow,
                 OnTargetReply aReply);
  // Withdraws a request; its connection to the target is closed. No reply.
  void Cancel(uint64_t aId, TimePoint aNow);

  // Lease, deadlines and queue timeouts. Call each 10 ms.
  void Tick(TimePoint aNow);
  void Sweep() { m_pool->Sweep(); }

  // Nothing when the target never announced itself.
  const std::optional<Announcement>& Announced() const { return m_target; }
  // The request of that id if the target is running it. A call that the target
  // makes meanwhile is one deeper, and a repeat if the request is one.
  std::shared_ptr<const wire::CallRequest> FindRunning(
    const std::string& aRequestId) const;
  TargetState State() const;
  // Service of the own target.
  const std::string& ServiceName() const;
  TargetStatus Status() const;
  size_t Active() const { return m_calls.size(); }

private:
  struct ServedCall
  {
    forwarding::TargetCall m_call;
    std::shared_ptr<const wire::CallRequest> m_request;
    TimePoint m_deadline{};
    TimePoint m_arrived{};
    TimePoint m_started{};
    Duration m_retryAfter{};
    OnTargetReply m_reply;
    TargetConnectionPtr m_connection;
    Exchange m_exchange;
  };

  std::optional<forwarding::Outcome> CheckServable(
    const wire::CallRequest& aRequest) const;
  const std::vector<admission::Share>& SharesOf(const std::string& aAccount);
  void Apply(std::vector<admission::Decision> aDecisions, TimePoint aNow);
  void Execute(uint64_t aId, forwarding::TargetStep aStep, TimePoint aNow);
  void Connect(uint64_t aId, ServedCall& aCall, TimePoint aNow);
  void Write(uint64_t aId, ServedCall& aCall, TimePoint aNow);
  forwarding::AnswerKind KindOf(const Exchange& aExchange) const;
  void OnExchange(uint64_t aId, Exchange aExchange);
  void End(uint64_t aId, const forwarding::TargetStep& aStep, TimePoint aNow);
  int MaxConnections() const;
  void LogRefusal(const ServedCall& aCall,
                  const admission::Decision& aDecision,
                  TimePoint aNow);
  void UpdateLimits(TimePoint aNow);
  void UpdateDraining(TimePoint aNow);
  void FillResponse(TargetReply& aReply, Exchange& aExchange, bool aIsHead);
  wire::TargetLoad Load() const;

  const TargetSideOptions m_options;
  admission::Admission m_admission;
  std::unique_ptr<TargetPool> m_pool;
  const forwarding::Dialect& m_dialect;
  observe::DecisionLog& m_log;
  const std::function<void()> m_onChange;
  std::shared_ptr<const routing::View> m_view;
  std::unordered_map<std::string, std::vector<admission::Share>> m_shares;
  discovery::TargetReports m_reports;
  std::optional<Announcement> m_target;
  TimePoint m_leaseEnd{};
  bool m_leaseLost = false;
  bool m_stopping = false;
  bool m_rejectNew = false;
  std::unordered_map<uint64_t, ServedCall> m_calls;
  // Requests at the target by their ids, as far as callers gave any.
  std::unordered_map<std::string, std::shared_ptr<const wire::CallRequest>>
    m_running;
  uint64_t m_lastId = 0;
  size_t m_bytes = 0; // of request bodies in memory
  Deadlines m_deadlines;
  std::deque<admission::Decision> m_decisions;
  bool m_applying = false;
  forwarding::TargetHealth m_health;
  forwarding::WorkEstimates m_work;
  int64_t m_latencyUs = 0; // smoothed time from write to answer
};

} // namespace wigeonfold::node
