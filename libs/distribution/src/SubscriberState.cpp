// Configuration, endpoints, floor and freshness of a node. Sessions and
// messages are in Subscriber.cpp.
#include "wigeonfold/distribution/Subscriber.h"

#include "wigeonfold/wire/Codec.h"
#include "wigeonfold/wire/Packing.h"

#include <algorithm>

namespace wigeonfold::distribution {

namespace {

// Upper bound of an encoded tree: names and lengths make up less than half of
// it.
constexpr size_t kMaxUnpackedBytes = 2 * settings::kMaxTreeBytes;

// Replaces packed branches, if there are any, by the unpacked ones.
Status UnpackBranches(wire::ConfigUpdate& aUpdate)
{
  if (aUpdate.packedBranches.empty()) {
    return Ok();
  }
  const std::string packed = std::exchange(aUpdate.packedBranches, {});
  const auto length =
    static_cast<size_t>(std::max<int64_t>(aUpdate.packedLength, 0));
  BOOST_OUTCOME_TRY(
    bytes, wire::Unpack(packed, length, kMaxUnpackedBytes, "control VM"));
  BOOST_OUTCOME_TRY(list, wire::Decode<wire::BranchList>(bytes, "control VM"));
  aUpdate.branches = std::move(list.branches);
  return Ok();
}

// Moves the branches: a whole tree is too large to copy.
settings::TreeDelta TakeDelta(wire::ConfigUpdate& aUpdate)
{
  settings::TreeDelta delta;
  delta.m_full = aUpdate.full;
  delta.m_baseVersion = wire::FromWire(aUpdate.base);
  delta.m_newVersion = wire::FromWire(aUpdate.target);
  delta.m_branches = std::move(aUpdate.branches);
  delta.m_digest = static_cast<uint64_t>(aUpdate.digest);
  return delta;
}

} // namespace

// ---- Configuration ---------------------------------------------------------

std::optional<Version> Subscriber::InForce() const
{
  return m_state ? std::optional<Version>(m_state->m_tree.TreeVersion())
                 : std::nullopt;
}

void Subscriber::Handle(wire::ConfigUpdate& aUpdate, TimePoint aNow)
{
  const Version target = wire::FromWire(aUpdate.target);
  const auto held = InForce();
  if (held && target == *held) {
    SendStatus(aNow); // duplicate; confirm it again
    return;
  }
  if (m_refused == target) {
    SendStatus(aNow);
    return;
  }
  const bool wrongBase =
    !aUpdate.full && (!held || wire::FromWire(aUpdate.base) != *held);
  if ((held && target < *held) || wrongBase) {
    RequestResync(false, aNow);
    return;
  }
  if (const Status unpacked = UnpackBranches(aUpdate); !unpacked) {
    HandleBadUpdate(aUpdate, unpacked.error(), aNow);
    return;
  }
  const settings::Tree tree = m_state ? m_state->m_tree : settings::Tree();
  const auto patched = tree.Patch(TakeDelta(aUpdate));
  if (!patched) {
    HandleBadUpdate(aUpdate, patched.error(), aNow);
    return;
  }
  const auto problems = patched.value().Problems();
  if (!problems.empty()) {
    Refuse(target, problems.front(), aNow);
    return;
  }
  NodeState next{ patched.value(),
                  m_state ? m_state->m_endpoints : m_earlyEndpoints };
  if (const Status checked = m_check(next); !checked) {
    Refuse(target, checked.error().m_detail, aNow);
    return;
  }
  m_refused.reset();
  m_refusal.clear();
  Apply(std::move(next));
  if (!m_configuredAt) {
    m_configuredAt = aNow;
  }
  SendStatus(aNow);
  CheckReady(aNow);
}

// When a delta can't be unpacked or applied (for example, the digest differs),
// the base may be at fault. The whole tree is requested before the version is
// refused.
void Subscriber::HandleBadUpdate(const wire::ConfigUpdate& aUpdate,
                                 const Error& aError,
                                 TimePoint aNow)
{
  if (!aUpdate.full) {
    RequestResync(true, aNow);
    return;
  }
  Refuse(wire::FromWire(aUpdate.target), aError.ToString(), aNow);
}

void Subscriber::Refuse(const Version& aVersion,
                        const std::string& aReason,
                        TimePoint aNow)
{
  m_refused = aVersion;
  m_refusal = aReason;
  m_actions.emplace_back(ReportRefusal{ aVersion, aReason });
  SendStatus(aNow);
}

void Subscriber::Apply(NodeState aState)
{
  m_state = std::make_shared<const NodeState>(std::move(aState));
  m_rolloutReports.OnApplied(m_state->m_tree);
  m_actions.emplace_back(ApplyState{ m_state });
}

// ---- Endpoints -------------------------------------------------------------

void Subscriber::Handle(const wire::EndpointUpdate& aUpdate, TimePoint aNow)
{
  const bool sameSource = aUpdate.source == m_endpointSource;
  if (sameSource && aUpdate.cursor <= m_endpointCursor) {
    SendStatus(aNow);
    return;
  }
  if (!aUpdate.full && (!sameSource || aUpdate.baseCursor > m_endpointCursor)) {
    RequestResync(false, aNow);
    return;
  }
  m_endpointSource = aUpdate.source;
  m_endpointCursor = aUpdate.cursor;
  if (m_state) {
    Apply(NodeState{ m_state->m_tree, m_state->m_endpoints.With(aUpdate) });
  } else {
    m_earlyEndpoints = m_earlyEndpoints.With(aUpdate);
  }
  SendStatus(aNow);
}

SubscriberActions Subscriber::Announce(wire::EndpointRecord aEndpoint,
                                       TimePoint aNow)
{
  aEndpoint.nodeName = m_options.m_nodeName;
  aEndpoint.nodeEpoch = 0;
  aEndpoint.sequence = 0;
  aEndpoint.owner = 0;
  if (m_announced != aEndpoint) {
    m_announced = std::move(aEndpoint);
    ++m_sequence;
    SendAnnouncement(aNow);
  }
  return TakeActions();
}

// The control VM sends the node's own record back along with the others. If it
// still differs from the announced one after m_announceTimeout, the
// announcement was lost or the record of an older run of this node has a
// greater epoch.
void Subscriber::CheckAnnouncement(TimePoint aNow)
{
  if (!m_announced || !HasSession() || aNow < m_nextAnnouncementCheck) {
    return;
  }
  const auto& endpoints = m_state ? m_state->m_endpoints : m_earlyEndpoints;
  const auto* held = endpoints.Find(m_options.m_nodeName);
  const auto own = std::make_pair(m_nodeEpoch, m_sequence);
  const auto received =
    held ? std::make_pair(held->nodeEpoch, held->sequence) : decltype(own)();
  if (received == own && held->state == m_announced->state) {
    return;
  }
  if (received.first > own.first) {
    m_nodeEpoch = received.first + 1;
  } else if (received >= own) {
    m_sequence = received.second + 1;
  }
  SendAnnouncement(aNow);
}

// ---- Floor and freshness ---------------------------------------------------

SubscriberActions Subscriber::OnPeerVersion(const Version& aVersion,
                                            TimePoint aNow)
{
  RaiseFloor(aVersion);
  CheckReady(aNow);
  return TakeActions();
}

// The floor matters only until the node is ready. From then on the version in
// force keeps the node from going back.
void Subscriber::RaiseFloor(const Version& aVersion)
{
  if (!m_ready) {
    m_floor = std::max(m_floor.value_or(aVersion), aVersion);
  }
}

// Takes note of the version that confirms this node: the newest one of a
// control VM that was current at some time after this node's start. The
// heartbeat was sent after the status that it answers, so the control VM was
// current at the time of that status minus the reported age, or later. Later
// versions need not be waited for.
void Subscriber::NoteConfirmation(const wire::Heartbeat& aBeat)
{
  if (!aBeat.__isset.confirm) {
    return;
  }
  const TimePoint statusSentAt{ std::chrono::microseconds(aBeat.confirm) };
  // Ages are rounded down to whole milliseconds.
  const Duration age = std::chrono::milliseconds(aBeat.freshnessAgeMs + 1);
  if (statusSentAt - age > m_startedAt) {
    const Version newest = wire::FromWire(aBeat.newest);
    m_confirming = std::min(m_confirming.value_or(newest), newest);
  }
}

// The number is this node's time of the status that the heartbeat answers. The
// heartbeat was made after it, so a late one proves no more than one in time.
void Subscriber::NoteCurrentAsOf(const wire::Heartbeat& aBeat, TimePoint aNow)
{
  const Version newest = wire::FromWire(aBeat.newest);
  if (!m_options.m_proveCurrent) {
    const Duration age = std::chrono::milliseconds(aBeat.freshnessAgeMs + 1);
    m_actions.emplace_back(NoteCurrent{ aNow - age, newest });
    return;
  }
  if (!aBeat.__isset.confirm || !aBeat.__isset.currentAgeMs) {
    return;
  }
  const TimePoint askedAt{ std::chrono::microseconds(aBeat.confirm) };
  if (askedAt < m_startedAt || askedAt > aNow) {
    return; // not a number of this node
  }
  const Duration age =
    std::chrono::milliseconds(std::max<int64_t>(aBeat.currentAgeMs, 0));
  m_actions.emplace_back(NoteCurrent{ askedAt - age, newest });
}

// Whether a control VM that wasn't confirmed as current can vouch for the
// state: somebody named a version that an earlier run of this node may have had
// in force, and all who can be reached had time to.
bool Subscriber::KnowsFloor(TimePoint aNow) const
{
  return m_floor && m_floorWaitEnd && aNow >= *m_floorWaitEnd &&
         m_configuredAt && aNow >= *m_configuredAt + m_options.m_peerFloorWait;
}

void Subscriber::CheckReady(TimePoint aNow)
{
  if (m_ready || !m_state) {
    return;
  }
  const Version held = m_state->m_tree.TreeVersion();
  const bool confirmed = m_confirming && held >= *m_confirming;
  const bool below = m_floor && held < *m_floor;
  const bool mayBeOlder = below || !(confirmed || KnowsFloor(aNow));
  if (mayBeOlder && aNow - m_lastFreshAt < m_options.m_floorTimeout) {
    return;
  }
  m_ready = true;
  m_belowFloor = mayBeOlder;
  m_actions.emplace_back(BecomeReady{ m_floor, mayBeOlder, confirmed });
  SendStatus(aNow);
}

void Subscriber::RecordFreshness(TimePoint aNow)
{
  if (m_main->m_freshnessAge <= m_options.m_maxFreshnessAge) {
    m_lastFreshAt = aNow;
  }
}

std::optional<Duration> Subscriber::FreshnessAge() const
{
  return HasSession() ? std::optional<Duration>(m_main->m_freshnessAge)
                      : std::nullopt;
}

std::optional<SocketAddress> Subscriber::ControlAddress() const
{
  return m_main ? std::optional<SocketAddress>(
                    m_candidates[m_main->m_vm].m_vm.m_address)
                : std::nullopt;
}

void Subscriber::CheckFreshness(TimePoint aNow)
{
  const bool stale =
    HasSession() && m_main->m_freshnessAge > m_options.m_maxFreshnessAge;
  if (stale && !m_probe && aNow >= m_nextProbe) {
    StartProbe(aNow);
  }
}

} // namespace wigeonfold::distribution
