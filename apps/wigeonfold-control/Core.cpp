// Event loop, Raft's actions and publication. Operators' calls are in
// CoreCalls.cpp, cluster formation and membership in CoreFormation.cpp.
#include "Core.h"
#include "PeerLinks.h"

#include "wigeonfold/base/Hash.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::control {

namespace {

// Interval of publication and of the checks that need no precise time.
constexpr std::chrono::milliseconds kHousekeepingInterval{ 100 };

// The identity file stores the cluster id as a number, and 0 for none, so the
// hash is positive.
int64_t HashClusterId(const std::string& aClusterId)
{
  const auto hash = static_cast<int64_t>(Hash64(aClusterId) >> 1U);
  return std::max<int64_t>(hash, 1);
}

std::string OutcomeText(const wire::AcceptResult& aResult)
{
  switch (aResult.outcome) {
    case wire::AcceptOutcome::Accepted:
      return "accepted";
    case wire::AcceptOutcome::Conflict:
      return "conflict";
    case wire::AcceptOutcome::Invalid:
      return aResult.problems.empty() ? "invalid"
                                      : "invalid: " + aResult.problems.front();
  }
  return "unknown";
}

} // namespace

bool IsEmpty(const consensus::RaftInitialState& aInitial)
{
  return aInitial.m_hardState.m_term == 0 && !aInitial.m_snapshot &&
         aInitial.m_entries.empty();
}

Core::Core(boost::asio::io_context& aIo,
           const ControlSettings& aSettings,
           consensus::RaftInitialState aInitial,
           uint64_t aSeed,
           Channels& aChannels,
           EventLog& aLog,
           std::function<void(const Error&)> aOnFailure)
  : m_timer(aIo)
  , m_settings(aSettings)
  , m_channels(aChannels)
  , m_log(aLog)
  , m_onFailure(std::move(aOnFailure))
  , m_startedEmpty(IsEmpty(aInitial))
  , m_raft(aSettings.m_raft, std::move(aInitial), aSeed, Clock::now())
  , m_rollouts(aSettings.m_rollouts.m_rollbackBound, aLog)
  , m_lostDisks(m_raft.CurrentMembership(), m_raft.PreviousMembership())
  , m_changeGate(aSettings.m_toleratedLosses, aSettings.m_policy)
{
}

// ---- Event loop ------------------------------------------------------------

void Core::Start()
{
  m_startedAt = Clock::now();
  m_nextHousekeeping = m_startedAt;
  ExecuteRaftActions(m_startedAt);
  PublishTree();
  Schedule();
}

void Core::BeginStopping(std::function<void()> aMayEnd)
{
  m_onMayEnd = std::move(aMayEnd);
  wire::ControlHello hello = MakeHello(m_settings, m_raft.Self());
  hello.stopping = true;
  m_peers[m_raft.Self()].m_hello = std::move(hello);
  m_channels.m_coreToNet.Push(AnnounceStopping{});
  CheckReplaced(Clock::now());
}

void Core::Stop()
{
  m_stopped = true;
  m_timer.cancel();
}

void Core::Schedule()
{
  m_timer.expires_after(std::min(m_raft.NextDeadline(), m_nextHousekeeping) -
                        Clock::now());
  m_timer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode && !m_stopped) {
      OnTimer();
      Schedule();
    }
  });
}

void Core::OnTimer()
{
  const TimePoint now = Clock::now();
  m_raft.Tick(now);
  // Before the freshness age is published, which counts what is committed as
  // applied.
  ExecuteRaftActions(now);
  if (now >= m_nextHousekeeping) {
    m_nextHousekeeping = now + kHousekeepingInterval;
    Housekeep(now);
    ExecuteRaftActions(now);
  }
}

void Core::Housekeep(TimePoint aNow)
{
  MaybeBootstrap(aNow);
  MaybeProposeCluster(aNow);
  AddInitialVoters(aNow);
  UpdateVoterOutlook(aNow);
  MaintainMembership(aNow);
  CheckReplaced(aNow);
  ProposeLeaving(aNow);
  AdvanceRollouts(aNow);
  ExpireCalls(aNow);
  m_channels.m_coreToNet.TryPush(
    SetFreshness{ m_raft.FreshnessAge(aNow), aNow, m_raft.CurrentAsOf(aNow) });
  PublishSummary(aNow);
  m_channels.m_coreToStorage.Flush();
  m_channels.m_coreToHttp.Flush();
  m_channels.m_coreToNet.Flush();
}

void Core::Handle(CoreMessage aMessage)
{
  const TimePoint now = Clock::now();
  if (auto* received = std::get_if<RaftReceived>(&aMessage)) {
    const auto from = m_peers.find(received->m_message.fromMember);
    if (from != m_peers.end()) {
      from->second.m_contactAt = now;
    }
    m_raft.Receive(now, std::move(received->m_message));
    ExecuteRaftActions(now);
    MaybeProposeCluster(now);
  } else if (auto* hello = std::get_if<HelloReceived>(&aMessage)) {
    consensus::ControlVmState& vm = m_peers[hello->m_hello.memberId];
    vm.m_hello = std::move(hello->m_hello);
    vm.m_helloAt = now;
    vm.m_contactAt = now;
    if (hello->m_dialedAt) {
      vm.m_dialedAt = std::max(vm.m_dialedAt, hello->m_dialedAt);
    }
    MaybeJoinFormation(now);
  } else if (auto* connected = std::get_if<ConnectedPeers>(&aMessage)) {
    // For a VM that is not a member an open connection counts as contact. A
    // member has to send Raft messages, since an open connection may carry no
    // data.
    for (auto& [id, vm] : m_peers) {
      if (connected->m_ids.count(id) > 0 &&
          !consensus::FindMember(m_raft.CurrentMembership(), id)) {
        vm.m_contactAt = now;
      }
    }
  } else if (auto* leaving = std::get_if<LeavingReceived>(&aMessage)) {
    Execute(*leaving);
    ProposeLeaving(now);
    ExecuteRaftActions(now);
  } else if (auto* reports = std::get_if<RolloutReportsReceived>(&aMessage)) {
    Execute(*reports, now);
    ExecuteRaftActions(now);
  } else if (auto* fleet = std::get_if<FleetObserved>(&aMessage)) {
    m_rollouts.OnFleet(std::move(fleet->m_fleet), now);
  }
}

void Core::Handle(StorageReport aReport)
{
  const TimePoint now = Clock::now();
  m_raft.OnPersisted(now, aReport.m_sequence);
  ExecuteRaftActions(now);
  MaybeProposeCluster(now);
}

// ---- Raft ------------------------------------------------------------------

void Core::ExecuteRaftActions(TimePoint aNow)
{
  int64_t snapshotIndex = 0;
  do {
    consensus::RaftActions actions = m_raft.TakeActions();
    Persist(actions);
    for (wire::RaftMessage& message : actions.m_send) {
      m_channels.m_coreToNet.TryPush(SendRaft{ std::move(message) });
    }
    if (actions.m_restore) {
      Restore(*actions.m_restore);
    }
    const Version before = m_registry.TreeVersion();
    for (const wire::LogEntry& entry : actions.m_apply) {
      Apply(entry);
    }
    if (m_registry.TreeVersion() != before || actions.m_restore) {
      PublishTree();
    }
    PublishLeaving();
    for (consensus::RaftEvent& event : actions.m_events) {
      m_log.Record(event.m_id, std::move(event.m_fields));
    }
    snapshotIndex = actions.m_takeSnapshot;
    if (snapshotIndex != 0) {
      m_raft.OnSnapshotTaken(aNow, snapshotIndex, m_registry.Snapshot());
    }
  } while (snapshotIndex != 0);
  AnswerSurviving();
  AnswerHeldReads(aNow);
  PublishMembership();
  if (RetryOrders(aNow)) {
    ExecuteRaftActions(aNow);
  }
}

void Core::Persist(consensus::RaftActions& aActions)
{
  if (!aActions.NeedsPersistence() && aActions.m_compactTo == 0) {
    return;
  }
  StorageJob job;
  job.m_sequence = aActions.m_sequence;
  job.m_snapshot = aActions.m_saveSnapshot;
  job.m_hardState = aActions.m_hardState;
  job.m_truncateFrom = aActions.m_truncateFrom;
  job.m_append = std::move(aActions.m_append);
  job.m_compactTo = aActions.m_compactTo;
  m_channels.m_coreToStorage.Push(std::move(job));
}

void Core::Restore(const consensus::RestoreAction& aRestore)
{
  auto restored = registry::Registry::Restore(aRestore.m_state);
  if (!restored) {
    m_onFailure(restored.error());
    return;
  }
  m_registry = std::move(restored.value());
  m_registryView.reset();
  // The snapshot doesn't tell whether it contains the entries of these calls.
  while (!m_pending.empty() &&
         m_pending.begin()->first <= aRestore.m_position.m_index) {
    const PendingCall& call = m_pending.begin()->second;
    AnswerUnknown(call.m_callId, *call.m_format, "the leader has changed");
    m_pending.erase(m_pending.begin());
  }
}

void Core::Apply(const wire::LogEntry& aEntry)
{
  std::optional<wire::AcceptResult> result;
  if (aEntry.kind == wire::LogEntryKind::Command) {
    result = ApplyCommand(aEntry);
  }
  AnswerPendingCall(aEntry, result);
}

std::optional<wire::AcceptResult> Core::ApplyCommand(
  const wire::LogEntry& aEntry)
{
  auto applied = m_registry.Apply(aEntry.payload);
  m_registryView.reset();
  if (!applied) {
    m_onFailure(applied.error());
    return std::nullopt;
  }
  const auto& result = applied.value();
  if (result && result->outcome == wire::AcceptOutcome::Accepted) {
    ++m_accepted;
  } else if (result && result->outcome == wire::AcceptOutcome::Conflict) {
    ++m_conflicts;
  }
  return result;
}

void Core::AnswerPendingCall(const wire::LogEntry& aEntry,
                             const std::optional<wire::AcceptResult>& aResult)
{
  const auto found = m_pending.find(aEntry.index);
  if (found == m_pending.end()) {
    return;
  }
  const PendingCall call = std::move(found->second);
  m_pending.erase(found);
  if (call.m_term != aEntry.term) {
    AnswerUnknown(call.m_callId, *call.m_format, "the leader has changed");
  } else if (call.m_plan) {
    Answer(call.m_callId, registry::FormatMembership(*call.m_plan));
  } else if (aResult && call.m_order) {
    OnOrderApplied(*call.m_order, aEntry.index, *aResult);
  } else if (aResult) {
    LogDecision(*aResult);
    AnswerOnceSurviving(call.m_callId, *call.m_format, aEntry.index, *aResult);
  }
}

void Core::LogDecision(const wire::AcceptResult& aResult)
{
  m_log.Record(EventId::ChangeDecided,
               { { "outcome", OutcomeText(aResult) },
                 { "version", ToString(m_registry.TreeVersion()) },
                 { "label", std::to_string(m_registry.Label()) } });
}

// ---- Publication -----------------------------------------------------------

void Core::PublishTree()
{
  if (!m_registry.IsBootstrapped()) {
    return;
  }
  m_log.Record(EventId::VersionDistributed,
               { { "version", ToString(m_registry.TreeVersion()) } });
  m_channels.m_coreToNet.Push(DistributeTree{ m_registry.NewestTree() });
}

void Core::PublishLeaving()
{
  const std::set<std::string> changed = m_registry.TakeChangedLeaving();
  if (!changed.empty()) {
    m_leavingProposals.OnApplied();
  }
  const int64_t applied = m_raft.AppliedIndex();
  const int64_t surviving = m_raft.SurvivingIndex();
  for (const std::string& node : changed) {
    m_pendingLeaving[node] = applied;
    if (applied > surviving) {
      SendLeaving(node, true);
    }
  }
  std::erase_if(m_pendingLeaving, [&](const auto& aPending) {
    const auto& [node, index] = aPending;
    if (index > surviving) {
      return false;
    }
    SendLeaving(node, false);
    return true;
  });
}

void Core::SendLeaving(const std::string& aNode, bool aPending)
{
  m_channels.m_coreToNet.Push(
    SetLeaving{ aNode, m_registry.Leaving().Find(aNode), aPending });
}

void Core::PublishMembership()
{
  const wire::Membership& membership = m_raft.CurrentMembership();
  const std::string& cluster = m_registry.ClusterId();
  const bool hasLog = HasLog();
  const auto formation = Formation();
  if (membership == m_publishedMembership && cluster == m_publishedClusterId &&
      hasLog == m_publishedHasLog && formation == m_publishedFormation) {
    return;
  }
  if (cluster != m_publishedClusterId) {
    StorageJob job;
    job.m_clusterIdHash = HashClusterId(cluster);
    m_channels.m_coreToStorage.Push(std::move(job));
  }
  m_publishedMembership = membership;
  m_publishedClusterId = cluster;
  m_publishedHasLog = hasLog;
  m_publishedFormation = formation;
  m_channels.m_coreToNet.Push(
    SetPeers{ membership, cluster, hasLog, formation });
}

void Core::PublishSummary(TimePoint aNow)
{
  CoreSummary summary;
  summary.m_takenAt = aNow;
  summary.m_role = m_raft.GetRole();
  summary.m_term = m_raft.Term();
  summary.m_commitIndex = m_raft.CommitIndex();
  summary.m_appliedIndex = m_raft.AppliedIndex();
  summary.m_freshnessAge = m_raft.FreshnessAge(aNow);
  if (m_registry.IsBootstrapped()) {
    summary.m_version = m_registry.TreeVersion();
  }
  summary.m_leaseHeld = m_raft.HasLease(aNow);
  summary.m_members = m_raft.CurrentMembership().members.size();
  summary.m_accepted = m_accepted;
  summary.m_conflicts = m_conflicts;
  m_rollouts.Summarize(summary);
  m_channels.m_coreToHttp.TryPush(summary);
}

} // namespace wigeonfold::control
