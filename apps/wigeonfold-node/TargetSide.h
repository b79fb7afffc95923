// The node's own target: admission, connections and drain state.
#pragma once

#include "BrokenAnswers.h"
#include "Deadlines.h"
#include "Messages.h"
#include "TargetPool.h"

#include "wigeonfold/admission/Admission.h"
#include "wigeonfold/admission/Link.h"
#include "wigeonfold/discovery/CrashLedger.h"
#include "wigeonfold/forwarding/AnswerParts.h"
#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/forwarding/TargetCall.h"
#include "wigeonfold/forwarding/TargetCrash.h"
#include "wigeonfold/forwarding/TargetHealth.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <deque>
#include <unordered_map>

namespace wigeonfold::node {

// Result of a served request. All fields of the response that apply are set
// except the call id.
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
  // Service of the own target; reports that name another one are ignored. If
  // empty, the target may report any service of the view.
  std::string m_service;
  Duration m_maxReportDelay = discovery::TargetReportTracker::kMaxDelay;
};

// Serves the requests of the node's own callers and of peers. The target gets
// requests only through this class. Use only on the data thread.
class TargetSide
{
public:
  // aOnChange is called when the target's service, slots, software version,
  // state or instance has changed.
  TargetSide(TargetSideOptions aOptions,
             std::unique_ptr<admission::Queue> aQueue,
             std::unique_ptr<TargetPool> aPool,
             const forwarding::Dialect& aDialect,
             const admission::Link& aLink,
             const forwarding::AnswerSendQueue& aLargeAnswers,
             discovery::CrashLedger& aCrashes,
             BrokenAnswers& aBrokenAnswers,
             observe::DecisionLog& aLog,
             std::function<void()> aOnChange);
  ~TargetSide();
  TargetSide(const TargetSide&) = delete;
  TargetSide& operator=(const TargetSide&) = delete;

  void SetView(std::shared_ptr<const routing::View> aView, TimePoint aNow);
  // Takes over a report of the target. Late reports and those of a target that
  // has left are ignored.
  discovery::ReportResult Announce(const Announcement& aAnnouncement,
                                   TimePoint aNow);
  // Another node knows that this start of the target leaves.
  void NoteLeaving(const TargetStart& aStart, TimePoint aNow);
  // Another node knows that this start of the target names a limit on its
  // requests per second.
  void NoteLimit(const TargetStart& aStart, double aPerSecond, TimePoint aNow);
  // The node is ready. Before that the target gets no request, since its report
  // may be a late one. aLeavingKnown: all starts that left before this node's
  // start are known; otherwise the target is used from the second report on
  // that can't be older than the node.
  void SetUsable(bool aLeavingKnown, TimePoint aNow);
  // Begins a graceful shutdown: a ready target is reported as draining from now
  // on.
  void BeginStopping();
  // Rejects new requests from now on; queued ones still run.
  void RejectNew() { m_rejectNew = true; }

  // Calls aReply once unless the request is cancelled first; possibly before
  // Serve() returns. Returns an id for Cancel().
  uint64_t Serve(std::shared_ptr<const wire::CallRequest> aRequest,
                 TimePoint aDeadline,
                 TimePoint aNow,
                 OnTargetReply aReply);
  // Cancels a request: it leaves the queue, or its connection to the target is
  // closed. No reply follows. Unknown ids are ignored.
  void Cancel(uint64_t aId, TimePoint aNow);

  // Checks the lease, deadlines and queue timeouts. Call every 10 ms.
  void Tick(TimePoint aNow);
  // Closes idle connections that are no longer usable. Call about every second.
  void Sweep() { m_pool->Sweep(); }

  // Nothing before the target's first announcement.
  const std::optional<Announcement>& Announced() const { return m_target; }
  // Last start of the target that is known to leave or to have left.
  std::optional<TargetStart> LastLeaving() const
  {
    return m_reports.LastLeaving();
  }
  // See TargetReportTracker.
  std::optional<TargetStart> LeavingStartOf(
    const Announcement& aAnnouncement) const
  {
    return m_reports.LeavingStartOf(aAnnouncement);
  }
  // Returns the request with this id if the target is running it, else null. A
  // call that the target makes on behalf of this request gets the request's
  // depth plus one, and counts as a repeat if the request does.
  std::shared_ptr<const wire::CallRequest> FindRunning(
    const std::string& aRequestId) const;
  // Path of the client account, empty for none, of the request with this id if
  // the target is running it, or may still do so after the node has given it
  // up.
  std::optional<std::string> AccountOfCaller(const std::string& aRequestId,
                                             TimePoint aNow) const;
  TargetState State() const;
  // Whether a request for the target would run at once.
  bool HasFreeSlot() const;
  // Service of the own target.
  const std::string& ServiceName() const;
  TargetStatus Status() const;
  // Requests in the queue or at the target.
  size_t Active() const { return m_calls.size(); }

private:
  struct ServedCall
  {
    forwarding::TargetCall m_call;
    std::shared_ptr<const wire::CallRequest> m_request;
    uint64_t m_fingerprint = 0;
    bool m_isolated = false; // runs alone
    TimePoint m_deadline{};
    TimePoint m_arrived{};
    TimePoint m_started{};
    Duration m_retryAfter{};
    size_t m_expectedBytes = 0; // of a large answer; 0 for a small one
    OnTargetReply m_reply;
    TargetConnectionPtr m_connection;
    TargetStart m_target; // to which the request was written
    Exchange m_exchange;
  };

  // The slot of an isolated request that ended without an answer. No other
  // request starts until the target has shown whether it ended.
  struct HeldSlot
  {
    uint64_t m_id = 0;
    TimePoint m_until{};
  };

  bool MayBeOfOwnTarget(const Announcement& aAnnouncement) const;
  std::optional<forwarding::Outcome> CheckServable(
    const wire::CallRequest& aRequest) const;
  size_t ExpectedLargeAnswer(const wire::CallRequest& aRequest) const;
  Duration LinkWait(size_t aBytes, Duration aWork, TimePoint aNow) const;
  const std::vector<admission::Share>& SharesOf(const std::string& aAccount);
  void Apply(std::vector<admission::Decision> aDecisions, TimePoint aNow);
  void CarryOut(const admission::Decision& aDecision,
                ServedCall& aCall,
                TimePoint aNow);
  void FreeSlot(uint64_t aId, TimePoint aNow);
  void Execute(uint64_t aId, forwarding::TargetStep aStep, TimePoint aNow);
  void Connect(uint64_t aId, ServedCall& aCall, TimePoint aNow);
  void Write(uint64_t aId, ServedCall& aCall, TimePoint aNow);
  forwarding::AnswerKind Classify(const Exchange& aExchange) const;
  void OnExchange(uint64_t aId, Exchange aExchange);
  void NoteEnd(uint64_t aId,
               const ServedCall& aCall,
               forwarding::Outcome aOutcome,
               TimePoint aNow);
  void NoteCompleted(const ServedCall& aCall, TimePoint aNow);
  void NoteNotRunning(const ServedCall& aCall,
                      forwarding::Outcome aOutcome,
                      TimePoint aNow);
  void HoldSlot(uint64_t aId, TimePoint aNow);
  void ReleaseHeldSlot(TimePoint aNow);
  void CheckTargetEnded();
  void OnConnectionRefused(const TargetStart& aStart, TimePoint aNow);
  void OnTargetEnded(const std::string& aInstance,
                     const char* aSign,
                     TimePoint aNow);
  void LogCrash(const forwarding::TargetCrash& aCrash,
                const std::string& aInstance,
                const char* aSign,
                TimePoint aNow);
  void OnNotice(const ServedCall& aCall,
                const Exchange& aExchange,
                TimePoint aNow);
  void LogLimit();
  void End(uint64_t aId, const forwarding::TargetStep& aStep, TimePoint aNow);
  int MaxConnections() const;
  void LogRejection(const ServedCall& aCall,
                    const admission::Decision& aDecision,
                    TimePoint aNow);
  void UpdateLimits(TimePoint aNow);
  void UpdateDraining(TimePoint aNow);
  bool IsInUse() const;
  void FillResponse(TargetReply& aReply, Exchange& aExchange, bool aIsHead);
  wire::TargetLoad Load() const;

  const TargetSideOptions m_options;
  admission::Admission m_admission;
  std::unique_ptr<TargetPool> m_pool;
  const forwarding::Dialect& m_dialect;
  const admission::Link& m_link;
  const forwarding::AnswerSendQueue& m_largeAnswers;
  discovery::CrashLedger& m_crashLedger;
  BrokenAnswers& m_brokenAnswers;
  observe::DecisionLog& m_log;
  const std::function<void()> m_onChange;
  std::shared_ptr<const routing::View> m_view;
  std::unordered_map<std::string, std::vector<admission::Share>> m_shares;
  const TimePoint m_startedAt;
  discovery::TargetReportTracker m_reports;
  std::optional<Announcement> m_target;
  TimePoint m_leaseEnd{};
  bool m_leaseLost = false;
  // No connection could be opened since the last report of the target.
  bool m_refusesConnections = false;
  bool m_usable = false;
  bool m_leavingKnown = false; // see SetUsable()
  bool m_stopping = false;
  bool m_rejectNew = false;
  std::unordered_map<uint64_t, ServedCall> m_calls;
  // Requests at the target, by request id; those without one are left out.
  std::unordered_multimap<std::string, std::shared_ptr<const wire::CallRequest>>
    m_running;
  // Requests that were given up after they had been written, by request id.
  struct GivenUp
  {
    std::string m_account;
    TimePoint m_until{};
  };
  std::unordered_map<std::string, GivenUp> m_givenUp;
  uint64_t m_lastId = 0;
  size_t m_bytes = 0;         // of request bodies in memory
  size_t m_expectedBytes = 0; // of the large answers to requests in m_calls
  Deadlines m_deadlines;
  std::deque<admission::Decision> m_decisions; // not carried out yet
  bool m_applying = false;                     // Apply() is running
  forwarding::TargetHealth m_health;
  forwarding::CrashDetector m_crashDetector;
  TargetConnectionPtr m_probe; // tells whether the target accepts connections
  size_t m_crashes = 0;        // ends of the target under requests
  std::optional<HeldSlot> m_heldSlot;
  forwarding::WorkEstimates m_work; // time at the target, by route
  forwarding::AnswerSizes m_sizes;
  int64_t m_latencyUs = 0; // from write to answer, moving average
};

} // namespace wigeonfold::node
