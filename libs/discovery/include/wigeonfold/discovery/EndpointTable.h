// Endpoint table of a control VM: its own nodes' records merged with those of
// the other control VMs.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/discovery/ChangeIndex.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::discovery {

struct EndpointTableOptions
{
  // Time without a session after which a record becomes Lost.
  Duration m_sessionLease = std::chrono::seconds(3);
  // Time without a message from a control VM after which its records are
  // dropped.
  Duration m_ownerLease = std::chrono::seconds(15);
  // Time for which a Lost record is kept, and after its removal the version of
  // the removed record. An older record that arrives later than this is no
  // longer recognized as outdated.
  Duration m_retention = std::chrono::seconds(60);
};

// Merges the records that each control VM owns. Every control VM publishes the
// records of the nodes whose sessions it holds, as full sets and deltas between
// cursors. The table keeps the newest known set of every source; the visible
// record of a node is the newest one in all sets (see Replaces). The result
// depends only on the sets and not on the order, duplication or loss of the
// messages that carried them. Deterministic; not thread safe.
class EndpointTable
{
public:
  // aSelf is this control VM's member id. aIncarnation must be greater than at
  // the previous start of its process.
  EndpointTable(int64_t aSelf,
                int64_t aIncarnation,
                EndpointTableOptions aOptions = {});

  // ---- Sessions of this control VM ----
  // Adds or replaces the record of a node that has a session here, and ends a
  // pending LoseSession. Fills in the owner. Returns false when the record is
  // not newer than the known one and was ignored.
  bool Announce(wire::EndpointRecord aRecord, TimePoint aNow);
  // The node's session ended. Its record becomes Lost after the session lease,
  // unless Announce or RenewSession follows.
  void LoseSession(const std::string& aNodeName, TimePoint aNow);
  void RenewSession(const std::string& aNodeName);

  // Expires leases and retention times. Call every 100 ms.
  void Tick(TimePoint aNow);

  // ---- Exchange with other control VMs ----
  // Messages for a control VM that has just connected: this one's set in full,
  // and the known sets of earlier incarnations of the other. Without the latter
  // a restarted control VM would hide its nodes from each other until they have
  // reconnected.
  std::vector<wire::EndpointSync> FullSyncFor(int64_t aPeer) const;
  // Changes of the own set after aCursor, or the full set when aCursor is too
  // old. Also sent without changes, as a sign that this control VM is alive.
  wire::EndpointSync SyncSince(int64_t aCursor) const;
  // Cursor of the own set.
  int64_t SyncCursor() const { return m_ownChanges.Cursor(); }
  // Applies a message of another control VM. Returns the answer to send on the
  // same connection, if any: a request for a full transfer when a delta doesn't
  // follow the known cursor, or the full transfer that aSync requests.
  std::optional<wire::EndpointSync> OnSync(const wire::EndpointSync& aSync,
                                           TimePoint aNow);

  // ---- Table ----
  // Identifies this table in EndpointUpdate; differs after each start, because
  // cursors of different starts can't be compared.
  int64_t Source() const { return m_source; }
  int64_t Cursor() const { return m_changes.Cursor(); }
  // Visible records changed after aCursor; all of them when aSource is another
  // table or aCursor is too old.
  wire::EndpointUpdate ChangesSince(int64_t aSource, int64_t aCursor) const;
  // Nullptr when the node is unknown.
  const wire::EndpointRecord* Find(const std::string& aNodeName) const;
  // Visible records, ordered by node name.
  std::vector<wire::EndpointRecord> Records() const;
  // Number of visible records.
  size_t Size() const { return m_visibleCount; }
  // Greatest epoch seen for a node name, 0 when unknown or already forgotten.
  int64_t GreatestEpoch(const std::string& aNodeName) const;

private:
  // Identifies one start of one control VM.
  struct SourceId
  {
    int64_t m_owner = 0;
    int64_t m_incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
    auto operator<=>(const SourceId&) const = default;
  };
  // State of another control VM's set.
  struct KnownSource
  {
    int64_t m_cursor = 0; // position up to which its changes were applied
    TimePoint m_lastHeard;
    std::set<std::string> m_nodes; // names in its set
  };
  // Orders the records of one node by age.
  struct RecordVersion
  {
    int64_t m_epoch = 0;
    int64_t m_sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
    auto operator<=>(const RecordVersion&) const = default;
  };
  // All that is known of one node name.
  struct Entry
  {
    std::map<SourceId, wire::EndpointRecord> m_recordBySource;
    std::optional<wire::EndpointRecord> m_visibleRecord;
    // Greatest version of all records seen, removed ones included. An older
    // record never becomes visible.
    RecordVersion m_newestVersion;
    std::optional<TimePoint> m_hiddenSince; // set while no record is visible
  };

  static RecordVersion VersionOf(const wire::EndpointRecord& aRecord);
  void SetRecord(const SourceId& aSource,
                 const wire::EndpointRecord& aRecord,
                 TimePoint aNow);
  void DropRecord(const SourceId& aSource,
                  const std::string& aNodeName,
                  TimePoint aNow);
  void DropSource(const SourceId& aSource, TimePoint aNow);
  // Chooses the node's visible record anew and records a change of it.
  void UpdateVisibleRecord(const std::string& aNodeName,
                           Entry& aEntry,
                           TimePoint aNow);
  // Drops the own record of a node whose newer session another control VM
  // holds.
  void DropOwnIfSuperseded(const std::string& aNodeName,
                           const Entry& aEntry,
                           TimePoint aNow);
  // Applies a full set or a delta to the source's set.
  void ApplySync(const SourceId& aId,
                 const wire::EndpointSync& aSync,
                 TimePoint aNow);
  // Marks own records Lost after the session lease and drops them after the
  // retention time.
  void ExpireOwnRecords(TimePoint aNow);
  // Drops the records of control VMs that were silent for the owner lease.
  void ExpireSources(TimePoint aNow);
  // Removes entries that had no visible record for the retention time.
  void ForgetHiddenNodes(TimePoint aNow);
  // True when messages of this source must be ignored: a later incarnation of
  // the control VM is known, or the source is this table itself.
  bool IsOutdated(const SourceId& aId) const;
  wire::EndpointSync FullSyncOf(const SourceId& aId, int64_t aCursor) const;

  EndpointTableOptions m_options;
  SourceId m_ownSource;
  int64_t m_source; // hash of m_ownSource
  std::map<std::string, Entry> m_entries;
  // Other control VMs, and earlier incarnations of this one.
  std::map<SourceId, KnownSource> m_sources;
  ChangeIndex m_changes;    // of the visible records
  ChangeIndex m_ownChanges; // of the own set
  std::set<std::string> m_ownNodes;
  // Names removed from the own set, with the time of removal. Deltas still list
  // them as removed.
  std::map<std::string, TimePoint> m_ownRemoved;
  std::map<std::string, TimePoint> m_lostSessions; // with the time of the loss
  std::set<std::string> m_hiddenNodes;             // without a visible record
  size_t m_visibleCount = 0;
};

} // namespace wigeonfold::discovery
