// Configuration and endpoint updates of NodeSessions.
#include "wigeonfold/distribution/NodeSessions.h"

#include "EncodeShared.h"

#include "wigeonfold/wire/Packing.h"

#include <algorithm>

namespace wigeonfold::distribution {

using wire::FrameType;

namespace {

// Updates with fewer branches are not packed: they fit into one or two packets.
constexpr size_t kMinPackedBranches = 16;

wire::ConfigUpdate ToUpdate(const settings::TreeDelta& aDelta)
{
  wire::ConfigUpdate update;
  update.full = aDelta.m_full;
  update.base = wire::ToWire(aDelta.m_baseVersion);
  update.target = wire::ToWire(aDelta.m_newVersion);
  if (aDelta.m_branches.size() < kMinPackedBranches) {
    update.branches = aDelta.m_branches;
  } else {
    wire::BranchList list;
    list.branches = aDelta.m_branches;
    const std::string bytes = wire::Encode(list);
    update.packedLength = static_cast<int64_t>(bytes.size());
    update.packedBranches = wire::Pack(bytes);
  }
  update.digest = static_cast<int64_t>(aDelta.m_digest);
  return update;
}

} // namespace

size_t NodeSessions::FullTransfers() const
{
  return std::max(m_fullConfigs, m_fullEndpoints);
}

void NodeSessions::CountFullTransfer(size_t& aCount)
{
  ++aCount;
  m_counters.m_peakFullTransfers =
    std::max(m_counters.m_peakFullTransfers, FullTransfers());
}

void NodeSessions::ClearConfigInFlight(Session& aSession)
{
  if (aSession.m_configInFlight && aSession.m_configInFlight->m_full) {
    --m_fullConfigs;
  }
  aSession.m_configInFlight.reset();
}

void NodeSessions::ClearEndpointsInFlight(Session& aSession)
{
  if (aSession.m_endpointsInFlight && aSession.m_endpointsInFlight->m_full) {
    --m_fullEndpoints;
  }
  aSession.m_endpointsInFlight.reset();
}

void NodeSessions::SendUpdates(Session& aSession, TimePoint aNow)
{
  if (!aSession.m_established) {
    return;
  }
  const auto timedOut = [&](const auto& aInFlight) {
    return aInFlight && aNow - aInFlight->m_sentAt > m_options.m_confirmTimeout;
  };
  if (timedOut(aSession.m_configInFlight)) {
    ClearConfigInFlight(aSession);
  }
  if (timedOut(aSession.m_endpointsInFlight)) {
    ClearEndpointsInFlight(aSession);
  }
  // Endpoints go first, so that the node already has them when it applies its
  // first configuration.
  SendEndpoints(aSession, aNow);
  SendConfig(aSession, aNow);
}

bool NodeSessions::NeedsConfig(const Session& aSession, TimePoint aNow) const
{
  const bool justStarted =
    aNow - m_options.m_startedAt < m_options.m_unconfirmedWait;
  const bool mayBeOutdated =
    !m_hasBeenCurrent && (m_options.m_startedEmpty || justStarted);
  if (!m_tree || mayBeOutdated || aSession.m_configInFlight ||
      aSession.m_info.m_refused == m_tree->TreeVersion()) {
    return false;
  }
  return !aSession.m_confirmed || *aSession.m_confirmed < m_tree->TreeVersion();
}

void NodeSessions::SendConfig(Session& aSession, TimePoint aNow)
{
  if (!NeedsConfig(aSession, aNow)) {
    return;
  }
  const EncodedConfig& update =
    ConfigFrom(aSession.m_fullRequested ? std::nullopt : aSession.m_confirmed);
  if (update.m_full && m_fullConfigs >= m_options.m_maxFullTransfers) {
    return; // retried on the next tick
  }
  ConfigInFlight inFlight;
  inFlight.m_sentAt = aNow;
  inFlight.m_full = update.m_full;
  inFlight.m_target = m_tree->TreeVersion();
  aSession.m_configInFlight = inFlight;
  if (update.m_full) {
    CountFullTransfer(m_fullConfigs);
  }
  ++(update.m_full ? m_counters.m_configFulls : m_counters.m_configDeltas);
  Send(aSession.m_id, FrameType::ConfigUpdate, update.m_payload);
}

const NodeSessions::EncodedConfig& NodeSessions::ConfigFrom(
  const std::optional<Version>& aBase)
{
  EncodedConfig& cached = m_configCache[aBase];
  if (!cached.m_payload) {
    const wire::ConfigUpdate update = ToUpdate(m_tree->DeltaFrom(aBase));
    cached.m_full = update.full;
    cached.m_payload = EncodeShared(update);
  }
  return cached;
}

bool NodeSessions::NeedsFullEndpoints(const Session& aSession) const
{
  return aSession.m_endpointSource != m_table.Source();
}

void NodeSessions::SendEndpoints(Session& aSession, TimePoint aNow)
{
  const bool current = !NeedsFullEndpoints(aSession) &&
                       aSession.m_endpointCursor == m_table.Cursor();
  if (!m_endpointsComplete || current || aSession.m_endpointsInFlight ||
      aNow < aSession.m_nextEndpoints) {
    return;
  }
  const EncodedEndpoints& update =
    EndpointsFrom(aSession.m_endpointSource, aSession.m_endpointCursor);
  if (update.m_full && m_fullEndpoints >= m_options.m_maxFullTransfers) {
    return;
  }
  EndpointsInFlight inFlight;
  inFlight.m_sentAt = aNow;
  inFlight.m_full = update.m_full;
  inFlight.m_cursor = update.m_cursor;
  aSession.m_endpointsInFlight = inFlight;
  aSession.m_nextEndpoints = aNow + m_options.m_endpointInterval;
  if (update.m_full) {
    CountFullTransfer(m_fullEndpoints);
  }
  ++(update.m_full ? m_counters.m_endpointFulls : m_counters.m_endpointDeltas);
  Send(aSession.m_id, FrameType::EndpointUpdate, update.m_payload);
}

const NodeSessions::EncodedEndpoints& NodeSessions::EndpointsFrom(
  int64_t aSource,
  int64_t aCursor)
{
  // All cursors of other sources share one cache entry: they get the full
  // table, as cursors do that are too old.
  constexpr int64_t kOtherSource = -1;
  const int64_t base = aSource == m_table.Source() ? aCursor : kOtherSource;
  if (m_endpointCacheCursor != m_table.Cursor()) {
    m_endpointCache.clear();
    m_endpointCacheCursor = m_table.Cursor();
  }
  EncodedEndpoints& cached = m_endpointCache[base];
  if (!cached.m_payload) {
    const wire::EndpointUpdate update = m_table.ChangesSince(aSource, aCursor);
    cached.m_full = update.full;
    cached.m_cursor = update.cursor;
    cached.m_payload = EncodeShared(update);
  }
  return cached;
}

} // namespace wigeonfold::distribution
