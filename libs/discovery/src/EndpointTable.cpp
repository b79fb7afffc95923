#include "wigeonfold/discovery/EndpointTable.h"

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/discovery/Endpoints.h"

#include <algorithm>

namespace wigeonfold::discovery {

EndpointTable::EndpointTable(int64_t aSelf,
                             int64_t aIncarnation,
                             EndpointTableOptions aOptions)
  : m_options(aOptions)
  , m_ownSource{ aSelf, aIncarnation }
  , m_source(static_cast<int64_t>(
      Hash64(std::to_string(aSelf) + "." + std::to_string(aIncarnation))))
{
}

// ---- Records of the sources ------------------------------------------------

EndpointTable::RecordVersion EndpointTable::VersionOf(
  const wire::EndpointRecord& aRecord)
{
  return RecordVersion{ aRecord.nodeEpoch, aRecord.sequence };
}

void EndpointTable::SetRecord(const SourceId& aSource,
                              const wire::EndpointRecord& aRecord,
                              TimePoint aNow)
{
  Entry& entry = m_entries[aRecord.nodeName];
  entry.m_recordBySource[aSource] = aRecord;
  entry.m_newestVersion = std::max(entry.m_newestVersion, VersionOf(aRecord));
  if (aSource == m_ownSource) {
    m_ownNodes.insert(aRecord.nodeName);
    m_ownRemoved.erase(aRecord.nodeName);
    m_ownChanges.MarkChanged(aRecord.nodeName);
  } else {
    m_sources[aSource].m_nodes.insert(aRecord.nodeName);
    DropOwnIfSuperseded(aRecord.nodeName, entry, aNow);
  }
  UpdateVisibleRecord(aRecord.nodeName, entry, aNow);
}

void EndpointTable::DropRecord(const SourceId& aSource,
                               const std::string& aNodeName,
                               TimePoint aNow)
{
  const auto found = m_entries.find(aNodeName);
  if (found == m_entries.end() ||
      found->second.m_recordBySource.erase(aSource) == 0) {
    return;
  }
  if (aSource == m_ownSource) {
    m_ownNodes.erase(aNodeName);
    m_lostSessions.erase(aNodeName);
    m_ownRemoved[aNodeName] = aNow;
    m_ownChanges.MarkChanged(aNodeName);
  } else {
    m_sources[aSource].m_nodes.erase(aNodeName);
  }
  UpdateVisibleRecord(aNodeName, found->second, aNow);
}

void EndpointTable::DropSource(const SourceId& aSource, TimePoint aNow)
{
  const std::set<std::string> nodes = m_sources[aSource].m_nodes;
  for (const std::string& node : nodes) {
    DropRecord(aSource, node, aNow);
  }
  m_sources.erase(aSource);
}

void EndpointTable::DropOwnIfSuperseded(const std::string& aNodeName,
                                        const Entry& aEntry,
                                        TimePoint aNow)
{
  const auto own = aEntry.m_recordBySource.find(m_ownSource);
  if (own != aEntry.m_recordBySource.end() &&
      VersionOf(own->second) < aEntry.m_newestVersion) {
    DropRecord(m_ownSource, aNodeName, aNow);
  }
}

void EndpointTable::UpdateVisibleRecord(const std::string& aNodeName,
                                        Entry& aEntry,
                                        TimePoint aNow)
{
  const wire::EndpointRecord* best = nullptr;
  for (const auto& [source, record] : aEntry.m_recordBySource) {
    const bool isNewest = VersionOf(record) == aEntry.m_newestVersion;
    if (isNewest && (!best || Replaces(record, *best))) {
      best = &record;
    }
  }
  const bool wasVisible = aEntry.m_visibleRecord.has_value();
  const bool unchanged =
    best ? wasVisible && *aEntry.m_visibleRecord == *best : !wasVisible;
  if (unchanged) {
    if (!best) {
      m_hiddenNodes.insert(aNodeName);
      aEntry.m_hiddenSince = aEntry.m_hiddenSince.value_or(aNow);
    }
    return;
  }
  if (best) {
    aEntry.m_visibleRecord = *best;
    aEntry.m_hiddenSince.reset();
    m_hiddenNodes.erase(aNodeName);
    m_visibleCount += wasVisible ? 0 : 1;
  } else {
    aEntry.m_visibleRecord.reset();
    aEntry.m_hiddenSince = aNow;
    m_hiddenNodes.insert(aNodeName);
    --m_visibleCount;
  }
  m_changes.MarkChanged(aNodeName);
}

// ---- Sessions --------------------------------------------------------------

bool EndpointTable::Announce(wire::EndpointRecord aRecord, TimePoint aNow)
{
  aRecord.owner = m_ownSource.m_owner;
  m_lostSessions.erase(aRecord.nodeName);
  const auto found = m_entries.find(aRecord.nodeName);
  if (found != m_entries.end() &&
      VersionOf(aRecord) <= found->second.m_newestVersion) {
    return false;
  }
  SetRecord(m_ownSource, aRecord, aNow);
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
  ExpireOwnRecords(aNow);
  ExpireSources(aNow);
  ForgetHiddenNodes(aNow);
}

void EndpointTable::ExpireOwnRecords(TimePoint aNow)
{
  std::vector<std::string> expired;
  for (const auto& [node, since] : m_lostSessions) {
    wire::EndpointRecord record = m_entries[node].m_recordBySource[m_ownSource];
    if (aNow - since >= m_options.m_sessionLease + m_options.m_retention) {
      expired.push_back(node);
    } else if (aNow - since >= m_options.m_sessionLease &&
               record.state != wire::EndpointState::Lost) {
      record.state = wire::EndpointState::Lost;
      SetRecord(m_ownSource, record, aNow);
    }
  }
  for (const std::string& node : expired) {
    DropRecord(m_ownSource, node, aNow);
  }
  for (auto it = m_ownRemoved.begin(); it != m_ownRemoved.end();) {
    if (aNow - it->second < m_options.m_retention) {
      ++it;
      continue;
    }
    m_ownChanges.Forget(it->first);
    it = m_ownRemoved.erase(it);
  }
}

void EndpointTable::ExpireSources(TimePoint aNow)
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

void EndpointTable::ForgetHiddenNodes(TimePoint aNow)
{
  for (auto it = m_hiddenNodes.begin(); it != m_hiddenNodes.end();) {
    const auto entry = m_entries.find(*it);
    if (aNow - entry->second.m_hiddenSince.value_or(aNow) <
        m_options.m_retention) {
      ++it;
      continue;
    }
    // A source may still hold a record older than m_newestVersion. The entry is
    // kept then: the node becomes visible again only when a newer record
    // arrives.
    if (entry->second.m_recordBySource.empty()) {
      m_entries.erase(entry);
    } else {
      entry->second.m_hiddenSince = aNow;
      ++it;
      continue;
    }
    m_changes.Forget(*it);
    it = m_hiddenNodes.erase(it);
  }
}

// ---- Exchange --------------------------------------------------------------

wire::EndpointSync EndpointTable::FullSyncOf(const SourceId& aId,
                                             int64_t aCursor) const
{
  wire::EndpointSync sync;
  sync.owner = aId.m_owner;
  sync.incarnation = aId.m_incarnation;
  sync.full = true;
  sync.cursor = aCursor;
  const std::set<std::string>& nodes =
    aId == m_ownSource ? m_ownNodes : m_sources.at(aId).m_nodes;
  for (const std::string& node : nodes) {
    sync.records.push_back(m_entries.at(node).m_recordBySource.at(aId));
  }
  return sync;
}

std::vector<wire::EndpointSync> EndpointTable::FullSyncFor(int64_t aPeer) const
{
  std::vector<wire::EndpointSync> syncs{ FullSyncOf(m_ownSource,
                                                    m_ownChanges.Cursor()) };
  for (const auto& [id, source] : m_sources) {
    if (id.m_owner == aPeer) {
      syncs.push_back(FullSyncOf(id, source.m_cursor));
    }
  }
  return syncs;
}

wire::EndpointSync EndpointTable::SyncSince(int64_t aCursor) const
{
  const auto names = m_ownChanges.Since(aCursor);
  if (!names) {
    return FullSyncOf(m_ownSource, m_ownChanges.Cursor());
  }
  wire::EndpointSync sync;
  sync.owner = m_ownSource.m_owner;
  sync.incarnation = m_ownSource.m_incarnation;
  sync.full = false;
  sync.baseCursor = aCursor;
  sync.cursor = m_ownChanges.Cursor();
  for (const std::string& name : *names) {
    if (m_ownNodes.count(name) > 0) {
      sync.records.push_back(
        m_entries.at(name).m_recordBySource.at(m_ownSource));
    } else {
      sync.removedNodes.push_back(name);
    }
  }
  return sync;
}

bool EndpointTable::IsOutdated(const SourceId& aId) const
{
  if (aId.m_owner == m_ownSource.m_owner) {
    return aId.m_incarnation >= m_ownSource.m_incarnation;
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
    return aSync.owner == m_ownSource.m_owner
             ? std::optional(FullSyncOf(m_ownSource, m_ownChanges.Cursor()))
             : std::nullopt;
  }
  if (IsOutdated(id)) {
    return std::nullopt;
  }
  const auto known = m_sources.find(id);
  const bool isKnown = known != m_sources.end();
  if (id.m_owner == m_ownSource.m_owner && isKnown) {
    // Several peers relay the set of an earlier incarnation of this control VM;
    // the first one is enough.
    return std::nullopt;
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
  ApplySync(id, aSync, aNow);
  return std::nullopt;
}

void EndpointTable::ApplySync(const SourceId& aId,
                              const wire::EndpointSync& aSync,
                              TimePoint aNow)
{
  if (aSync.full) {
    std::set<std::string> missing = m_sources[aId].m_nodes;
    for (const wire::EndpointRecord& record : aSync.records) {
      missing.erase(record.nodeName);
    }
    for (const std::string& node : missing) {
      DropRecord(aId, node, aNow);
    }
  }
  for (const wire::EndpointRecord& record : aSync.records) {
    SetRecord(aId, record, aNow);
  }
  for (const std::string& node : aSync.removedNodes) {
    DropRecord(aId, node, aNow);
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
  return found != m_entries.end() && found->second.m_visibleRecord
           ? &*found->second.m_visibleRecord
           : nullptr;
}

std::vector<wire::EndpointRecord> EndpointTable::Records() const
{
  std::vector<wire::EndpointRecord> records;
  records.reserve(m_visibleCount);
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_visibleRecord) {
      records.push_back(*entry.m_visibleRecord);
    }
  }
  return records;
}

int64_t EndpointTable::GreatestEpoch(const std::string& aNodeName) const
{
  const auto found = m_entries.find(aNodeName);
  return found == m_entries.end() ? 0 : found->second.m_newestVersion.m_epoch;
}

} // namespace wigeonfold::discovery
