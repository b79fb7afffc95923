// Core thread: Raft, the registry and operators' calls.
#pragma once

#include "ControlSettings.h"
#include "Messages.h"
#include "Rollouts.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/consensus/ChangeGate.h"
#include "wigeonfold/consensus/LostDisks.h"
#include "wigeonfold/registry/LeavingProposals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>

namespace wigeonfold::control {

// All methods run on the thread of the io_context.
class Core
{
public:
  // aSettings, aChannels and aLog must outlive the core. aOnFailure is called
  // when replicated state can't be decoded; it is expected to end the process.
  Core(boost::asio::io_context& aIo,
       const ControlSettings& aSettings,
       consensus::RaftInitialState aInitial,
       uint64_t aSeed,
       Channels& aChannels,
       EventLog& aLog,
       std::function<void(const Error&)> aOnFailure);

  void Start();
  // Asks the leader to replace this VM as a voter. aMayEnd is called once, when
  // it is done or nobody can take its place.
  void BeginStopping(std::function<void()> aMayEnd);
  void Stop();

  void Handle(CoreMessage aMessage);
  void Handle(StorageReport aReport);
  void Handle(ApiCall aCall);

private:
  // An order of a rollout until its log entry is applied.
  struct PendingOrder
  {
    RolloutCall m_call;
    TimePoint m_deadline;
  };

  // A call that is answered when its log entry is applied.
  struct PendingCall
  {
    int64_t m_term = 0;
    CallId m_callId = 0;
    TimePoint m_deadline;
    // Set for a membership step, as its answer. The answer to a change is the
    // result of applying it.
    std::optional<registry::MembershipPlan> m_plan;
    const registry::OperatorFormat* m_format = nullptr; // for the answer
    std::optional<PendingOrder> m_order;                // of a rollout
  };

  // A change that is applied and not acknowledged, see AnswerOnceSurviving().
  struct UnacknowledgedCall
  {
    int64_t m_index = 0;
    CallId m_callId = 0;
    TimePoint m_since;
    const registry::OperatorFormat* m_format = nullptr;
    registry::ApiReply m_reply;
    std::string m_orderedService; // of an order of a rollout, else empty
  };

  // A read that is answered once the group keeps what it tells.
  struct HeldRead
  {
    ReadCall m_call;
    int64_t m_index = 0;
    TimePoint m_since;
  };

  void Schedule();
  void OnTimer();
  void Housekeep(TimePoint aNow);

  // ---- Raft ----
  // Takes and executes Raft's actions. Call after calls that change m_raft.
  void ExecuteRaftActions(TimePoint aNow);
  void Persist(consensus::RaftActions& aActions);
  void Restore(const consensus::RestoreAction& aRestore);
  void Apply(const wire::LogEntry& aEntry);
  std::optional<wire::AcceptResult> ApplyCommand(const wire::LogEntry& aEntry);
  // Answers the call that waits for this log index, if any.
  void LogDecision(const wire::AcceptResult& aResult);
  void AnswerPendingCall(const wire::LogEntry& aEntry,
                         const std::optional<wire::AcceptResult>& aResult);
  void PublishTree();
  void PublishMembership();
  void PublishLeaving();
  void SendLeaving(const std::string& aNode, bool aPending);
  void PublishSummary(TimePoint aNow);

  // ---- Cluster formation and membership ----
  // This VM as a voter.
  wire::Member OwnMember() const;
  bool HasLog() const;
  // The first membership, while this VM knows no leader. A voter of it that was
  // restarted with an empty log grants no vote without it.
  std::optional<wire::Membership> Formation() const;
  void UpdateVoterOutlook(TimePoint aNow);
  void MaintainMembership(TimePoint aNow);
  void CheckReplaced(TimePoint aNow);
  void MaybeBootstrap(TimePoint aNow);
  void MaybeJoinFormation(TimePoint aNow);
  wire::Membership NewMembership() const;
  std::set<std::string> SeedAddresses() const;
  bool CanBootstrap(TimePoint aNow);
  void MaybeProposeCluster(TimePoint aNow);
  void AddInitialVoters(TimePoint aNow);
  bool ProposeInitialVoter(const wire::ControlHello& aPeer, TimePoint aNow);

  // ---- Targets that leave ----
  void Execute(const LeavingReceived& aReport);
  void ProposeLeaving(TimePoint aNow);

  // ---- Rollouts ----
  void Execute(RolloutReportsReceived& aReceived, TimePoint aNow);
  bool LeadsWithLease(TimePoint aNow) const;
  // Proposes the next step of a running rollout, if one is due.
  void AdvanceRollouts(TimePoint aNow);
  void Execute(RolloutCall& aCall, TimePoint aNow);
  void ExecuteOrder(PendingOrder aOrder, TimePoint aNow);
  rollout::OrderDecision DecideOrder(const RolloutCall& aCall) const;
  rollout::OrderDecision DecideStop(const RolloutCall& aCall) const;
  void ProposeOrder(PendingOrder aOrder,
                    const wire::Change& aChange,
                    TimePoint aNow);
  void OnOrderApplied(const PendingOrder& aOrder,
                      int64_t aIndex,
                      const wire::AcceptResult& aResult);
  // Decides again on orders that lost against another change. Returns whether
  // there were any.
  bool RetryOrders(TimePoint aNow);
  void AnswerOrder(const RolloutCall& aCall,
                   int64_t aIndex,
                   const wire::AcceptResult& aResult);
  void RefuseOrder(const RolloutCall& aCall, const wire::AcceptResult& aResult);
  // aOrderedService is empty for a call that is no order.
  void OnCallAnswered(const std::string& aOrderedService);
  void AnswerHeldReads(TimePoint aNow);

  // ---- Calls ----
  void Execute(const ReadCall& aCall, TimePoint aNow);
  void AnswerRead(const ReadCall& aCall, TimePoint aNow);
  void Execute(AcceptCall& aCall, TimePoint aNow);
  void Execute(MemberCall& aCall, TimePoint aNow);
  registry::ClusterView MakeClusterView(TimePoint aNow) const;
  std::set<int64_t> CaughtUpMembers() const;
  RegistryViewPtr CurrentRegistryView();
  void Answer(CallId aCallId, registry::ApiReply aReply);
  // Tells the client that the outcome is unknown; it sends the call again.
  void AnswerUnknown(CallId aCallId,
                     const registry::OperatorFormat& aFormat,
                     const std::string& aReason);
  // Returns true when the call was answered because this VM is not the leader
  // with a valid lease.
  bool Redirect(CallId aCallId,
                const std::string& aTarget,
                const registry::OperatorFormat& aFormat,
                TimePoint aNow);
  // Precondition: aPlan.m_kind is Propose.
  void ProposeMembershipStep(CallId aCallId,
                             const registry::MembershipPlan& aPlan,
                             TimePoint aNow);
  void ExpireCalls(TimePoint aNow);
  // Answers now, or once the group keeps the entries up to aIndex after the
  // loss of as many disks as it tolerates.
  void AnswerOnceSurviving(CallId aCallId,
                           const registry::OperatorFormat& aFormat,
                           int64_t aIndex,
                           const wire::AcceptResult& aResult,
                           const std::string& aOrderedService = "");
  void AnswerSurviving();

  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  std::function<void(const Error&)> m_onFailure;
  const bool m_startedEmpty; // the data folder was empty at the start
  consensus::Raft m_raft;
  registry::Registry m_registry;
  // Of m_registry; nullptr after a change, until it is needed again.
  RegistryViewPtr m_registryView;
  std::map<int64_t, PendingCall> m_pending; // by log index
  std::vector<UnacknowledgedCall> m_unacknowledged;
  Rollouts m_rollouts;
  std::vector<PendingOrder> m_conflictedOrders;
  std::vector<HeldRead> m_heldReads;
  // Last state sent to the net thread.
  wire::Membership m_publishedMembership;
  std::string m_publishedClusterId;
  bool m_publishedHasLog = false;
  std::optional<wire::Membership> m_publishedFormation;
  TimePoint m_startedAt;
  TimePoint m_nextHousekeeping;
  std::function<void()> m_onMayEnd; // set while this VM is stopping
  bool m_stopped = false;

  // Control VMs whose hello arrived since the start, by member id.
  std::map<consensus::MemberId, consensus::ControlVmState> m_peers;
  consensus::LostDisks m_lostDisks;
  consensus::ChangeGate m_changeGate;
  registry::LeavingProposals m_leavingProposals;
  // Nodes whose leaving starts are applied and must not be acknowledged yet,
  // with the last log index that changed them.
  std::map<std::string, int64_t> m_pendingLeaving;
  bool m_bootstrapSettled = false;    // done, refused or not configured
  bool m_addingInitialVoters = false; // since this run created the cluster
  // Member ids by name: this VM and the initial voters that this run tried to
  // add. Each name is added with one id only.
  std::map<std::string, int64_t> m_idByName;
  int64_t m_clusterProposedTerm = 0;

  // Changes applied since the start, by outcome.
  uint64_t m_accepted = 0;
  uint64_t m_conflicts = 0;
};

// True when the data folder held no term, snapshot or entries. Thread safe.
bool IsEmpty(const consensus::RaftInitialState& aInitial);

// The single change that leads from aFrom to aTo, or nothing when they are
// equal or differ by more than one change. Thread safe.
std::optional<consensus::MembershipChange> ChangeBetween(
  const wire::Membership& aFrom,
  const wire::Membership& aTo);

} // namespace wigeonfold::control
