// A fleet in virtual time: the production state machines of control VMs and
// nodes, joined by links that can be cut.
#pragma once

#include "wigeonfold/consensus/Raft.h"
#include "wigeonfold/discovery/EndpointTable.h"
#include "wigeonfold/distribution/NodeSessions.h"
#include "wigeonfold/distribution/Subscriber.h"
#include "wigeonfold/registry/Registry.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::scenario {

// What a control VM's data folder holds; every write is synced at once. Loss
// of unsynced data is covered by the tests of consensus and storage.
struct Disk
{
  consensus::MemberId m_memberId = 0;
  consensus::HardState m_hardState;
  std::optional<consensus::RaftSnapshot> m_snapshot;
  consensus::LogPosition m_base;
  std::vector<wire::LogEntry> m_entries;
};

struct ControlVm
{
  std::string m_name;
  SocketAddress m_address;
  Disk m_disk;
  bool m_frozen = false;
  // Null while the VM is down.
  std::unique_ptr<consensus::Raft> m_raft;
  std::unique_ptr<registry::Registry> m_registry;
  std::unique_ptr<discovery::EndpointTable> m_table;
  std::unique_ptr<distribution::NodeSessions> m_sessions;
};

struct Node
{
  std::string m_name;
  int64_t m_epoch = 0;
  std::unique_ptr<distribution::Subscriber> m_subscriber; // null while down
  Version m_newestServed;                                 // of all incarnations
  bool m_belowFloor = false;
  int m_configUpdates = 0; // received by this incarnation
};

// Runs the fleet and checks in each step what must always hold; a breach is
// kept as text. Not thread safe.
class World
{
public:
  World();

  // ---- Fleet ----
  // All control VMs of the first group; the first call only.
  void AddControls(const std::vector<std::string>& aNames);
  void AddNode(const std::string& aName);

  // ---- Faults; aName is a control VM or a node ----
  void Cut(const std::set<std::string>& aNames); // off from all others
  void Mend();
  void Freeze(const std::string& aName, bool aFrozen); // control VMs only
  void Crash(const std::string& aName);
  void Restart(const std::string& aName);
  void LoseDisk(const std::string& aName); // crash and an empty data folder

  // ---- Operators ----
  // Proposes at the control VM, or at the one that holds the lease when
  // aControl is empty; false when it is refused there.
  bool Propose(const std::string& aControl, const wire::Change& aChange);
  // Proposes a membership change at the lease holder.
  bool ProposeChange(const consensus::MembershipChange& aChange);

  void Advance(Duration aTime);

  // ---- Queries ----
  ControlVm* FindControl(const std::string& aName);
  Node* FindNode(const std::string& aName);
  ControlVm* LeaseHolder();
  std::string NameAt(const SocketAddress& aAddress) const;
  // The first answer that a running control VM has applied.
  const wire::AcceptResult* FindResult(const std::string& aChangeId) const;
  TimePoint Now() const { return m_now; }
  const std::vector<std::string>& Breaches() const { return m_breaches; }

private:
  // A message on its way; exactly one of the parts is used.
  struct Message
  {
    TimePoint m_due;
    uint64_t m_order = 0;
    std::string m_from;
    std::string m_to;
    std::optional<wire::RaftMessage> m_raft;
    std::optional<wire::Frame> m_frame; // of m_session
    std::optional<distribution::ConnectTo> m_connect;
    uint64_t m_session = 0;

    bool operator<(const Message& aOther) const
    {
      return std::pair(aOther.m_due, aOther.m_order) <
             std::pair(m_due, m_order);
    }
  };
  struct Session
  {
    std::string m_node;
    std::string m_control;
    uint64_t m_nodeSession = 0; // the node's number of the session
  };

  void StartControl(ControlVm& aControl);
  void Bootstrap(ControlVm& aControl);
  void StartNode(Node& aNode);
  void Step();
  void Deliver(Message aMessage);
  void Post(Message aMessage, Duration aDelay);
  bool LinkIsUp(const std::string& aLeft, const std::string& aRight) const;
  bool IsRunning(const ControlVm& aControl) const;

  void Open(Node& aNode, const distribution::ConnectTo& aConnect);
  void CloseAll(const std::string& aName);
  void Close(uint64_t aSession, bool aTellNode, bool aTellControl);

  void Run(ControlVm& aControl);
  void Persist(ControlVm& aControl, const consensus::RaftActions& aActions);
  void Apply(ControlVm& aControl, const consensus::RaftActions& aActions);
  void Run(ControlVm& aControl, const distribution::NodeActions& aActions);
  void Run(Node& aNode, const distribution::SubscriberActions& aActions);
  void Check();

  TimePoint m_now{ std::chrono::hours(1) };
  uint64_t m_order = 0;
  uint64_t m_nextSession = 1;
  std::map<std::string, ControlVm> m_controls;
  std::map<std::string, Node> m_nodes;
  std::priority_queue<Message> m_messages;
  std::map<uint64_t, Session> m_sessions;
  std::set<std::string> m_cut;
  std::map<Version, uint64_t> m_digests;
  std::vector<std::string> m_breaches;
  int64_t m_lastMemberId = 0;
  bool m_bootstrapped = false;
};

} // namespace wigeonfold::scenario
