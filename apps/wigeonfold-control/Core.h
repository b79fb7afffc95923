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

  void Handle(CoreOrder aOrder);
  void Handle(StorageReport aReport);
  void Handle(ApiCall aCall);

private:
  // A call that waits until its log entry is applied.
  struct PendingCall
  {
    int64_t m_term = 0;
    Ticket m_ticket = 0;
    TimePoint m_deadline;
    // Answer of a membership step; a change is answered from its result.
    std::optional<registry::MembershipPlan> m_plan;
    const registry::OperatorFormat* m_format = nullptr;
  };

  void Schedule();
  void OnTimer();
  void Housekeep(TimePoint aNow);

  // ---- Raft ----
  void Pump(TimePoint aNow);
  void Persist(consensus::RaftActions& aActions);
  void Restore(const consensus::RestoreAction& aRestore);
  void Apply(const wire::LogEntry& aEntry);
  std::optional<wire::AcceptResult> ApplyCommand(const wire::LogEntry& aEntry);
  void AnswerApplied(const wire::LogEntry& aEntry,
                     const std::optional<wire::AcceptResult>& aResult);
  void PublishTree();
  void PublishMembership();
  void PublishSummary(TimePoint aNow);

  // ---- Group formation ----
  wire::Member Self() const;
  bool HasLog() const;
  void KeepMembership(TimePoint aNow);
  void MaybeBootstrap(TimePoint aNow);
  bool MayBootstrap(TimePoint aNow);
  void MaybeProposeCluster(TimePoint aNow);
  void FormGroup(TimePoint aNow);
  bool FormWith(const wire::ControlHello& aPeer, TimePoint aNow);

  // ---- Calls ----
  void Carry(const ReadCall& aCall, TimePoint aNow);
  void Carry(AcceptCall& aCall, TimePoint aNow);
  void Carry(MemberCall& aCall, TimePoint aNow);
  registry::ClusterView View(TimePoint aNow) const;
  std::set<int64_t> CaughtUp() const;
  RegistryViewPtr RegistryState();
  void Answer(Ticket aTicket, registry::ApiReply aReply);
  // The outcome is not known; the client sends the call again.
  void AnswerUnknown(Ticket aTicket,
                     const registry::OperatorFormat& aFormat,
                     const std::string& aReason);
  bool Redirect(Ticket aTicket,
                const std::string& aTarget,
                const registry::OperatorFormat& aFormat,
                TimePoint aNow);
  void ProposeStep(Ticket aTicket,
                   const registry::MembershipPlan& aPlan,
                   TimePoint aNow);
  void ExpireCalls(TimePoint aNow);

  boost::asio::steady_timer m_timer;
  const ControlSettings& m_settings;
  Channels& m_channels;
  EventLog& m_log;
  std::function<void(const Error&)> m_onFailure;
  const bool m_emptyFolder; // nothing was ever stored
  consensus::Raft m_raft;
  registry::Registry m_registry;
  RegistryViewPtr m_view; // of the present registry, or nullptr
  std::map<int64_t, PendingCall> m_pending; // by log index
  wire::Membership m_published;
  std::string m_publishedCluster;
  bool m_publishedLog = false;
  TimePoint m_started;
  TimePoint m_nextHousekeeping;
  bool m_stopped = false;

  // Control VMs that said hello in this run, by member id.
  std::map<consensus::MemberId, consensus::ControlVmState> m_peers;
  bool m_bootstrapSettled = false; // done, refused or not wanted
  bool m_forming = false;          // this run created the group
  // Names that have been members in this run; a name is added by itself once.
  std::map<std::string, int64_t> m_formed;
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
