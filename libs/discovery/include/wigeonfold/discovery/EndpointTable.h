// Endpoint table of a control VM.
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
  // Time after which the records of a silent control VM are dropped.
  Duration m_ownerLease = std::chrono::seconds(15);
  // Time for which a Lost record, and then the memory of a removed one, is
  // kept. It bounds how late an older record can arrive and still be ignored.
  Duration m_retention = std::chrono::seconds(60);
};

// Merges the records that each control VM owns. Every control VM publishes the
// set of records whose sessions it holds as a log with a cursor; the table
// keeps the newest known set of every source and shows, per node name, the
// greatest record of all sets. The result depends only on the sets and not on
// the order, duplication or loss of the messages that carried them.
// Deterministic; not thread safe.
class EndpointTable
{
public:
  // aSelf is the member id; aIncarnation grows with each start of the process.
  EndpointTable(int64_t aSelf,
                int64_t aIncarnation,
                EndpointTableOptions aOptions = {});

  // ---- Sessions of this control VM ----
  // Takes over a record from a node's session; the owner is filled in. A
  // record that is not newer than the known one is ignored. Returns true when
  // the table changed.
  bool Announce(wire::EndpointRecord aRecord, TimePoint aNow);
  // The node's session ended; its record becomes Lost after the lease unless
  // Announce or RenewSession follows.
  void LoseSession(const std::string& aNodeName, TimePoint aNow);
  void RenewSession(const std::string& aNodeName);

  // Expires leases. Call every 100 ms.
  void Tick(TimePoint aNow);

  // ---- Exchange with other control VMs ----
  // Messages for a control VM that has just connected: the own set in full, and
  // what is known of earlier incarnations of that control VM, so that it does
  // not hide its nodes from each other until they have come back to it.
  std::vector<wire::EndpointSync> FullSyncFor(int64_t aPeer) const;
  // Changes of the own set after aCursor; full when that is too old. Without
  // changes it still tells that this control VM is alive.
  wire::EndpointSync SyncSince(int64_t aCursor) const;
  int64_t SyncCursor() const { return m_ownChanges.Cursor(); }
  // Returns the answer to send back on the same connection, if any: a request
  // for a full transfer, or the transfer that was asked for.
  std::optional<wire::EndpointSync> OnSync(const wire::EndpointSync& aSync,
                                           TimePoint aNow);

  // ---- Table ----
  // Identifies the cursor's source in EndpointUpdate.
  int64_t Source() const { return m_source; }
  int64_t Cursor() const { return m_changes.Cursor(); }
  // Changes after a cursor of a source; full when the cursor is from another
  // source or too old.
  wire::EndpointUpdate ChangesSince(int64_t aSource, int64_t aCursor) const;
  // Nullptr when the node is unknown.
  const wire::EndpointRecord* Find(const std::string& aNodeName) const;
  std::vector<wire::EndpointRecord> Records() const;
  size_t Size() const { return m_visible; }
  // Greatest epoch ever seen for a node name, 0 when unknown.
  int64_t GreatestEpoch(const std::string& aNodeName) const;

private:
  // One start of one control VM.
  struct SourceId
  {
    int64_t m_owner = 0;
    int64_t m_incarnation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
    auto operator<=>(const SourceId&) const = default;
  };
  struct KnownSource
  {
    int64_t m_cursor = 0;
    TimePoint m_lastHeard;
    std::set<std::string> m_nodes;
  };
  struct Rank
  {
    int64_t m_epoch = 0;
    int64_t m_sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
    auto operator<=>(const Rank&) const = default;
  };
  struct Entry
  {
    std::map<SourceId, wire::EndpointRecord> m_claims;
    std::optional<wire::EndpointRecord> m_shown;
    Rank m_greatest; // of all records seen; an older one is never shown
    std::optional<TimePoint> m_hiddenSince;
  };

  static Rank RankOf(const wire::EndpointRecord& aRecord);
  void SetClaim(const SourceId& aSource,
                const wire::EndpointRecord& aRecord,
                TimePoint aNow);
  void DropClaim(const SourceId& aSource,
                 const std::string& aNodeName,
                 TimePoint aNow);
  void DropSource(const SourceId& aSource, TimePoint aNow);
  void Show(const std::string& aNodeName, Entry& aEntry, TimePoint aNow);
  void DropOwnIfReplaced(const std::string& aNodeName,
                         const Entry& aEntry,
                         TimePoint aNow);
  void ReplaceSet(const SourceId& aId,
                  const wire::EndpointSync& aSync,
                  TimePoint aNow);
  void TickOwn(TimePoint aNow);
  void TickSources(TimePoint aNow);
  void TickHidden(TimePoint aNow);
  bool IsOutdated(const SourceId& aId) const;
  wire::EndpointSync SetOf(const SourceId& aId, int64_t aCursor) const;

  EndpointTableOptions m_options;
  SourceId m_own;
  int64_t m_source;
  std::map<std::string, Entry> m_entries;
  std::map<SourceId, KnownSource>
    m_sources;              // other control VMs and incarnations
  ChangeIndex m_changes;    // of the shown records
  ChangeIndex m_ownChanges; // of the own set
  std::set<std::string> m_ownNodes;
  // Own records removed from the set but still named in deltas.
  std::map<std::string, TimePoint> m_ownRemoved;
  std::map<std::string, TimePoint> m_lostSessions;
  std::set<std::string> m_hidden; // entries without a shown record
  size_t m_visible = 0;
};

} // namespace wigeonfold::discovery
