// An in-memory cluster for the property tests, with virtual time, an unreliable
// network and disks that lose unsynced writes. Checks the safety properties of
// Raft after each step and throws std::runtime_error on a violation.
#pragma once

#include "wigeonfold/base/Hash.h"
#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/wire/Codec.h"

#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace wigeonfold::consensus {

using std::chrono::milliseconds;

// Durable content of one member's data folder.
struct FakeDisk
{
  HardState m_hardState;
  std::optional<RaftSnapshot> m_snapshot;
  Log m_log;

  void Apply(const RaftActions& aActions)
  {
    if (aActions.m_saveSnapshot) {
      m_snapshot = aActions.m_saveSnapshot;
      if (!m_log.Contains(m_snapshot->m_position)) {
        m_log.Reset(m_snapshot->m_position);
      }
    }
    m_hardState = aActions.m_hardState.value_or(m_hardState);
    if (aActions.m_truncateFrom != 0) {
      m_log.TruncateFrom(aActions.m_truncateFrom);
    }
    for (const wire::LogEntry& entry : aActions.m_append) {
      if (entry.index != m_log.Last().m_index + 1) {
        throw std::runtime_error("gap in the stored log");
      }
      m_log.Append(entry);
    }
  }
};

// One member: its disk, its process and its writes that are not synced yet.
struct FakeNode
{
  MemberId m_id = 0;
  double m_clockRate = 1.0;
  FakeDisk m_disk;
  std::unique_ptr<Raft> m_raft; // empty while the process is down
  struct Write
  {
    int64_t m_dueMs = 0;
    RaftActions m_actions;
  };
  std::deque<Write> m_writes;
  std::map<MemberId, TimePoint> m_heardAt; // last message from each member
  int64_t m_pausedUntilMs = 0; // the process stands still until then
  int64_t m_applied = 0;
  uint64_t m_appliedHash = 0; // over all applied entries in order
};

struct FakeNetwork
{
  int m_lossPercent = 0;
  int m_duplicatePercent = 0;
  int64_t m_maxDelayMs = 2;
  int64_t m_maxSyncMs = 5;
  // Members with different values can't communicate.
  std::map<MemberId, int> m_partition;
};

class Cluster
{
public:
  static constexpr int64_t kStepMs = 5;

  Cluster(size_t aVoters, uint64_t aSeed, size_t aToleratedLosses = 0)
    : Cluster(aVoters, aSeed, SmallLimits(aToleratedLosses))
  {
  }

  Cluster(size_t aVoters, uint64_t aSeed, const RaftSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSeed)
  {
    wire::Membership membership;
    for (size_t i = 0; i < aVoters; ++i) {
      membership.members.push_back(MakeMember(NewNode(), true));
    }
    wire::LogEntry first;
    first.index = 1;
    first.term = 1;
    first.kind = wire::LogEntryKind::Membership;
    first.payload = wire::Encode(membership);
    for (auto& [id, node] : m_nodes) {
      node.m_disk.m_log.Append(first);
      node.m_disk.m_hardState.m_term = 1;
      Start(id);
    }
  }

  // Limits at which short tests take and send snapshots.
  static RaftSettings SmallLimits(size_t aToleratedLosses)
  {
    RaftSettings settings;
    settings.m_toleratedLosses = aToleratedLosses;
    settings.m_snapshotEntries = 20;
    settings.m_retainedEntries = 5;
    settings.m_chunkBytes = 64;
    settings.m_maxMessageBytes = 64;
    return settings;
  }

  static wire::Member MakeMember(MemberId aId, bool aVoter)
  {
    wire::Member member;
    member.__set_memberId(aId);
    member.__set_voter(aVoter);
    member.__set_apiAddress("api-" + std::to_string(aId));
    return member;
  }

  // Adds a member with an empty data folder; its process is not started.
  MemberId NewNode()
  {
    const MemberId id = ++m_lastId;
    FakeNode& node = m_nodes[id];
    node.m_id = id;
    // A lease of 700 ms on the slowest clock takes 947 ms on the fastest, which
    // is less than the election timeout.
    node.m_clockRate =
      std::uniform_real_distribution<double>(0.85, 1.15)(m_random);
    return id;
  }

  void Start(MemberId aId)
  {
    FakeNode& node = m_nodes.at(aId);
    if (node.m_raft) {
      return;
    }
    RaftInitialState initial;
    initial.m_self = aId;
    initial.m_hardState = node.m_disk.m_hardState;
    initial.m_snapshot = node.m_disk.m_snapshot;
    initial.m_base = node.m_disk.m_log.Base();
    for (int64_t i = initial.m_base.m_index + 1;
         i <= node.m_disk.m_log.Last().m_index;
         ++i) {
      initial.m_entries.push_back(node.m_disk.m_log.At(i));
    }
    node.m_applied = 0;
    node.m_appliedHash = 0;
    node.m_raft = std::make_unique<Raft>(
      m_settings, std::move(initial), m_random(), LocalTime(node));
    ExecuteActions(node);
  }

  // Stops the process. Unsynced batches are lost, except for a random number of
  // the oldest ones.
  void Crash(MemberId aId)
  {
    FakeNode& node = m_nodes.at(aId);
    size_t kept = RandomInt(0, static_cast<int64_t>(node.m_writes.size()));
    for (; kept > 0; --kept) {
      node.m_disk.Apply(node.m_writes.front().m_actions);
      node.m_writes.pop_front();
    }
    node.m_writes.clear();
    node.m_heardAt.clear();
    node.m_pausedUntilMs = 0;
    node.m_raft.reset();
  }

  // The process stands still; its clock goes on, and what is sent to it arrives
  // when it runs again.
  void Pause(MemberId aId, int64_t aMs)
  {
    m_nodes.at(aId).m_pausedUntilMs = m_nowMs + aMs;
  }

  bool IsPaused(MemberId aId) const
  {
    return m_nodes.at(aId).m_pausedUntilMs > m_nowMs;
  }

  void LoseDisk(MemberId aId)
  {
    Crash(aId);
    m_nodes.erase(aId);
  }

  void Run(int64_t aMs)
  {
    for (int64_t end = m_nowMs + aMs; m_nowMs < end;) {
      Step();
    }
  }

  // The leader of the highest term among the running members; null for none.
  Raft* Leader()
  {
    Raft* leader = nullptr;
    for (auto& [id, node] : m_nodes) {
      const bool leads = node.m_raft && node.m_raft->GetRole() == Role::Leader;
      if (leads && (!leader || node.m_raft->Term() > leader->Term())) {
        leader = node.m_raft.get();
      }
    }
    return leader;
  }

  // Runs until the condition holds. False when it does not within aMs.
  template<class Condition>
  bool RunUntil(Condition aCondition, int64_t aMs = 20000)
  {
    for (const int64_t end = m_nowMs + aMs; m_nowMs < end; Step()) {
      if (aCondition()) {
        return true;
      }
    }
    return aCondition();
  }

  // Makes a proposal to every running member in the role of leader, outdated
  // leaders included.
  void ProposeToAllLeaders()
  {
    for (auto& [id, node] : m_nodes) {
      if (node.m_raft && node.m_raft->GetRole() == Role::Leader) {
        (void)node.m_raft->Propose(LocalTime(node),
                                   "c" + std::to_string(++m_commands));
        ExecuteActions(node);
      }
    }
  }

  // Proposes a command to the leader, again after a leader change, until it is
  // applied there. False when it is not within aMs.
  bool Commit(int64_t aMs = 20000)
  {
    MemberId proposer = 0;
    LogPosition position;
    return RunUntil(
      [&] {
        Raft* leader = Leader();
        if (!leader) {
          return false;
        }
        if (leader->Self() != proposer || leader->Term() != position.m_term) {
          const auto proposed =
            leader->Propose(LocalTime(m_nodes.at(leader->Self())),
                            "c" + std::to_string(++m_commands));
          if (!proposed) {
            return false;
          }
          proposer = leader->Self();
          position = proposed.value();
          ExecuteActions(m_nodes.at(proposer));
        }
        return leader->AppliedIndex() >= position.m_index;
      },
      aMs);
  }

  // Proposes the change until it is committed. False when it is not within aMs.
  bool Change(MembershipChangeKind aKind, MemberId aId, int64_t aMs = 20000)
  {
    return RunUntil(
      [&] {
        Raft* leader = Leader();
        if (!leader) {
          return false;
        }
        const wire::Member* member =
          FindMember(leader->CurrentMembership(), aId);
        const bool voter = member && member->voter;
        const bool done = aKind == MembershipChangeKind::Remove    ? !member
                          : aKind == MembershipChangeKind::Promote ? voter
                          : aKind == MembershipChangeKind::AddLearner
                            ? member != nullptr
                            : member && !voter;
        if (!done) {
          (void)leader->ProposeChange(LocalTime(m_nodes.at(leader->Self())),
                                      { aKind, MakeMember(aId, false) });
          ExecuteActions(m_nodes.at(leader->Self()));
          return false;
        }
        return leader->MembershipCommitted();
      },
      aMs);
  }

  // Ends all faults, starts all members and requires that all of them apply the
  // same entries.
  void Converge()
  {
    m_network = {};
    for (auto& [id, node] : m_nodes) {
      Start(id);
    }
    const bool committed = Commit();
    Require(committed, "no entry was committed after the faults ended");
    const bool equal = RunUntil([this] {
      const Raft* leader = Leader();
      for (const auto& [id, node] : m_nodes) {
        const bool member =
          leader && FindMember(leader->CurrentMembership(), id) != nullptr;
        if (!leader || (member && node.m_applied < m_maxCommit)) {
          return false;
        }
      }
      return true;
    });
    Require(equal, "members did not apply all entries after the faults ended");
    CheckLogs();
  }

  // Checks the log matching property: if two logs hold an entry with the same
  // index and term, they are equal up to that entry.
  void CheckLogs() const
  {
    for (const auto& [idA, a] : m_nodes) {
      for (const auto& [idB, b] : m_nodes) {
        if (idA < idB && a.m_raft && b.m_raft) {
          CheckMatching(a.m_raft->GetLog(), b.m_raft->GetLog());
        }
      }
    }
  }

  // From now on no member encodes its state when it is asked for a snapshot.
  void HoldSnapshots() { m_holdsSnapshots = true; }

  // The member's own clock.
  TimePoint Now(MemberId aId) const { return LocalTime(m_nodes.at(aId)); }

  std::map<MemberId, FakeNode> m_nodes;
  FakeNetwork m_network;

protected:
  struct Packet
  {
    int64_t m_dueMs = 0;
    std::string m_bytes;
  };

  RaftSettings m_settings;
  std::mt19937_64 m_random;
  int64_t m_nowMs = 0;

  static void Require(bool aCondition, const std::string& aText)
  {
    if (!aCondition) {
      throw std::runtime_error(aText);
    }
  }

  int64_t RandomInt(int64_t aMin, int64_t aMax)
  {
    return std::uniform_int_distribution<int64_t>(aMin, aMax)(m_random);
  }

  TimePoint LocalTime(const FakeNode& aNode) const
  {
    return TimePoint(std::chrono::microseconds(
      static_cast<int64_t>(1000.0 * aNode.m_clockRate * m_nowMs)));
  }

  void Step()
  {
    m_nowMs += kStepMs;
    std::vector<Packet> due;
    std::erase_if(m_packets, [&](const Packet& aPacket) {
      const bool arrived = aPacket.m_dueMs <= m_nowMs;
      if (arrived) {
        due.push_back(aPacket);
      }
      return arrived;
    });
    std::shuffle(due.begin(), due.end(), m_random);
    for (const Packet& packet : due) {
      Deliver(packet);
    }
    for (auto& [id, node] : m_nodes) {
      if (node.m_raft && !IsPaused(id)) {
        CompleteWrites(node);
        node.m_raft->Tick(LocalTime(node));
        ExecuteActions(node);
      }
    }
    CheckLeaders();
  }

  void Deliver(const Packet& aPacket)
  {
    auto message = wire::Decode<wire::RaftMessage>(aPacket.m_bytes, "packet");
    const auto found = m_nodes.find(message.value().toMember);
    if (found == m_nodes.end() || !found->second.m_raft) {
      return;
    }
    if (IsPaused(found->first)) {
      m_packets.push_back({ found->second.m_pausedUntilMs, aPacket.m_bytes });
      return;
    }
    found->second.m_heardAt[message.value().fromMember] =
      LocalTime(found->second);
    found->second.m_raft->Receive(LocalTime(found->second), message.value());
    ExecuteActions(found->second);
  }

  void CompleteWrites(FakeNode& aNode)
  {
    while (!aNode.m_writes.empty() &&
           aNode.m_writes.front().m_dueMs <= m_nowMs) {
      const RaftActions actions = std::move(aNode.m_writes.front().m_actions);
      aNode.m_writes.pop_front();
      aNode.m_disk.Apply(actions);
      aNode.m_raft->OnPersisted(LocalTime(aNode), actions.m_sequence);
      ExecuteActions(aNode);
    }
  }

  void ExecuteActions(FakeNode& aNode)
  {
    RaftActions actions = aNode.m_raft->TakeActions();
    for (const wire::RaftMessage& message : actions.m_send) {
      SendPacket(message);
    }
    if (actions.m_restore) {
      aNode.m_applied = actions.m_restore->m_position.m_index;
      aNode.m_appliedHash = std::stoull(actions.m_restore->m_state);
      CheckApplied(aNode);
    }
    for (const wire::LogEntry& entry : actions.m_apply) {
      Require(entry.index == aNode.m_applied + 1, "gap in applied entries");
      aNode.m_applied = entry.index;
      aNode.m_appliedHash =
        Hash64(std::to_string(aNode.m_appliedHash) + wire::Encode(entry));
      CheckApplied(aNode);
    }
    const int64_t snapshot = actions.m_takeSnapshot;
    if (actions.NeedsPersistence()) {
      aNode.m_writes.push_back(
        { m_nowMs + RandomInt(0, m_network.m_maxSyncMs), std::move(actions) });
    }
    if (snapshot != 0 && !m_holdsSnapshots) {
      aNode.m_raft->OnSnapshotTaken(
        LocalTime(aNode), snapshot, std::to_string(aNode.m_appliedHash));
      ExecuteActions(aNode);
    }
  }

  // Checks that all members apply the same entry at each index, also across
  // restarts.
  void CheckApplied(const FakeNode& aNode)
  {
    const auto [known, added] =
      m_hashByIndex.emplace(aNode.m_applied, aNode.m_appliedHash);
    Require(known->second == aNode.m_appliedHash,
            "member " + std::to_string(aNode.m_id) +
              " applied different entries up to index " +
              std::to_string(aNode.m_applied));
  }

  void SendPacket(const wire::RaftMessage& aMessage)
  {
    const bool cut = m_network.m_partition[aMessage.fromMember] !=
                     m_network.m_partition[aMessage.toMember];
    if (cut || RandomInt(0, 99) < m_network.m_lossPercent) {
      return;
    }
    const int copies = RandomInt(0, 99) < m_network.m_duplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      m_packets.push_back({ m_nowMs + RandomInt(0, m_network.m_maxDelayMs),
                            wire::Encode(aMessage) });
    }
  }

  void CheckLeaders()
  {
    int leaseHolders = 0;
    for (const auto& [id, node] : m_nodes) {
      if (node.m_raft) {
        m_maxCommit = std::max(m_maxCommit, node.m_raft->CommitIndex());
      }
    }
    for (const auto& [id, node] : m_nodes) {
      if (!node.m_raft || node.m_raft->GetRole() != Role::Leader) {
        continue;
      }
      const auto [leader, added] =
        m_leaderByTerm.emplace(node.m_raft->Term(), id);
      Require(leader->second == id, "two leaders in one term");
      const TimePoint now = LocalTime(node);
      leaseHolders += node.m_raft->HasLease(now) ? 1 : 0;
      const auto read = node.m_raft->ReadIndex(now);
      Require(!read || read.value() >= m_maxCommit,
              "a read under the lease misses committed entries");
    }
    Require(leaseHolders <= 1, "two members hold a lease");
  }

  static void CheckMatching(const Log& aA, const Log& aB)
  {
    const int64_t first = std::max(aA.Base().m_index, aB.Base().m_index) + 1;
    bool matched = false;
    for (int64_t i = std::min(aA.Last().m_index, aB.Last().m_index); i >= first;
         --i) {
      matched = matched || aA.At(i).term == aB.At(i).term;
      Require(!matched || aA.At(i) == aB.At(i), "logs do not match");
    }
  }

private:
  bool m_holdsSnapshots = false;
  MemberId m_lastId = 0;
  int64_t m_commands = 0;
  int64_t m_maxCommit = 0;
  std::vector<Packet> m_packets;
  std::map<int64_t, MemberId> m_leaderByTerm; // leader by term
  std::map<int64_t, uint64_t> m_hashByIndex;  // m_appliedHash by applied index
};

} // namespace wigeonfold::consensus
