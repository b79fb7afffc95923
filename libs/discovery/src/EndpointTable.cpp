#include "wigeonfold/discovery/EndpointTable.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/discovery/Endpoints.h"

#include <algorithm>

namespace wigeonfold::discovery {

EndpointTable::EndpointTable(int64_t aSelf,
                             int64_t aIncarnation,
                             EndpointTableOptions aOptions)
  : m_options(aOptions)
  , m_own{ aSelf, aIncarnation }
  , m_source(static_cast<int64_t>(
      Hash64(std::to_string(aSelf) + "." + std::to_string(aIncarnation))))
{
}

// ---- Claims ----------------------------------------------------------------

EndpointTable::Rank EndpointTable::RankOf(const wire::EndpointRecord& aRecord)
{
  return Rank{ aRecord.nodeEpoch, aRecord.sequence };
}

void EndpointTable::SetClaim(const SourceId& aSource,
                             const wire::EndpointRecord& aRecord,
                             TimePoint aNow)
{
  Entry& entry = m_entries[aRecord.nodeName];
  entry.m_claims[aSource] = aRecord;
  entry.m_greatest = std::max(entry.m_greatest, RankOf(aRecord));
  if (aSource == m_own) {
    m_ownNodes.insert(aRecord.nodeName);
    m_ownRemoved.erase(aRecord.nodeName);
    m_ownChanges.MarkChanged(aRecord.nodeName);
  } else {
    m_sources[aSource].m_nodes.insert(aRecord.nodeName);
    DropOwnIfReplaced(aRecord.nodeName, entry, aNow);
  }
  Show(aRecord.nodeName, entry, aNow);
}

void EndpointTable::DropClaim(const SourceId& aSource,
                              const std::string& aNodeName,
                              TimePoint aNow)
{
  const auto found = m_entries.find(aNodeName);
  if (found == m_entries.end() || found->second.m_claims.erase(aSource) == 0) {
    return;
  }
  if (aSource == m_own) {
    m_ownNodes.erase(aNodeName);
    m_lostSessions.erase(aNodeName);
    m_ownRemoved[aNodeName] = aNow;
    m_ownChanges.MarkChanged(aNodeName);
  } else {
    m_sources[aSource].m_nodes.erase(aNodeName);
  }
  Show(aNodeName, found->second, aNow);
}

void EndpointTable::DropSource(const SourceId& aSource, TimePoint aNow)
{
  const std::set<std::string> nodes = m_sources[aSource].m_nodes;
  for (const std::string& node : nodes) {
    DropClaim(aSource, node, aNow);
  }
  m_sources.erase(aSource);
}

// The node has moved: another control VM holds its newer session.
void EndpointTable::DropOwnIfReplaced(const std::string& aNodeName,
                                      const Entry& aEntry,
                                      TimePoint aNow)
{
  const auto own = aEntry.m_claims.find(m_own);
  if (own != aEntry.m_claims.end() && RankOf(own->second) < aEntry.m_greatest) {
    DropClaim(m_own, aNodeName, aNow);
  }
}

void EndpointTable::Show(const std::string& aNodeName,
                         Entry& aEntry,
                         TimePoint aNow)
{
  const wire::EndpointRecord* best = nullptr;
  for (const auto& [source, record] : aEntry.m_claims) {
    const bool current = RankOf(record) == aEntry.m_greatest;
    if (current && (!best || Replaces(record, *best))) {
      best = &record;
    }
  }
  const bool was = aEntry.m_shown.has_value();
  const bool unchanged = best ? was && *aEntry.m_shown == *best : !was;
  if (unchanged) {
    if (!best) {
      m_hidden.insert(aNodeName);
      aEntry.m_hiddenSince = aEntry.m_hiddenSince.value_or(aNow);
    }
    return;
  }
  if (best) {
    aEntry.m_shown = *best;
    aEntry.m_hiddenSince.reset();
    m_hidden.erase(aNodeName);
    m_visible += was ? 0 : 1;
  } else {
    aEntry.m_shown.reset();
    aEntry.m_hiddenSince = aNow;
    m_hidden.insert(aNodeName);
    --m_visible;
  }
  m_changes.MarkChanged(aNodeName);
}

// ---- Sessions --------------------------------------------------------------

bool EndpointTable::Announce(wire::EndpointRecord aRecord, TimePoint aNow)
{
  aRecord.owner = m_own.m_owner;
  m_lostSessions.erase(aRecord.nodeName);
  const auto found = m_entries.find(aRecord.nodeName);
  if (found != m_entries.end() && RankOf(aRecord) <= found->second.m_greatest) {
    return false;
  }
  SetClaim(m_own, aRecord, aNow);
  return true;
}

void EndpointTable::LoseSession(const std::string& aNodeName, TimePoint aNow)
{
  if (m_ownNodes.count(aNodeName) > 0) {
    m_lostSessions.emplace(aNodeName, aNow);
  }
}

void EndpointTable::RenewSession(const std::string& aNodeName)
{
  m_lostSessions.erase(aNodeName);
}

// ---- Leases ----------------------------------------------------------------

void EndpointTable::Tick(TimePoint aNow)
{
  TickOwn(aNow);
  TickSources(aNow);
  TickHidden(aNow);
}

void EndpointTable::TickOwn(TimePoint aNow)
{
  std::vector<std::string> remove;
  for (const auto& [node, since] : m_lostSessions) {
    wire::EndpointRecord record = m_entries[node].m_claims[m_own];
    if (aNow - since >= m_options.m_sessionLease + m_options.m_retention) {
      remove.push_back(node);
    } else if (aNow - since >= m_options.m_sessionLease &&
               record.state != wire::EndpointState::Lost) {
      record.state = wire::EndpointState::Lost;
      SetClaim(m_own, record, aNow);
    }
  }
  for (const std::string& node : remove) {
    DropClaim(m_own, node, aNow);
  }
  for (auto at = m_ownRemoved.begin(); at != m_ownRemoved.end();) {
    if (aNow - at->second < m_options.m_retention) {
      ++at;
      continue;
    }
    m_ownChanges.Forget(at->first);
    at = m_ownRemoved.erase(at);
  }
}

void EndpointTable::TickSources(TimePoint aNow)
{
  std::vector<SourceId> silent;
  for (const auto& [id, source] : m_sources) {
    if (aNow - source.m_lastHeard >= m_options.m_ownerLease) {
      silent.push_back(id);
    }
  }
  for (const SourceId& id : silent) {
    DropSource(id, aNow);
  }
}

void EndpointTable::TickHidden(TimePoint aNow)
{
  for (auto at = m_hidden.begin(); at != m_hidden.end();) {
    const auto entry = m_entries.find(*at);
    if (aNow - entry->second.m_hiddenSince.value_or(aNow) <
        m_options.m_retention) {
      ++at;
      continue;
    }
    // A claim below the greatest rank may still be there; it is shown again
    // only when its source sends it anew.
    if (entry->second.m_claims.empty()) {
      m_entries.erase(entry);
    } else {
      entry->second.m_hiddenSince = aNow;
      ++at;
      continue;
    }
    m_changes.Forget(*at);
    at = m_hidden.erase(at);
  }
}

// ---- Exchange --------------------------------------------------------------

wire::EndpointSync EndpointTable::SetOf(const SourceId& aId,
                                        int64_t aCursor) const
{
  wire::EndpointSync sync;
  sync.owner = aId.m_owner;
  sync.incarnation = aId.m_incarnation;
  sync.full = true;
  sync.cursor = aCursor;
  const std::set<std::string>& nodes =
    aId == m_own ? m_ownNodes : m_sources.at(aId).m_nodes;
  for (const std::string& node : nodes) {
    sync.records.push_back(m_entries.at(node).m_claims.at(aId));
  }
  return sync;
}

std::vector<wire::EndpointSync> EndpointTable::FullSyncFor(int64_t aPeer) const
{
  std::vector<wire::EndpointSync> syncs{ SetOf(m_own, m_ownChanges.Cursor()) };
  for (const auto& [id, source] : m_sources) {
    if (id.m_owner == aPeer) {
      syncs.push_back(SetOf(id, source.m_cursor));
    }
  }
  return syncs;
}

wire::EndpointSync EndpointTable::SyncSince(int64_t aCursor) const
{
  const auto names = m_ownChanges.Since(aCursor);
  if (!names) {
    return SetOf(m_own, m_ownChanges.Cursor());
  }
  wire::EndpointSync sync;
  sync.owner = m_own.m_owner;
  sync.incarnation = m_own.m_incarnation;
  sync.full = false;
  sync.baseCursor = aCursor;
  sync.cursor = m_ownChanges.Cursor();
  for (const std::string& name : *names) {
    if (m_ownNodes.count(name) > 0) {
      sync.records.push_back(m_entries.at(name).m_claims.at(m_own));
    } else {
      sync.removedNodes.push_back(name);
    }
  }
  return sync;
}

// True when a later incarnation of that control VM is known.
bool EndpointTable::IsOutdated(const SourceId& aId) const
{
  if (aId.m_owner == m_own.m_owner) {
    return aId.m_incarnation >= m_own.m_incarnation;
  }
  const auto later = m_sources.upper_bound(aId);
  return later != m_sources.end() && later->first.m_owner == aId.m_owner;
}

std::optional<wire::EndpointSync> EndpointTable::OnSync(
  const wire::EndpointSync& aSync,
  TimePoint aNow)
{
  const SourceId id{ aSync.owner, aSync.incarnation };
  if (aSync.request) {
    return aSync.owner == m_own.m_owner
             ? std::optional(SetOf(m_own, m_ownChanges.Cursor()))
             : std::nullopt;
  }
  if (IsOutdated(id)) {
    return std::nullopt;
  }
  const auto known = m_sources.find(id);
  const bool isKnown = known != m_sources.end();
  if (id.m_owner == m_own.m_owner && isKnown) {
    return std::nullopt; // relayed by several peers; the first one is enough
  }
  if (isKnown) {
    known->second.m_lastHeard = aNow;
  }
  const bool gap =
    !aSync.full && (!isKnown || known->second.m_cursor < aSync.baseCursor);
  if (gap) {
    wire::EndpointSync request;
    request.owner = aSync.owner;
    request.incarnation = aSync.incarnation;
    request.full = false;
    request.request = true;
    return request;
  }
  if (isKnown && aSync.cursor <= known->second.m_cursor) {
    return std::nullopt;
  }
  KnownSource& source = m_sources[id];
  source.m_lastHeard = aNow;
  source.m_cursor = aSync.cursor;
  ReplaceSet(id, aSync, aNow);
  return std::nullopt;
}

void EndpointTable::ReplaceSet(const SourceId& aId,
                               const wire::EndpointSync& aSync,
                               TimePoint aNow)
{
  if (aSync.full) {
    std::set<std::string> gone = m_sources[aId].m_nodes;
    for (const wire::EndpointRecord& record : aSync.records) {
      gone.erase(record.nodeName);
    }
    for (const std::string& node : gone) {
      DropClaim(aId, node, aNow);
    }
  }
  for (const wire::EndpointRecord& record : aSync.records) {
    SetClaim(aId, record, aNow);
  }
  for (const std::string& node : aSync.removedNodes) {
    DropClaim(aId, node, aNow);
  }
}

// ---- Table -----------------------------------------------------------------

wire::EndpointUpdate EndpointTable::ChangesSince(int64_t aSource,
                                                 int64_t aCursor) const
{
  wire::EndpointUpdate update;
  update.source = m_source;
  update.cursor = m_changes.Cursor();
  const auto names =
    aSource == m_source ? m_changes.Since(aCursor) : std::nullopt;
  update.full = !names;
  if (update.full) {
    update.records = Records();
    return update;
  }
  update.baseCursor = aCursor;
  for (const std::string& name : *names) {
    if (const wire::EndpointRecord* record = Find(name)) {
      update.records.push_back(*record);
    } else {
      update.removedNodes.push_back(name);
    }
  }
  return update;
}

const wire::EndpointRecord* EndpointTable::Find(
  const std::string& aNodeName) const
{
  const auto found = m_entries.find(aNodeName);
  return found != m_entries.end() && found->second.m_shown
           ? &*found->second.m_shown
           : nullptr;
}

std::vector<wire::EndpointRecord> EndpointTable::Records() const
{
  std::vector<wire::EndpointRecord> records;
  records.reserve(m_visible);
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_shown) {
      records.push_back(*entry.m_shown);
    }
  }
  return records;
}

int64_t EndpointTable::GreatestEpoch(const std::string& aNodeName) const
{
  const auto found = m_entries.find(aNodeName);
  return found == m_entries.end() ? 0 : found->second.m_greatest.m_epoch;
}

} // namespace wigeonfold::discovery
