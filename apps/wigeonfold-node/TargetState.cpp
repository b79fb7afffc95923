// The target's reports, its state and its limits.
#include "TargetSide.h"

#include <algorithm>

namespace wigeonfold::node {

namespace {

// Sign that an earlier start of the target has ended, for logs.
constexpr const char* kStartedAnew = "started-anew";

} // namespace

const char* ToString(TargetState aState)
{
  switch (aState) {
    case TargetState::Absent:
      return "absent";
    case TargetState::Ready:
      return "ready";
    case TargetState::Draining:
      return "draining";
  }
  return "absent";
}

void TargetSide::SetView(std::shared_ptr<const routing::View> aView,
                         TimePoint aNow)
{
  m_view = std::move(aView);
  m_shares.clear();
  if (m_target) {
    m_pool->SetMaxConnections(static_cast<size_t>(MaxConnections()));
  }
  UpdateLimits(aNow);
  UpdateDraining(aNow);
}

discovery::ReportResult TargetSide::Announce(const Announcement& aAnnouncement,
                                             TimePoint aNow)
{
  if (!MayBeOfOwnTarget(aAnnouncement)) {
    return discovery::ReportResult::Foreign;
  }
  const auto result =
    m_reports.Apply(aAnnouncement,
                    std::chrono::system_clock::now(),
                    aNow - m_startedAt < m_options.m_maxReportDelay);
  if (m_target && !m_leaseLost && aAnnouncement.Start() == m_target->Start()) {
    // A late report of the current start is a sign of life as well. All of them
    // look late after another writer's report with a great sequence number.
    m_leaseEnd = aNow + m_options.m_announceLease;
    ReleaseHeldSlot(aNow);
  }
  if (result != discovery::ReportResult::Applied) {
    return result;
  }
  const std::optional<Announcement> before = std::move(m_target);
  m_target = m_reports.Current();
  m_leaseEnd = aNow + m_options.m_announceLease;
  m_leaseLost = false;
  m_refusesConnections = false;
  const bool otherInstance = !before ||
                             before->m_instance != m_target->m_instance ||
                             before->m_startedAtMs != m_target->m_startedAtMs ||
                             !(before->m_address == m_target->m_address) ||
                             before->m_connections != m_target->m_connections;
  if (before && before->Start() != m_target->Start()) {
    OnTargetEnded(before->m_instance, kStartedAnew, aNow);
  }
  if (otherInstance) {
    m_health = {};
    m_admission.Rate().Reset();
    m_pool->SetTarget(m_target->m_address,
                      static_cast<size_t>(MaxConnections()));
  }
  const bool changed =
    !before || before->m_service != m_target->m_service ||
    before->m_slots != m_target->m_slots ||
    before->m_softwareVersion != m_target->m_softwareVersion || otherInstance;
  if (changed) {
    UpdateLimits(aNow);
  }
  // Before the change is announced, which tells the state as well.
  UpdateDraining(aNow);
  if (changed) {
    m_onChange();
  }
  return result;
}

// Another writer's report may name any service. Reports that the target has
// left name none. Without a configured service the view's services are all that
// is known.
bool TargetSide::MayBeOfOwnTarget(const Announcement& aAnnouncement) const
{
  const std::string& service = aAnnouncement.m_service;
  if (service.empty() || service == ServiceName()) {
    return true;
  }
  return m_options.m_service.empty() &&
         (!m_view || m_view->Find(service) != nullptr);
}

void TargetSide::NoteLeaving(const TargetStart& aStart, TimePoint aNow)
{
  if (!m_reports.NoteLeaving(aStart)) {
    return;
  }
  m_target = m_reports.Current();
  m_log.Record(EventId::TargetLeaving, { { "instance", aStart.m_instance } });
  UpdateDraining(aNow);
}

void TargetSide::SetUsable(bool aLeavingKnown, TimePoint aNow)
{
  m_usable = true;
  m_leavingKnown = aLeavingKnown;
  UpdateDraining(aNow);
}

// Precondition: the target has reported. Where its report may be a late one of
// a start that left, reports older than the node are not enough, and neither is
// a single one.
bool TargetSide::IsInUse() const
{
  const bool mayBeLate = !m_leavingKnown || m_reports.IsFollowedByLeaving();
  const size_t reportsNeeded = mayBeLate ? 2 : 0;
  const bool drainedByView = m_view && m_view->IsDrained(m_options.m_nodeName);
  return m_target->m_state == discovery::ReportedState::Ready && m_usable &&
         m_reports.CurrentReports() >= reportsNeeded && !m_leaseLost &&
         !m_refusesConnections && !drainedByView;
}

void TargetSide::NoteLimit(const TargetStart& aStart,
                           double aPerSecond,
                           TimePoint aNow)
{
  if (m_target && m_target->Start() == aStart &&
      m_admission.Rate().OnHint(aPerSecond, aNow)) {
    LogLimit();
  }
}

// The limit announced by the target, or that of its service in the view.
int TargetSide::MaxConnections() const
{
  if (m_target->m_connections > 0) {
    return m_target->m_connections;
  }
  const routing::ServiceRoute* route =
    m_view ? m_view->Find(m_target->m_service) : nullptr;
  return route == nullptr ? m_target->m_slots : route->m_targetConnections;
}

void TargetSide::BeginStopping()
{
  m_stopping = true;
  m_onChange();
}

TargetState TargetSide::State() const
{
  if (!m_target) {
    return TargetState::Absent;
  }
  return m_stopping || m_admission.IsDraining() ? TargetState::Draining
                                                : TargetState::Ready;
}

bool TargetSide::HasFreeSlot() const
{
  return State() == TargetState::Ready && m_admission.HasRoom(Clock::now());
}

const std::string& TargetSide::ServiceName() const
{
  return m_options.m_service.empty() && m_target ? m_target->m_service
                                                 : m_options.m_service;
}

std::shared_ptr<const wire::CallRequest> TargetSide::FindRunning(
  const std::string& aRequestId) const
{
  const auto found = m_running.find(aRequestId);
  return found == m_running.end() ? nullptr : found->second;
}

std::optional<std::string> TargetSide::AccountOfCaller(
  const std::string& aRequestId,
  TimePoint aNow) const
{
  if (const auto running = FindRunning(aRequestId)) {
    return running->office;
  }
  const auto found = m_givenUp.find(aRequestId);
  return found != m_givenUp.end() && aNow < found->second.m_until
           ? std::optional(found->second.m_account)
           : std::nullopt;
}

TargetStatus TargetSide::Status() const
{
  TargetStatus status;
  status.m_state = State();
  status.m_leaseLost = m_leaseLost;
  status.m_slots = m_admission.Slots();
  status.m_running = m_admission.Running();
  status.m_queued = m_admission.Queued();
  status.m_connections =
    m_pool->Idle() + static_cast<size_t>(m_admission.Running());
  status.m_requestLimit = m_admission.Rate().PerSecond();
  status.m_crashes = m_crashes;
  if (m_target) {
    status.m_service = m_target->m_service;
    status.m_address = m_target->m_address;
  }
  return status;
}

void TargetSide::UpdateLimits(TimePoint aNow)
{
  const routing::ServiceRoute* route =
    m_view && m_target ? m_view->Find(m_target->m_service) : nullptr;
  admission::Limits limits;
  if (route != nullptr) {
    // Each running request occupies one connection.
    limits.m_slots = std::min(m_target->m_slots, MaxConnections());
    limits.m_queueLimit = static_cast<size_t>(route->m_queueLimit);
    limits.m_queueTimeout = route->m_queueTimeout;
  }
  Apply(m_admission.SetLimits(limits, aNow), aNow);
}

void TargetSide::UpdateDraining(TimePoint aNow)
{
  const bool draining = m_target && !IsInUse();
  if (draining == m_admission.IsDraining()) {
    return;
  }
  Apply(m_admission.SetDraining(draining, aNow), aNow);
  m_onChange();
}

} // namespace wigeonfold::node
