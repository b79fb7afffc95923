// Updates of configuration and endpoints to nodes.
#include "wigeonfold/distribution/NodeSessions.h"

#include "EncodeShared.h"

#include "wigeonfold/wire/Packing.h"

#include <algorithm>

namespace wigeonfold::distribution {

using wire::FrameType;

namespace {

// Fewer branches fit into one or two packets.
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

void NodeSessions::NoteFull(size_t& aCount)
{
  ++aCount;
  m_counters.m_peakFullTransfers =
    std::max(m_counters.m_peakFullTransfers, FullTransfers());
}

void NodeSessions::EndConfig(Session& aSession)
{
  if (aSession.m_config && aSession.m_config->m_full) {
    --m_fullConfigs;
  }
  aSession.m_config.reset();
}

void NodeSessions::EndEndpoints(Session& aSession)
{
  if (aSession.m_endpoints && aSession.m_endpoints->m_full) {
    --m_fullEndpoints;
  }
  aSession.m_endpoints.reset();
}

void NodeSessions::SendUpdates(Session& aSession, TimePoint aNow)
{
  if (!aSession.m_greeted) {
    return;
  }
  const auto late = [&](const auto& aFlight) {
    return aFlight && aNow - aFlight->m_sentAt > m_options.m_confirmTimeout;
  };
  if (late(aSession.m_config)) {
    EndConfig(aSession);
  }
  if (late(aSession.m_endpoints)) {
    EndEndpoints(aSession);
  }
  // Endpoints first: the first configuration is then applied with them.
  SendEndpoints(aSession, aNow);
  SendConfig(aSession, aNow);
}

bool NodeSessions::NeedsConfig(const Session& aSession, TimePoint aNow) const
{
  const bool startedJustNow =
    aNow - m_options.m_startedAt < m_options.m_unconfirmedWait;
  const bool mayBeOld =
    !m_wasCurrent && (m_options.m_startedEmpty || startedJustNow);
  if (!m_tree || mayBeOld || aSession.m_config ||
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
    ConfigFrom(aSession.m_wantsFull ? std::nullopt : aSession.m_confirmed);
  if (update.m_full && m_fullConfigs >= m_options.m_maxFullTransfers) {
    return; // tried again at the next tick
  }
  ConfigFlight flight;
  flight.m_sentAt = aNow;
  flight.m_full = update.m_full;
  flight.m_target = m_tree->TreeVersion();
  aSession.m_config = flight;
  if (update.m_full) {
    NoteFull(m_fullConfigs);
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
  if (!m_endpointsComplete || current || aSession.m_endpoints ||
      aNow < aSession.m_nextEndpoints) {
    return;
  }
  const EncodedEndpoints& update =
    EndpointsFrom(aSession.m_endpointSource, aSession.m_endpointCursor);
  if (update.m_full && m_fullEndpoints >= m_options.m_maxFullTransfers) {
    return;
  }
  EndpointFlight flight;
  flight.m_sentAt = aNow;
  flight.m_full = update.m_full;
  flight.m_cursor = update.m_cursor;
  aSession.m_endpoints = flight;
  aSession.m_nextEndpoints = aNow + m_options.m_endpointPause;
  if (update.m_full) {
    NoteFull(m_fullEndpoints);
  }
  ++(update.m_full ? m_counters.m_endpointFulls : m_counters.m_endpointDeltas);
  Send(aSession.m_id, FrameType::EndpointUpdate, update.m_payload);
}

const NodeSessions::EncodedEndpoints& NodeSessions::EndpointsFrom(
  int64_t aSource,
  int64_t aCursor)
{
  // A cursor of another source is served like one that is too old.
  constexpr int64_t kForeign = -1;
  const int64_t base = aSource == m_table.Source() ? aCursor : kForeign;
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
