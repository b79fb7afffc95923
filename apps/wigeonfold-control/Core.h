// Core thread: Raft, the registry and the operators' calls.
#pragma once

#include "ControlSettings.h"
#include "Messages.h"

#include "wigeonfold/base/Events.h"

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
  // aOnFailure ends the process: the replicated state can't be decoded.
  Core(boost::asio::io_context& aIo,
       const ControlSettings& aSettings,
       consensus::RaftInitialState aInitial,
       uint64_t aSeed,
       Channels& aChannels,
       EventLog& aLog,
       std::function<void(const Error&)> aOnFailure);

  void Start();
  void Stop();

  void Handle(CoreMessage aMessage);
  void Handle(StorageReport aReport);
  void Handle(ApiCall aCall);

private:
  // A call that waits until its log entry is applied.
  struct PendingCall
  {
    int64_t m_term = 0;
    CallId m_callId = 0;
    TimePoint m_deadline;
    // Answer of a membership step; a change is answered from its result.
    std::optional<registry::MembershipPlan> m_plan;
    const registry::OperatorFormat* m_format = nullptr;
  };

  void Schedule();
  void OnTimer();
  void Housekeep(TimePoint aNow);

  // ---- Raft ----
  void ExecuteRaftActions(TimePoint aNow);
  void Persist(consensus::RaftActions& aActions);
  void Restore(const consensus::RestoreAction& aRestore);
  void Apply(const wire::LogEntry& aEntry);
  std::optional<wire::AcceptResult> ApplyCommand(const wire::LogEntry& aEntry);
  void AnswerPendingCall(const wire::LogEntry& aEntry,
                         const std::optional<wire::AcceptResult>& aResult);
  void PublishTree();
  void PublishMembership();
  void PublishSummary(TimePoint aNow);

  // ---- Group formation ----
  wire::Member OwnMember() const;
  bool HasLog() const;
  void MaintainMembership(TimePoint aNow);
  void MaybeBootstrap(TimePoint aNow);
  bool CanBootstrap(TimePoint aNow);
  void MaybeProposeCluster(TimePoint aNow);
  void AddInitialVoters(TimePoint aNow);
  bool ProposeInitialVoter(const wire::ControlHello& aPeer, TimePoint aNow);

  // ---- Calls ----
  void Execute(const ReadCall& aCall, TimePoint aNow);
  void Execute(AcceptCall& aCall, TimePoint aNow);
  void Execute(MemberCall& aCall, TimePoint aNow);
  registry::ClusterView MakeClusterView(TimePoint aNow) const;
  std::set<int64_t> CaughtUpMembers() const;
  RegistryViewPtr CurrentRegistryView();
  void Answer(CallId aCallId, registry::ApiReply aReply);
  // The outcome is not known; the client sends the call again.
  void AnswerUnknown(CallId aCallId,
                     const registry::OperatorFormat& aFormat,
                     const std::string& aReason);
  bool Redirect(CallId aCallId,
                const std::string& aTarget,
                const registry::OperatorFormat& aFormat,
                TimePoint aNow);
  void ProposeMembershipStep(CallId aCallId,
                             const registry::MembershipPlan& aPlan,
                             TimePoint aNow);
  void ExpireCalls(TimePoint aNow);

  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  std::function<void(const Error&)> m_onFailure;
  const bool m_startedEmpty; // nothing was ever stored
  consensus::Raft m_raft;
  registry::Registry m_registry;
  RegistryViewPtr m_registryView; // of the present registry, or nullptr
  std::map<int64_t, PendingCall> m_pending; // by log index
  wire::Membership m_publishedMembership;
  std::string m_publishedClusterId;
  bool m_publishedHasLog = false;
  TimePoint m_startedAt;
  TimePoint m_nextHousekeeping;
  bool m_stopped = false;

  // Control VMs that said hello in this run, by member id.
  std::map<consensus::MemberId, consensus::ControlVmState> m_peers;
  bool m_bootstrapSettled = false;    // done, refused or not wanted
  bool m_addingInitialVoters = false; // this run created the group
  // Names that have been members in this run; a name is added by itself once.
  std::map<std::string, int64_t> m_idByName;
  int64_t m_clusterProposedTerm = 0;

  uint64_t m_accepted = 0;
  uint64_t m_conflicts = 0;
};

// Nothing was ever stored in the data folder.
bool IsEmpty(const consensus::RaftInitialState& aInitial);

// The single change that leads from one membership to the next; nothing when
// they are equal or differ by more than one step.
std::optional<consensus::MembershipChange> ChangeBetween(
  const wire::Membership& aFrom,
  const wire::Membership& aTo);

} // namespace wigeonfold::control
