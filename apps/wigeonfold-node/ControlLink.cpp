#include "ControlLink.h"

#include "wigeonfold/routing/View.h"

#include <utility>

#include <random>

namespace wigeonfold::node {

using namespace std::chrono_literals;
using distribution::SessionId;

namespace {

constexpr Duration kTickInterval = 100ms;
// Endpoints change constantly. After each build, a pause of this many times its
// duration limits view building to about 2 % of a core.
constexpr int kBuildPauseFactor = 50;

std::vector<distribution::ControlVm> ToControlVms(
  const std::vector<NodeSettings::ControlVm>& aVms)
{
  std::vector<distribution::ControlVm> vms;
  for (const NodeSettings::ControlVm& vm : aVms) {
    vms.push_back({ vm.m_address, vm.m_availabilityZone });
  }
  return vms;
}

distribution::SubscriberOptions MakeOptions(const NodeSettings& aSettings,
                                            int64_t aNodeEpoch)
{
  distribution::SubscriberOptions options;
  options.m_nodeName = aSettings.m_name;
  options.m_nodeEpoch = aNodeEpoch;
  options.m_availabilityZone = aSettings.m_availabilityZone;
  options.m_controlVms = ToControlVms(aSettings.m_controlVms);
  options.m_silence = aSettings.m_sessionSilence;
  options.m_maxFreshnessAge = aSettings.m_maxFreshnessAge;
  options.m_backoffMax = aSettings.m_sessionBackoffMax;
  options.m_proveCurrent = aSettings.m_keyLease.m_strict;
  return options;
}

} // namespace

ControlLink::ControlLink(boost::asio::io_context& aIo,
                         const NodeSettings& aSettings,
                         int64_t aNodeEpoch,
                         NodeMetrics& aMetrics,
                         EventLog& aLog,
                         std::function<bool(ViewUpdate)> aPublish)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_metrics(aMetrics)
  , m_log(aLog)
  , m_publish(std::move(aPublish))
  , m_subscriber(
      MakeOptions(aSettings, aNodeEpoch),
      [this](const distribution::NodeState& aState) {
        return CheckState(aState);
      },
      std::random_device{}())
  , m_tickTimer(aIo)
{
}

void ControlLink::Start()
{
  net::UseLinkFaults(m_io, m_settings.m_linkFaults);
  Execute(m_subscriber.Start(Clock::now()));
  Tick();
}

void ControlLink::Stop()
{
  m_stopped = true;
  m_tickTimer.cancel();
  for (auto& [id, session] : m_sessions) {
    if (session.m_connection) {
      session.m_connection->CloseAfterWrites();
    }
  }
  m_sessions.clear();
}

void ControlLink::AddControlVms(
  const std::vector<NodeSettings::ControlVm>& aVms)
{
  m_subscriber.AddControlVms(ToControlVms(aVms));
}

void ControlLink::OnMessage(const DataToControl& aMessage)
{
  const TimePoint now = Clock::now();
  if (const auto* record = std::get_if<wire::EndpointRecord>(&aMessage)) {
    Execute(m_subscriber.Announce(*record, now));
  } else if (const auto* leaving = std::get_if<TargetStart>(&aMessage)) {
    Execute(m_subscriber.StoreLeaving(*leaving, now));
  } else if (const auto* crashes = std::get_if<CrashRecords>(&aMessage)) {
    Execute(m_subscriber.ReportCrashes(*crashes, now));
  } else if (const auto* stats = std::get_if<VersionStatsList>(&aMessage)) {
    Execute(m_subscriber.ReportVersionStats(*stats, now));
  } else if (const auto* usage = std::get_if<QuotaUsage>(&aMessage)) {
    m_subscriber.AddUsage(*usage);
  } else {
    Execute(m_subscriber.OnPeerVersion(std::get<Version>(aMessage), now));
  }
}

void ControlLink::Tick()
{
  const TimePoint now = Clock::now();
  Execute(m_subscriber.OnTick(now));
  BuildWhenDue(now);
  Publish();
  m_metrics.SetControlBytes(m_subscriber.ControlBytesReceived(),
                            m_subscriber.ControlBytesSent());
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode && !m_stopped) {
      Tick();
    }
  });
}

// ---- Actions ---------------------------------------------------------------

void ControlLink::Execute(const distribution::SubscriberActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
  PublishCurrentAsOf();
}

void ControlLink::Do(const distribution::ConnectTo& aAction)
{
  Session& session = m_sessions[aAction.m_session];
  session.m_connectTimer = std::make_unique<boost::asio::steady_timer>(
    m_io, aAction.m_at - Clock::now());
  session.m_connectTimer->async_wait(
    [this, id = aAction.m_session, address = aAction.m_address](
      boost::system::error_code aCode) {
      if (!aCode && m_sessions.count(id) > 0) {
        Connect(id, address);
      }
    });
}

void ControlLink::Connect(SessionId aId, const SocketAddress& aAddress)
{
  net::ConnectionHandlers handlers;
  handlers.m_onFrame = [this, aId](const net::ConnectionPtr&,
                                   const wire::Frame& aFrame) {
    Execute(m_subscriber.OnFrame(aId, aFrame, Clock::now()));
  };
  handlers.m_onClose = [this, aId](const net::ConnectionPtr&,
                                   const Error& aError) {
    OnClosed(aId, aError);
  };
  net::Connect(m_io,
               aAddress,
               m_settings.m_sessionConnectTimeout,
               std::move(handlers),
               [this, aId](Result<net::ConnectionPtr> aResult) {
                 const auto session = m_sessions.find(aId);
                 if (session == m_sessions.end()) {
                   if (aResult) {
                     aResult.value()->Close();
                   }
                   return;
                 }
                 if (!aResult) {
                   OnClosed(aId, aResult.error());
                   return;
                 }
                 session->second.m_connection = std::move(aResult.value());
                 m_log.Record(
                   EventId::ControlSessionOpened,
                   { { "peer", session->second.m_connection->Peer() } });
                 Execute(m_subscriber.OnConnected(aId, Clock::now()));
               });
}

void ControlLink::OnClosed(SessionId aId, const Error& aError)
{
  m_sessions.erase(aId);
  m_log.Record(EventId::ControlSessionClosed,
               { { "peer", aError.m_peer },
                 { "step", aError.m_step },
                 { "detail", aError.m_detail } });
  Execute(m_subscriber.OnClosed(aId, Clock::now()));
}

void ControlLink::Do(const distribution::SendFrame& aAction)
{
  const auto session = m_sessions.find(aAction.m_session);
  if (session != m_sessions.end() && session->second.m_connection) {
    session->second.m_connection->SendFrame(aAction.m_type, aAction.m_payload);
  }
}

void ControlLink::Do(const distribution::CloseSession& aAction)
{
  auto entry = m_sessions.extract(aAction.m_session);
  if (!entry.empty() && entry.mapped().m_connection) {
    entry.mapped().m_connection->Close();
  }
}

void ControlLink::Do(const distribution::ApplyState& aAction)
{
  m_unbuiltState = aAction.m_state;
  BuildWhenDue(Clock::now());
}

void ControlLink::Do(const distribution::ReportRefusal& aAction)
{
  m_log.Record(EventId::ConfigRefused,
               { { "version", ToString(aAction.m_version) },
                 { "reason", aAction.m_reason } });
}

void ControlLink::Do(const distribution::BecomeReady& aAction)
{
  m_ready = true;
  if (aAction.m_belowFloor) {
    m_log.Record(
      EventId::ServingBelowFloor,
      { { "floor", aAction.m_floor ? ToString(*aAction.m_floor) : "" } });
  }
  m_confirmed = aAction.m_confirmed;
  Unpublished().m_ready = true;
  Unpublished().m_confirmed = m_confirmed;
  Publish();
}

void ControlLink::Do(const distribution::NoteLeaving& aAction)
{
  Unpublished().m_leaving.push_back({ aAction.m_start, aAction.m_stored });
  Publish();
}

void ControlLink::Do(const distribution::NoteCrashes& aAction)
{
  CrashRecords& crashes = Unpublished().m_crashes;
  crashes.insert(
    crashes.end(), aAction.m_records.begin(), aAction.m_records.end());
  Publish();
}

void ControlLink::Do(const distribution::NoteQuotas& aAction)
{
  Unpublished().m_quotas =
    quota::QuotaNotice{ aAction.m_limits, aAction.m_nodes };
  Publish();
}

void ControlLink::Do(const distribution::NoteCurrent& aAction)
{
  Unpublished().m_confirmation =
    identity::Confirmation{ aAction.m_currentAsOf, aAction.m_version };
  Publish();
}

// ---- Views -----------------------------------------------------------------

// Keeps the view for TakeOrBuildView(), because a state that passes the check
// is applied next, and building a view of several thousand routes takes a large
// part of a second on a small VM.
Status ControlLink::CheckState(const distribution::NodeState& aState)
{
  auto view = BuildView(aState);
  if (!view) {
    return view.error();
  }
  m_checkedView = std::move(view.value());
  return Ok();
}

// Returns the view kept by CheckState() if it has the version of aState, or
// builds one. The view is not null.
Result<std::shared_ptr<const routing::View>> ControlLink::TakeOrBuildView(
  const distribution::NodeState& aState)
{
  const auto checked = std::exchange(m_checkedView, nullptr);
  if (checked &&
      checked->Settings().TreeVersion() == aState.m_tree.TreeVersion()) {
    return checked;
  }
  return BuildView(aState);
}

Result<std::shared_ptr<const routing::View>> ControlLink::BuildView(
  const distribution::NodeState& aState) const
{
  return routing::View::Build(
    aState.m_tree, aState.m_endpoints.Services(), m_newestView.get());
}

// Builds a view of a new version at once; endpoint changes of the same version
// wait until the pause after the last build is over.
void ControlLink::BuildWhenDue(TimePoint aNow)
{
  if (!m_unbuiltState) {
    return;
  }
  const Version version = m_unbuiltState->m_tree.TreeVersion();
  const bool newVersion = version != m_builtVersion;
  if (aNow < m_nextBuild && !newVersion) {
    return;
  }
  const auto state = std::exchange(m_unbuiltState, nullptr);
  auto view = TakeOrBuildView(*state);
  const TimePoint end = Clock::now();
  m_nextBuild = end + (end - aNow) * kBuildPauseFactor;
  if (!view) {
    m_log.Record(EventId::ConfigRefused,
                 { { "version", ToString(version) },
                   { "reason", view.error().ToString() } });
    return;
  }
  if (newVersion) {
    m_builtVersion = version;
    m_log.Record(EventId::ConfigApplied,
                 { { "version", ToString(version) },
                   { "digest", std::to_string(state->m_tree.Digest()) } });
  }
  m_newestView = view.value();
  ViewUpdate& update = Unpublished();
  update.m_view = std::move(view.value());
  update.m_digest = state->m_tree.Digest();
  update.m_ready = m_ready;
  update.m_confirmed = m_confirmed;
  Publish();
}

// Precondition: the actions of the subscriber are executed, so that the view to
// which the time applies was published before.
void ControlLink::PublishCurrentAsOf()
{
  if (m_subscriber.CurrentAsOf() != m_currentAsOf) {
    m_currentAsOf = m_subscriber.CurrentAsOf();
    Unpublished().m_currentAsOf = m_currentAsOf;
    Publish();
  }
}

ViewUpdate& ControlLink::Unpublished()
{
  if (!m_unpublished) {
    m_unpublished.emplace();
  }
  return *m_unpublished;
}

void ControlLink::Publish()
{
  if (m_unpublished && m_publish(*m_unpublished)) {
    m_unpublished.reset();
  }
}

} // namespace wigeonfold::node
