// Sessions with control VMs and their messages. Configuration, endpoints and
// floor are in SubscriberState.cpp.
#include "wigeonfold/distribution/Subscriber.h"

#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::distribution {

using wire::FrameType;

namespace {

// Returns nothing when the payload is malformed.
template<class T>
std::optional<T> DecodeFrame(const wire::Frame& aFrame)
{
  auto message = wire::Decode<T>(aFrame.m_payload, "control VM");
  return message ? std::optional<T>(std::move(message.value())) : std::nullopt;
}

// kBackoffSeed and kProbeSeed are XORed into the seed, so that the two backoffs
// and the main generator produce different sequences.
constexpr uint64_t kBackoffSeed = 0x9e3779b97f4a7c15;
// Control VMs kept as candidates, from the settings and from control VMs'
// messages. At most 21 exist at a time.
constexpr size_t kMaxCandidates = 64;
// Leaving starts that wait to be stored; a node's target starts at most every
// few seconds.
constexpr size_t kMaxUnstoredLeaving = 16;
constexpr uint64_t kProbeSeed = 0xd1b54a32d192ed03;

} // namespace

Subscriber::Subscriber(SubscriberOptions aOptions,
                       StateCheck aCheck,
                       uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_check(std::move(aCheck))
  , m_random(aSeed)
  , m_backoff(m_options.m_backoffBase,
              m_options.m_backoffMax,
              aSeed ^ kBackoffSeed)
  , m_probeBackoff(m_options.m_backoffBase,
                   m_options.m_backoffMax,
                   aSeed ^ kProbeSeed)
  , m_nodeEpoch(m_options.m_nodeEpoch)
{
  AddControlVms(m_options.m_controlVms);
}

SubscriberActions Subscriber::TakeActions()
{
  SubscriberActions actions;
  actions.swap(m_actions);
  return actions;
}

// ---- Sessions --------------------------------------------------------------

void Subscriber::AddControlVms(const std::vector<ControlVm>& aVms)
{
  for (const ControlVm& vm : aVms) {
    const bool known =
      std::any_of(m_candidates.begin(),
                  m_candidates.end(),
                  [&vm](const Candidate& aCandidate) {
                    return aCandidate.m_vm.m_address == vm.m_address;
                  });
    if (known) {
      continue;
    }
    if (m_candidates.size() < kMaxCandidates) {
      m_candidates.push_back({ vm, 0, {} });
      continue;
    }
    // Replace the one that failed most often: it is the least likely to come
    // back.
    size_t worst = m_candidates.size();
    for (size_t i = 0; i < m_candidates.size(); ++i) {
      const bool inUse =
        (m_main && m_main->m_vm == i) || (m_probe && m_probe->m_vm == i);
      if (!inUse &&
          (worst == m_candidates.size() ||
           m_candidates[i].m_failures > m_candidates[worst].m_failures)) {
        worst = i;
      }
    }
    m_candidates[worst] = { vm, 0, {} };
  }
}

void Subscriber::AddReportedVms(const std::vector<wire::ControlEndpoint>& aVms)
{
  std::vector<ControlVm> vms;
  for (const wire::ControlEndpoint& vm : aVms) {
    if (const auto address = ParseSocketAddress(vm.nodeAddress)) {
      vms.push_back({ address.value(), vm.availabilityZone });
    }
  }
  AddControlVms(vms);
}

size_t Subscriber::ChooseVm(std::optional<size_t> aExcept)
{
  std::vector<size_t> best;
  auto bestKey = std::make_pair(0, false);
  for (size_t vm = 0; vm < m_candidates.size(); ++vm) {
    if (vm == aExcept) {
      continue;
    }
    const auto key = std::make_pair(m_candidates[vm].m_failures,
                                    m_candidates[vm].m_vm.m_availabilityZone !=
                                      m_options.m_availabilityZone);
    if (best.empty() || key < bestKey) {
      best.clear();
      bestKey = key;
    }
    if (key == bestKey) {
      best.push_back(vm);
    }
  }
  return best[m_random() % best.size()];
}

void Subscriber::ConnectMain(Duration aDelay, TimePoint aNow)
{
  if (m_candidates.empty()) {
    return;
  }
  Session session;
  session.m_id = ++m_lastSession;
  session.m_vm = ChooseVm(std::nullopt);
  session.m_lastFrame = aNow + aDelay;
  m_main = session;
  m_actions.emplace_back(ConnectTo{
    session.m_id, m_candidates[session.m_vm].m_vm.m_address, aNow + aDelay });
}

void Subscriber::StartProbe(TimePoint aNow)
{
  // The control VM that was probed longest ago; one of the own zone among
  // equals.
  const auto order = [this](size_t aVm) {
    const Candidate& candidate = m_candidates[aVm];
    return std::make_pair(candidate.m_lastProbe,
                          candidate.m_vm.m_availabilityZone !=
                            m_options.m_availabilityZone);
  };
  std::optional<size_t> choice;
  for (size_t vm = 0; vm < m_candidates.size(); ++vm) {
    if (vm != m_main->m_vm && (!choice || order(vm) < order(*choice))) {
      choice = vm;
    }
  }
  if (!choice) {
    return;
  }
  m_candidates[*choice].m_lastProbe = aNow;
  Session session;
  session.m_id = ++m_lastSession;
  session.m_vm = *choice;
  session.m_lastFrame = aNow;
  m_probe = session;
  m_actions.emplace_back(
    ConnectTo{ session.m_id, m_candidates[*choice].m_vm.m_address, aNow });
}

void Subscriber::CloseProbe(TimePoint aNow)
{
  if (m_probe) {
    m_actions.emplace_back(CloseSession{ m_probe->m_id });
    m_probe.reset();
  }
  m_nextProbe = aNow + m_probeBackoff.Next();
}

void Subscriber::ReconnectMain(TimePoint aNow)
{
  ++m_candidates[m_main->m_vm].m_failures;
  m_main.reset();
  if (m_probe) {
    m_actions.emplace_back(CloseSession{ m_probe->m_id });
    m_probe.reset();
  }
  ConnectMain(m_backoff.Next(), aNow);
}

SubscriberActions Subscriber::Start(TimePoint aNow)
{
  m_startedAt = aNow;
  m_lastFreshAt = aNow;
  ConnectMain(Duration::zero(), aNow);
  return TakeActions();
}

SubscriberActions Subscriber::OnConnected(SessionId aSession, TimePoint aNow)
{
  for (auto* session : { &m_main, &m_probe }) {
    if (*session && (*session)->m_id == aSession) {
      (*session)->m_connected = true;
      (*session)->m_lastFrame = aNow;
      SendHello(**session, session == &m_probe);
    }
  }
  return TakeActions();
}

SubscriberActions Subscriber::OnClosed(SessionId aSession, TimePoint aNow)
{
  if (m_main && m_main->m_id == aSession) {
    ReconnectMain(aNow);
  } else if (m_probe && m_probe->m_id == aSession) {
    m_probe.reset();
    m_nextProbe = aNow + m_probeBackoff.Next();
  }
  return TakeActions();
}

SubscriberActions Subscriber::OnFrame(SessionId aSession,
                                      const wire::Frame& aFrame,
                                      TimePoint aNow)
{
  m_bytesReceived += wire::kFrameHeaderBytes + aFrame.m_payload.size();
  if (m_main && m_main->m_id == aSession) {
    m_main->m_lastFrame = aNow;
    HandleMain(aFrame, aNow);
  } else if (m_probe && m_probe->m_id == aSession) {
    m_probe->m_lastFrame = aNow;
    HandleProbe(aFrame, aNow);
  }
  return TakeActions();
}

SubscriberActions Subscriber::OnTick(TimePoint aNow)
{
  if (!m_main) {
    ConnectMain(Duration::zero(), aNow); // no control VM was known so far
  }
  if (m_main && aNow - m_main->m_lastFrame > m_options.m_silence) {
    m_actions.emplace_back(CloseSession{ m_main->m_id });
    ReconnectMain(aNow);
  }
  if (m_probe && aNow - m_probe->m_lastFrame > m_options.m_silence) {
    CloseProbe(aNow);
  }
  m_crashes.Tick(aNow);
  CheckAnnouncement(aNow);
  CheckFreshness(aNow);
  CheckReady(aNow);
  if ((!m_ready && m_state) || m_rolloutReports.IsDue(aNow)) {
    SendStatus(aNow); // requests a confirmation again
  }
  return TakeActions();
}

// ---- Frames ----------------------------------------------------------------

template<class T>
bool Subscriber::Dispatch(const wire::Frame& aFrame, TimePoint aNow)
{
  auto message = DecodeFrame<T>(aFrame);
  if (message) {
    Handle(*message, aNow);
  }
  return message.has_value();
}

void Subscriber::HandleMain(const wire::Frame& aFrame, TimePoint aNow)
{
  bool valid = false;
  switch (aFrame.m_type) {
    case FrameType::HelloReply:
      valid = Dispatch<wire::HelloReply>(aFrame, aNow);
      break;
    case FrameType::ConfigUpdate:
      valid = Dispatch<wire::ConfigUpdate>(aFrame, aNow);
      break;
    case FrameType::EndpointUpdate:
      valid = Dispatch<wire::EndpointUpdate>(aFrame, aNow);
      break;
    case FrameType::Heartbeat:
      valid = Dispatch<wire::Heartbeat>(aFrame, aNow);
      break;
    case FrameType::RetryLater:
      valid = Dispatch<wire::RetryLater>(aFrame, aNow);
      break;
    default:
      break;
  }
  if (!valid && m_main) {
    m_actions.emplace_back(CloseSession{ m_main->m_id });
    ReconnectMain(aNow);
  }
}

// A probe is answered with one HelloReply. The session moves only when the
// other control VM is fresh, or fresher by at least m_maxFreshnessAge.
// Otherwise nodes would switch back and forth between control VMs that are
// equally isolated.
void Subscriber::HandleProbe(const wire::Frame& aFrame, TimePoint aNow)
{
  const auto reply = aFrame.m_type == FrameType::HelloReply
                       ? DecodeFrame<wire::HelloReply>(aFrame)
                       : std::nullopt;
  if (!reply) {
    CloseProbe(aNow);
    return;
  }
  if (reply->__isset.floor) {
    RaiseFloor(wire::FromWire(reply->floor));
  }
  const Duration age = std::chrono::milliseconds(reply->freshnessAgeMs);
  const Duration limit = m_options.m_maxFreshnessAge;
  const bool fresher = m_main->m_freshnessAge > limit &&
                       (age <= limit || age + limit <= m_main->m_freshnessAge);
  if (!fresher) {
    CloseProbe(aNow);
    return;
  }
  m_actions.emplace_back(CloseSession{ m_main->m_id });
  m_main = m_probe;
  m_probe.reset();
  m_probeBackoff.Reset();
  SendHello(*m_main, false);
}

void Subscriber::Handle(const wire::HelloReply& aReply, TimePoint aNow)
{
  m_main->m_established = true;
  m_backoff.Reset();
  m_candidates[m_main->m_vm].m_failures = 0;
  AddReportedVms(aReply.controlVms);
  m_main->m_freshnessAge = std::chrono::milliseconds(aReply.freshnessAgeMs);
  if (aReply.__isset.floor) {
    RaiseFloor(wire::FromWire(aReply.floor));
  }
  if (!m_floorWaitEnd) {
    m_floorWaitEnd = aNow + m_options.m_floorWait;
  }
  // An earlier start of this node had a greater epoch: the clock was set back.
  if (aReply.greatestNodeEpoch > m_nodeEpoch) {
    m_nodeEpoch = aReply.greatestNodeEpoch + 1;
  }
  if (aReply.__isset.leaving) {
    m_leaving = aReply.leaving;
    m_actions.emplace_back(
      NoteLeaving{ wire::FromWire(aReply.leaving), false });
  }
  m_controlStoresLeaving = aReply.storesLeaving;
  SkipStoringLeaving();
  // The control VM may have started anew and know none of them.
  m_crashesSent = 0;
  if (m_crashes.Size() > 0 || m_options.m_proveCurrent) {
    SendStatus(aNow);
  }
  RecordFreshness(aNow);
  ++m_sequence;
  SendAnnouncement(aNow);
  CheckReady(aNow);
}

void Subscriber::Handle(const wire::Heartbeat& aBeat, TimePoint aNow)
{
  m_main->m_freshnessAge = std::chrono::milliseconds(aBeat.freshnessAgeMs);
  if (aBeat.__isset.controlVms) {
    AddReportedVms(aBeat.controlVms);
  }
  RecordFreshness(aNow);
  if (aBeat.__isset.leaving) {
    OnStoredLeaving(wire::FromWire(aBeat.leaving), aBeat.leavingPending);
  }
  if (aBeat.__isset.crashes) {
    m_crashes.Merge(aBeat.crashes, aNow);
    m_actions.emplace_back(NoteCrashes{ aBeat.crashes });
  }
  if (aBeat.__isset.quotaNodes) {
    m_actions.emplace_back(NoteQuotas{ aBeat.quotaNodes, aBeat.limits });
  }
  NoteConfirmation(aBeat);
  m_rolloutReports.OnHeartbeat(aBeat, InForce());
  NoteCurrentAsOf(aBeat, aNow);
  CheckReady(aNow);
  if (!aBeat.__isset.confirm) {
    SendStatus(aNow);
  }
  CheckFreshness(aNow);
}

void Subscriber::Handle(const wire::RetryLater& aRetry, TimePoint aNow)
{
  m_actions.emplace_back(CloseSession{ m_main->m_id });
  m_main.reset();
  if (m_probe) {
    CloseProbe(aNow);
  }
  // The control VM is alive and named the retry delay, so this does not count
  // as a failure.
  ConnectMain(std::chrono::milliseconds(std::max<int64_t>(aRetry.afterMs, 0)),
              aNow);
}

// ---- Outgoing messages -----------------------------------------------------

template<class T>
void Subscriber::Send(const Session& aSession,
                      wire::FrameType aType,
                      const T& aMessage)
{
  SendFrame frame{ aSession.m_id, aType, wire::Encode(aMessage) };
  m_bytesSent += wire::kFrameHeaderBytes + frame.m_payload.size();
  m_actions.emplace_back(std::move(frame));
}

void Subscriber::SendHello(const Session& aSession, bool aProbe)
{
  wire::NodeHello hello;
  hello.nodeName = m_options.m_nodeName;
  hello.nodeEpoch = m_nodeEpoch;
  hello.availabilityZone = m_options.m_availabilityZone;
  if (const auto held = InForce()) {
    hello.__set_held(wire::ToWire(*held));
  }
  hello.endpointSource = m_endpointSource;
  hello.endpointCursor = m_endpointCursor;
  hello.probe = aProbe;
  Send(aSession, FrameType::NodeHello, hello);
}

wire::NodeStatus Subscriber::MakeStatus() const
{
  wire::NodeStatus status;
  if (const auto held = InForce()) {
    status.__set_inForce(wire::ToWire(*held));
  }
  if (m_refused) {
    status.__set_refused(wire::ToWire(*m_refused));
    status.refusal = m_refusal;
  }
  status.controlBytesReceived = static_cast<int64_t>(m_bytesReceived);
  status.controlBytesSent = static_cast<int64_t>(m_bytesSent);
  status.endpointSource = m_endpointSource;
  status.endpointCursor = m_endpointCursor;
  status.resync = false;
  status.resyncFull = false;
  status.belowFloor = m_belowFloor;
  if (!m_unstoredLeaving.empty()) {
    status.__set_leaving(wire::ToWire(m_unstoredLeaving));
  }
  return status;
}

void Subscriber::SendStatus(TimePoint aNow)
{
  if (!HasSession()) {
    return;
  }
  wire::NodeStatus status = MakeStatus();
  if (m_state && (!m_ready || m_options.m_proveCurrent)) {
    status.__set_confirm(ToMicroseconds(aNow.time_since_epoch()));
  }
  AddCrashes(status, aNow);
  m_rolloutReports.AddTo(status, aNow);
  MoveUsage(status);
  Send(*m_main, FrameType::NodeStatus, status);
}

// Adds the crash records that the control VM of this session was not sent yet.
void Subscriber::AddCrashes(wire::NodeStatus& aStatus, TimePoint aNow)
{
  if (m_crashesSent != m_crashes.Revision()) {
    aStatus.__set_crashes(m_crashes.Since(m_crashesSent, aNow));
    m_crashesSent = m_crashes.Revision();
  }
}

void Subscriber::MoveUsage(wire::NodeStatus& aStatus)
{
  if (m_usage.empty()) {
    return;
  }
  std::vector<wire::AccountUsage> usage;
  usage.reserve(m_usage.size());
  for (const auto& [hash, account] : m_usage) {
    usage.push_back(account);
  }
  m_usage.clear();
  aStatus.usage = std::move(usage);
  aStatus.__isset.usage = true;
}

void Subscriber::AddUsage(const std::vector<wire::AccountUsage>& aUsage)
{
  for (const wire::AccountUsage& usage : aUsage) {
    wire::AccountUsage& sum = m_usage[usage.accountHash];
    sum.accountHash = usage.accountHash;
    sum.admitted += usage.admitted;
    sum.asked += usage.asked;
  }
}

SubscriberActions Subscriber::ReportCrashes(
  const std::vector<wire::CrashRecord>& aRecords,
  TimePoint aNow)
{
  m_crashes.Merge(aRecords, aNow);
  if (m_crashesSent != m_crashes.Revision()) {
    SendStatus(aNow);
  }
  return TakeActions();
}

SubscriberActions Subscriber::ReportVersionStats(
  std::vector<wire::VersionRouteStats> aStats,
  TimePoint aNow)
{
  m_rolloutReports.SetStats(std::move(aStats));
  if (m_rolloutReports.IsRunning()) {
    SendStatus(aNow);
  }
  return TakeActions();
}

// Requests are rate-limited: a control VM that can't send a usable update must
// not be asked in a loop.
void Subscriber::RequestResync(bool aFull, TimePoint aNow)
{
  auto& last = aFull ? m_main->m_lastFullResync : m_main->m_lastResync;
  if (!HasSession() || (last && aNow - *last < m_options.m_resyncInterval)) {
    return;
  }
  last = aNow;
  wire::NodeStatus status = MakeStatus();
  status.resync = true;
  status.resyncFull = aFull;
  Send(*m_main, FrameType::NodeStatus, status);
}

void Subscriber::SendAnnouncement(TimePoint aNow)
{
  if (!m_announced || !HasSession()) {
    return;
  }
  m_nextAnnouncementCheck = aNow + m_options.m_announceTimeout;
  wire::Announce announce;
  announce.endpoint = *m_announced;
  announce.endpoint.nodeEpoch = m_nodeEpoch;
  announce.endpoint.sequence = m_sequence;
  if (!announce.endpoint.__isset.leaving && m_leaving) {
    announce.endpoint.__set_leaving(*m_leaving);
  }
  Send(*m_main, FrameType::Announce, announce);
}

// ---- Targets that leave ----------------------------------------------------

SubscriberActions Subscriber::StoreLeaving(const TargetStart& aStart,
                                           TimePoint aNow)
{
  if (Covers(m_storedLeaving, aStart)) {
    m_actions.emplace_back(NoteLeaving{ aStart, true });
    return TakeActions();
  }
  if (!Covers(m_unstoredLeaving, aStart)) {
    m_unstoredLeaving.push_back(aStart);
    if (m_unstoredLeaving.size() > kMaxUnstoredLeaving) {
      m_unstoredLeaving.erase(m_unstoredLeaving.begin());
    }
  }
  SkipStoringLeaving();
  if (!m_unstoredLeaving.empty()) {
    SendStatus(aNow);
  }
  return TakeActions();
}

void Subscriber::OnStoredLeaving(std::vector<TargetStart> aStarts,
                                 bool aIsPending)
{
  if (aIsPending) {
    for (const TargetStart& start : aStarts) {
      m_actions.emplace_back(NoteLeaving{ start, false });
    }
    return;
  }
  m_storedLeaving = std::move(aStarts);
  std::erase_if(m_unstoredLeaving, [&](const TargetStart& aOne) {
    return Covers(m_storedLeaving, aOne);
  });
  for (const TargetStart& start : m_storedLeaving) {
    m_actions.emplace_back(NoteLeaving{ start, true });
  }
}

void Subscriber::SkipStoringLeaving()
{
  if (!m_controlStoresLeaving && HasSession()) {
    for (const TargetStart& start : std::exchange(m_unstoredLeaving, {})) {
      m_actions.emplace_back(NoteLeaving{ start, true });
    }
  }
}

} // namespace wigeonfold::distribution
