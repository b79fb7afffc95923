// Operators' calls that the core thread executes.
#include "Core.h"

#include "wigeonfold/wire/Codec.h"

namespace wigeonfold::control {

namespace {

// A call whose entry is not applied in this time is answered with an unknown
// outcome, and the client sends it again. Longer than an election.
constexpr std::chrono::seconds kCallTimeout{ 5 };

} // namespace

void Core::Handle(ApiCall aCall)
{
  const TimePoint now = Clock::now();
  std::visit(
    [this, now](auto& aTyped) {
      try {
        Execute(aTyped, now);
      } catch (const std::exception& error) {
        m_log.Record(EventId::HandlerFailed,
                     { { "step", "execute call" }, { "error", error.what() } });
        Answer(aTyped.m_callId,
               registry::FormatProblem(500, "the call can't be executed"));
      }
    },
    aCall);
  ExecuteRaftActions(now);
}

void Core::Answer(CallId aCallId, registry::ApiReply aReply)
{
  m_channels.m_coreToHttp.Push(CallAnswer{ aCallId, std::move(aReply) });
}

void Core::AnswerUnknown(CallId aCallId,
                         const registry::OperatorFormat& aFormat,
                         const std::string& aReason)
{
  m_log.Record(EventId::CallUnanswered, { { "reason", aReason } });
  Answer(aCallId, registry::FormatOrProblem(m_log, [&] {
           return aFormat.FormatUnknownOutcome(aReason);
         }));
}

// ---- Reads -----------------------------------------------------------------

RegistryViewPtr Core::CurrentRegistryView()
{
  if (!m_registryView) {
    m_registryView =
      std::make_shared<const registry::RegistryView>(m_registry.View());
  }
  return m_registryView;
}

std::set<int64_t> Core::CaughtUpMembers() const
{
  std::set<int64_t> ids;
  for (const wire::Member& member : m_raft.CurrentMembership().members) {
    const auto match = m_raft.MatchIndex(member.memberId);
    const bool self = member.memberId == m_raft.Self() &&
                      m_raft.GetRole() == consensus::Role::Leader;
    if (self || (match && *match >= m_raft.CommitIndex())) {
      ids.insert(member.memberId);
    }
  }
  return ids;
}

registry::ClusterView Core::MakeClusterView(TimePoint aNow) const
{
  registry::ClusterView view;
  view.m_self = m_raft.Self();
  if (m_raft.LeaderId() != 0) {
    view.m_leader = m_raft.LeaderId();
  }
  const auto readable = m_raft.ReadIndex(aNow);
  view.m_leaseHeld = readable && m_raft.AppliedIndex() >= readable.value();
  view.m_term = m_raft.Term();
  const std::set<int64_t> caughtUp = CaughtUpMembers();
  for (const wire::Member& member : m_raft.CurrentMembership().members) {
    registry::MemberStatus status;
    status.m_member = member;
    status.m_caughtUp = caughtUp.count(member.memberId) > 0;
    const Duration age = m_raft.FreshnessAge(aNow);
    if (member.memberId == m_raft.Self() && age != Duration::max()) {
      status.m_freshnessAge = age;
    }
    view.m_members.push_back(std::move(status));
  }
  return view;
}

void Core::Execute(const ReadCall& aCall, TimePoint aNow)
{
  if (aCall.m_mustSurvive && m_raft.GetRole() == consensus::Role::Leader &&
      m_raft.AppliedIndex() > m_raft.SurvivingIndex()) {
    m_heldReads.push_back({ aCall, m_raft.AppliedIndex(), aNow });
    return;
  }
  AnswerRead(aCall, aNow);
}

void Core::AnswerRead(const ReadCall& aCall, TimePoint aNow)
{
  m_channels.m_coreToHttp.Push(
    ReadAnswer{ aCall.m_callId, CurrentRegistryView(), MakeClusterView(aNow) });
}

// ---- Changes ---------------------------------------------------------------

bool Core::Redirect(CallId aCallId,
                    const std::string& aTarget,
                    const registry::OperatorFormat& aFormat,
                    TimePoint aNow)
{
  auto redirect = aFormat.RedirectUnlessLeader(MakeClusterView(aNow), aTarget);
  if (redirect) {
    Answer(aCallId, std::move(*redirect));
  }
  return redirect.has_value();
}

void Core::Execute(AcceptCall& aCall, TimePoint aNow)
{
  const registry::OperatorFormat& format = *aCall.m_format;
  if (Redirect(aCall.m_callId, aCall.m_target, format, aNow)) {
    return;
  }
  if (!m_registry.IsBootstrapped()) {
    AnswerUnknown(aCall.m_callId, format, "the cluster is being created");
    return;
  }
  if (!m_changeGate.MayAccept(
        m_raft.CurrentMembership(), m_raft.Self(), m_peers, aNow)) {
    AnswerUnknown(aCall.m_callId,
                  format,
                  "the cluster has too few voters to accept a change");
    return;
  }
  // This member holds the lease and has applied all that is committed.
  if (const auto known = m_registry.CertainResult(aCall.m_change)) {
    LogDecision(*known);
    AnswerOnceSurviving(aCall.m_callId, format, m_raft.AppliedIndex(), *known);
    return;
  }
  wire::RegistryCommand command;
  aCall.m_change.acceptedAtMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count();
  const bool appliedNext =
    m_raft.AppliedIndex() == m_raft.LastPosition().m_index;
  command.__set_change(appliedNext ? m_registry.Compacted(aCall.m_change)
                                   : aCall.m_change);
  const auto position = m_raft.Propose(aNow, wire::Encode(command));
  if (!position) {
    AnswerUnknown(aCall.m_callId, format, position.error().ToString());
    return;
  }
  m_pending[position.value().m_index] = PendingCall{ position.value().m_term,
                                                     aCall.m_callId,
                                                     aNow + kCallTimeout,
                                                     std::nullopt,
                                                     &format };
}

void Core::ExpireCalls(TimePoint aNow)
{
  for (auto at = m_pending.begin(); at != m_pending.end();) {
    if (at->second.m_deadline > aNow) {
      ++at;
      continue;
    }
    AnswerUnknown(
      at->second.m_callId, *at->second.m_format, "not committed in time");
    at = m_pending.erase(at);
  }
  std::erase_if(m_unacknowledged, [&](const UnacknowledgedCall& aCall) {
    const bool expired = aNow - aCall.m_since >= kCallTimeout;
    if (expired) {
      AnswerUnknown(aCall.m_callId,
                    *aCall.m_format,
                    "too few voters answer to keep it after a lost disk");
    }
    return expired;
  });
}

// Only an acceptance is a promise.
void Core::AnswerOnceSurviving(CallId aCallId,
                               const registry::OperatorFormat& aFormat,
                               int64_t aIndex,
                               const wire::AcceptResult& aResult,
                               const std::string& aOrderedService)
{
  registry::ApiReply reply = registry::FormatOrProblem(
    m_log, [&] { return aFormat.FormatAcceptResult(aResult); });
  if (aResult.outcome != wire::AcceptOutcome::Accepted ||
      aIndex <= m_raft.SurvivingIndex()) {
    Answer(aCallId, std::move(reply));
    OnCallAnswered(aOrderedService);
    return;
  }
  m_unacknowledged.push_back({ aIndex,
                               aCallId,
                               Clock::now(),
                               &aFormat,
                               std::move(reply),
                               aOrderedService });
}

void Core::AnswerSurviving()
{
  const int64_t surviving = m_raft.SurvivingIndex();
  std::erase_if(m_unacknowledged, [&](UnacknowledgedCall& aCall) {
    if (aCall.m_index > surviving) {
      return false;
    }
    m_log.Record(
      EventId::AcknowledgementHeld,
      { { "index", std::to_string(aCall.m_index) },
        { "held_ms",
          std::to_string(ToMilliseconds(Clock::now() - aCall.m_since)) } });
    Answer(aCall.m_callId, std::move(aCall.m_reply));
    OnCallAnswered(aCall.m_orderedService);
    return true;
  });
}

// ---- Targets that leave ----------------------------------------------------

// Only the leader can store it. A report is forwarded once, as two members may
// take each other for the leader for a moment.
void Core::Execute(const LeavingReceived& aReport)
{
  if (m_raft.GetRole() == consensus::Role::Leader) {
    m_leavingProposals.Add(aReport.m_nodeName, aReport.m_start);
  } else if (!aReport.m_forwarded && m_raft.LeaderId() != 0) {
    ForwardLeaving forward;
    forward.m_toMember = m_raft.LeaderId();
    forward.m_report.nodeName = aReport.m_nodeName;
    forward.m_report.start = wire::ToWire(aReport.m_start);
    m_channels.m_coreToNet.TryPush(std::move(forward));
  }
}

void Core::ProposeLeaving(TimePoint aNow)
{
  if (m_raft.GetRole() != consensus::Role::Leader ||
      !m_registry.IsBootstrapped()) {
    return;
  }
  const auto leaving = m_leavingProposals.Next(m_registry.Leaving(), aNow);
  if (!leaving || !m_changeGate.MayAccept(
                    m_raft.CurrentMembership(), m_raft.Self(), m_peers, aNow)) {
    return;
  }
  wire::RegistryCommand command;
  command.__set_leaving(*leaving);
  if (m_raft.Propose(aNow, wire::Encode(command))) {
    m_leavingProposals.OnProposed(aNow);
  }
}

// ---- Members ---------------------------------------------------------------

void Core::Execute(MemberCall& aCall, TimePoint aNow)
{
  if (Redirect(
        aCall.m_callId, aCall.m_target, registry::NativeFormat(), aNow)) {
    return;
  }
  registry::MembershipPlan plan = registry::PlanMembership(
    m_raft.CurrentMembership(), aCall.m_request, CaughtUpMembers());
  if (plan.m_kind == registry::PlanKind::Propose) {
    ProposeMembershipStep(aCall.m_callId, plan, aNow);
    return;
  }
  if (plan.m_kind == registry::PlanKind::Done &&
      !m_raft.MembershipCommitted()) {
    plan.m_kind = registry::PlanKind::Wait;
    plan.m_text = "the previous membership step is not committed yet";
  }
  Answer(aCall.m_callId, registry::FormatMembership(plan));
}

void Core::ProposeMembershipStep(CallId aCallId,
                                 const registry::MembershipPlan& aPlan,
                                 TimePoint aNow)
{
  const auto change = ChangeBetween(m_raft.CurrentMembership(), aPlan.m_next);
  if (!change) {
    Answer(aCallId,
           registry::FormatProblem(
             500, "the request needs more than one membership step"));
    return;
  }
  const auto position = m_raft.ProposeChange(aNow, *change);
  if (position) {
    m_pending[position.value().m_index] =
      PendingCall{ position.value().m_term,
                   aCallId,
                   aNow + kCallTimeout,
                   aPlan,
                   &registry::NativeFormat() };
    return;
  }
  if (position.error().m_code == ErrorCode::Conflict) {
    registry::MembershipPlan wait;
    wait.m_kind = registry::PlanKind::Wait;
    wait.m_text = position.error().m_detail;
    Answer(aCallId, registry::FormatMembership(wait));
    return;
  }
  Answer(aCallId, registry::FormatUnknownOutcome(position.error().ToString()));
}

std::optional<consensus::MembershipChange> ChangeBetween(
  const wire::Membership& aFrom,
  const wire::Membership& aTo)
{
  using Kind = consensus::MembershipChangeKind;
  std::vector<consensus::MembershipChange> changes;
  for (const wire::Member& member : aTo.members) {
    const wire::Member* old = consensus::FindMember(aFrom, member.memberId);
    if (!old) {
      changes.push_back({ Kind::AddLearner, member });
    } else if (old->voter != member.voter) {
      changes.push_back(
        { member.voter ? Kind::Promote : Kind::Demote, member });
    }
  }
  for (const wire::Member& member : aFrom.members) {
    if (!consensus::FindMember(aTo, member.memberId)) {
      changes.push_back({ Kind::Remove, member });
    }
  }
  return changes.size() == 1 ? std::optional(changes.front()) : std::nullopt;
}

} // namespace wigeonfold::control
