// Guards against control VMs whose endpoint tables stay different after lost,
// delayed or repeated messages, against older records that replace newer ones,
// and against readers of the change cursor that miss a change.
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/discovery/Endpoints.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::discovery {
namespace {

using namespace std::chrono_literals;

constexpr int kTables = 3;
constexpr int kNodes = 4;

wire::EndpointRecord MakeRecord(const std::string& aNode,
                                int64_t aEpoch,
                                int64_t aSequence)
{
  wire::EndpointRecord record;
  record.nodeName = aNode;
  record.nodeEpoch = aEpoch;
  record.sequence = aSequence;
  record.serviceName = "service" + std::to_string(aSequence % 3);
  record.availabilityZone = "a";
  record.nodeAddress = "127.0.0.1:1";
  record.slots = 4;
  record.state = aSequence % 5 == 0 ? wire::EndpointState::Draining
                                    : wire::EndpointState::Ready;
  return record;
}

// Returns a number below aCount. The nominal size gives all numbers the same
// chance in each case; by default RapidCheck's ranges stay near their start in
// early cases.
size_t Pick(size_t aCount)
{
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<size_t>(0, aCount));
}

struct Message
{
  size_t m_to = 0; // index of the receiving table
  wire::EndpointSync m_sync;
};

// Endpoint tables of several control VMs. Their messages wait in a list, from
// which Step() delivers them in any order.
class World
{
public:
  World()
  {
    for (int64_t member = 1; member <= kTables; ++member) {
      m_tables.emplace_back(member, 1);
      m_sent.push_back(0);
    }
  }

  // One random event: a node's session moves or ends, time passes, a control VM
  // restarts, reconnects or publishes, or a message is delivered, repeated or
  // lost.
  void Step()
  {
    const size_t table = Pick(kTables);
    switch (Pick(11)) {
      case 0:
      case 1:
        MoveSession(static_cast<int>(Pick(kNodes)), table);
        break;
      case 2:
        EndSession(static_cast<int>(Pick(kNodes)));
        break;
      case 3:
        m_now += *rc::gen::element(100ms, 1000ms, 3100ms, 16000ms);
        TickAll();
        break;
      case 4:
        if (Pick(3) == 0) {
          Restart(table);
        } else {
          Reconnect(table);
        }
        break;
      case 5:
      case 6:
        Publish(table);
        break;
      default:
        DeliverOne();
        break;
    }
    CheckNeverOlder();
  }

  // Delivers all messages in order for 90 s, longer than all leases and the
  // retention time together.
  void Settle()
  {
    m_undelivered.clear();
    for (int round = 0; round < 90; ++round) {
      for (size_t table = 0; table < kTables; ++table) {
        Publish(table);
      }
      while (!m_undelivered.empty()) {
        Deliver(0);
      }
      m_now += 1s;
      TickAll();
      CheckNeverOlder();
    }
  }

  void CheckAgreement()
  {
    for (const EndpointTable& table : m_tables) {
      RC_ASSERT(table.Records() == m_tables[0].Records());
    }
    for (int node = 0; node < kNodes; ++node) {
      const auto* record = m_tables[0].Find(Name(node));
      if (m_sessionVm[node] >= 0) {
        const bool shown = record != nullptr;
        RC_ASSERT(shown);
        RC_ASSERT(record->sequence == m_sequences[node]);
        RC_ASSERT(record->owner == m_sessionVm[node] + 1);
      } else {
        const bool hidden = record == nullptr;
        RC_ASSERT(hidden);
      }
    }
  }

private:
  static std::string Name(int aNode) { return "n" + std::to_string(aNode); }

  void MoveSession(int aNode, size_t aTable)
  {
    if (m_sessionVm[aNode] >= 0 &&
        m_sessionVm[aNode] != static_cast<int>(aTable)) {
      m_tables[static_cast<size_t>(m_sessionVm[aNode])].LoseSession(Name(aNode),
                                                                    m_now);
    }
    m_sessionVm[aNode] = static_cast<int>(aTable);
    m_tables[aTable].Announce(MakeRecord(Name(aNode), 1, ++m_sequence), m_now);
    m_sequences[aNode] = m_sequence;
  }

  // The node stops without opening another session.
  void EndSession(int aNode)
  {
    if (m_sessionVm[aNode] >= 0) {
      m_tables[static_cast<size_t>(m_sessionVm[aNode])].LoseSession(Name(aNode),
                                                                    m_now);
      m_sessionVm[aNode] = -1;
    }
  }

  void Restart(size_t aTable)
  {
    const auto member = static_cast<int64_t>(aTable) + 1;
    m_tables[aTable] = EndpointTable(member, ++m_incarnation);
    m_sent[aTable] = 0;
    m_shown[aTable].clear();
    for (int& vm : m_sessionVm) {
      vm = vm == static_cast<int>(aTable) ? -1 : vm;
    }
    Reconnect(aTable);
  }

  void Reconnect(size_t aTable)
  {
    const auto member = static_cast<int64_t>(aTable) + 1;
    for (size_t peer = 0; peer < kTables; ++peer) {
      if (peer != aTable) {
        for (auto& sync : m_tables[peer].FullSyncFor(member)) {
          m_undelivered.push_back({ aTable, sync });
        }
      }
    }
  }

  void Publish(size_t aTable)
  {
    const auto sync = m_tables[aTable].SyncSince(m_sent[aTable]);
    m_sent[aTable] = m_tables[aTable].SyncCursor();
    for (size_t peer = 0; peer < kTables; ++peer) {
      if (peer != aTable) {
        m_undelivered.push_back({ peer, sync });
      }
    }
  }

  void DeliverOne()
  {
    if (m_undelivered.empty()) {
      return;
    }
    const size_t index = Pick(m_undelivered.size());
    const size_t fault = Pick(4);
    if (fault == 0) {
      m_undelivered.erase(m_undelivered.begin() + static_cast<long>(index));
    } else if (fault == 1) {
      m_undelivered.push_back(m_undelivered[index]);
      Deliver(index);
    } else {
      Deliver(index);
    }
  }

  void Deliver(size_t aIndex)
  {
    const Message message = m_undelivered[aIndex];
    m_undelivered.erase(m_undelivered.begin() + static_cast<long>(aIndex));
    const auto answer = m_tables[message.m_to].OnSync(message.m_sync, m_now);
    if (!answer) {
      return;
    }
    // A request goes to the owner; the owner's answer goes to all others.
    for (size_t peer = 0; peer < kTables; ++peer) {
      const bool owner = static_cast<int64_t>(peer) + 1 == answer->owner;
      if (peer != message.m_to && owner == answer->request) {
        m_undelivered.push_back({ peer, *answer });
      }
    }
  }

  void TickAll()
  {
    for (EndpointTable& table : m_tables) {
      table.Tick(m_now);
    }
  }

  void CheckNeverOlder()
  {
    for (size_t table = 0; table < kTables; ++table) {
      for (const auto& record : m_tables[table].Records()) {
        int64_t& shown = m_shown[table][record.nodeName];
        RC_ASSERT(record.sequence >= shown);
        shown = record.sequence;
      }
    }
  }

  std::vector<EndpointTable> m_tables;
  std::vector<int64_t> m_sent; // cursor of each table's last published sync
  std::vector<Message> m_undelivered;
  // Greatest sequence that each table has shown for a node.
  std::map<size_t, std::map<std::string, int64_t>> m_shown;
  // Index of the table with each node's session, -1 for none.
  int m_sessionVm[kNodes] = { -1, -1, -1, -1 };
  int64_t m_sequences[kNodes] = {}; // sequence of each node's newest record
  int64_t m_sequence = 0;
  int64_t m_incarnation = 1;
  TimePoint m_now = TimePoint() + 1h;
};

RC_GTEST_PROP(EndpointTable, ConvergesAfterMessageFaultsAndRestarts, ())
{
  World world;
  const size_t steps = Pick(150);
  for (size_t step = 0; step < steps; ++step) {
    world.Step();
  }
  world.Settle();
  world.CheckAgreement();
}

RC_GTEST_PROP(EndpointTable, ReaderOfChangesHoldsTheSameRecords, ())
{
  EndpointTable table(1, 1);
  Endpoints reader;
  int64_t source = 0;
  int64_t cursor = 0;
  TimePoint now = TimePoint() + 1h;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 1; step <= steps; ++step) {
    const std::string node = "n" + std::to_string(Pick(3));
    switch (Pick(4)) {
      case 0:
        table.LoseSession(node, now);
        break;
      case 1:
        now += *rc::gen::element(100ms, 3100ms, 63100ms, 130000ms);
        table.Tick(now);
        break;
      default:
        table.Announce(MakeRecord(node, 1, step), now);
        break;
    }
    if (Pick(3) == 0) {
      const auto update = table.ChangesSince(source, cursor);
      reader = reader.With(update);
      source = update.source;
      cursor = update.cursor;
      RC_ASSERT(reader.Size() == table.Size());
      for (const auto& record : table.Records()) {
        RC_ASSERT(reader.Find(record.nodeName) != nullptr);
        RC_ASSERT(*reader.Find(record.nodeName) == record);
      }
    }
  }
}

TEST(EndpointTable, SessionLossMarksTheRecordLostAfterTheLease)
{
  EndpointTable table(1, 1);
  const TimePoint start;
  table.Announce(MakeRecord("n", 1, 1), start);
  table.LoseSession("n", start);
  table.Tick(start + 2900ms);
  EXPECT_EQ(table.Find("n")->state, wire::EndpointState::Ready);
  table.Tick(start + 3s);
  EXPECT_EQ(table.Find("n")->state, wire::EndpointState::Lost);
}

TEST(EndpointTable, SilentOwnerIsDroppedUnlessTheNodeMoved)
{
  EndpointTable silentOwner(1, 1);
  EndpointTable peer(2, 1);
  const TimePoint start;
  silentOwner.Announce(MakeRecord("moved", 1, 1), start);
  silentOwner.Announce(MakeRecord("lost", 1, 1), start);
  peer.OnSync(silentOwner.SyncSince(-1), start);
  peer.Announce(MakeRecord("moved", 1, 2), start);
  peer.Tick(start + 14900ms);
  EXPECT_NE(peer.Find("lost"), nullptr);
  peer.Tick(start + 15s);
  EXPECT_EQ(peer.Find("lost"), nullptr);
  ASSERT_NE(peer.Find("moved"), nullptr);
  EXPECT_EQ(peer.Find("moved")->owner, 2);
}

TEST(EndpointTable, DelayedSyncDoesNotBringARemovedRecordBack)
{
  EndpointTable owner(1, 1);
  EndpointTable peer(2, 1);
  const TimePoint start;
  owner.Announce(MakeRecord("n", 1, 1), start);
  const auto early = owner.SyncSince(-1);
  owner.LoseSession("n", start);
  owner.Tick(start + 63s);
  peer.OnSync(owner.SyncSince(-1), start + 63s);
  peer.OnSync(early, start + 63s);
  EXPECT_EQ(peer.Find("n"), nullptr);
}

TEST(EndpointTable, RestartedOwnerDoesNotHideItsNodes)
{
  EndpointTable peer(2, 1);
  EndpointTable before(1, 1);
  const TimePoint start;
  before.Announce(MakeRecord("n", 1, 1), start);
  peer.OnSync(before.SyncSince(-1), start);
  EndpointTable after(1, 2);
  peer.OnSync(after.SyncSince(-1), start + 1s);
  EXPECT_NE(peer.Find("n"), nullptr);
  for (const auto& sync : peer.FullSyncFor(1)) {
    after.OnSync(sync, start + 1s);
  }
  EXPECT_NE(after.Find("n"), nullptr);
}

} // namespace
} // namespace wigeonfold::discovery
