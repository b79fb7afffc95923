// Simulates a fleet in virtual time: the production state machines of control
// VMs and nodes, connected by links that can be cut.
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

// Content of a control VM's data folder. Every write is synced at once; the
// loss of unsynced data is covered by the tests of consensus and storage.
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
  bool m_frozen = false; // keeps its state, but does not run
  // Null while the VM is down.
  std::unique_ptr<consensus::Raft> m_raft;
  std::unique_ptr<registry::Registry> m_registry;
  std::unique_ptr<discovery::EndpointTable> m_table;
  std::unique_ptr<distribution::NodeSessions> m_sessions;
};

struct Node
{
  std::string m_name;
  int64_t m_epoch = 0;                                    // number of starts
  std::unique_ptr<distribution::Subscriber> m_subscriber; // null while down
  Version m_newestServed;    // since the scenario's start, across restarts
  bool m_belowFloor = false; // serves below the floor, see BecomeReady
  int m_configUpdates = 0;   // received since the node's last start
};

// Runs the fleet and checks the invariants after each step; violations are kept
// as text. Not thread safe.
class World
{
public:
  World();

  // ---- Fleet ----
  // Starts the control VMs of the initial group, all of them voters. Call it
  // once, before any node is added.
  void AddControls(const std::vector<std::string>& aNames);
  void AddNode(const std::string& aName);

  // ---- Faults; aName is a control VM or a node ----
  // Cuts the links between these and all others. They still reach each other.
  // Replaces the previous cut.
  void Cut(const std::set<std::string>& aNames);
  void Mend();                                         // ends the cut
  void Freeze(const std::string& aName, bool aFrozen); // control VMs only
  void Crash(const std::string& aName);
  void Restart(const std::string& aName);
  // Crashes a control VM and empties its data folder. It restarts with a new
  // member id.
  void LoseDisk(const std::string& aName);

  // ---- Operators ----
  // Proposes a change at the control VM, or at the lease holder if aControl is
  // empty. False if the control VM is not running or rejects the proposal.
  bool Propose(const std::string& aControl, const wire::Change& aChange);
  // Proposes a membership change at the lease holder. False if there is none or
  // it rejects the proposal.
  bool ProposeChange(const consensus::MembershipChange& aChange);

  // Lets virtual time pass, in steps of 5 ms.
  void Advance(Duration aTime);

  // ---- Queries; nullptr or "" if there is none ----
  ControlVm* FindControl(const std::string& aName);
  Node* FindNode(const std::string& aName);
  ControlVm* LeaseHolder();
  std::string NameAt(const SocketAddress& aAddress) const;
  // The change's first result, as recorded at a control VM that is up and has
  // applied it. Sending the change again does not alter it.
  const wire::AcceptResult* FindResult(const std::string& aChangeId) const;
  TimePoint Now() const { return m_now; }
  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  // A message in transit: a Raft message, a frame of a session, or a node's
  // connection attempt. Exactly one of the optional members is set.
  struct Message
  {
    TimePoint m_due;
    uint64_t m_order = 0; // order of messages that are due at the same time
    std::string m_from;
    std::string m_to;
    std::optional<wire::RaftMessage> m_raft;
    std::optional<wire::Frame> m_frame; // sent on m_session
    std::optional<distribution::ConnectTo> m_connect;
    uint64_t m_session = 0;

    // The message that is due first is the greatest, as std::priority_queue
    // needs it.
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
    uint64_t m_nodeSession = 0; // the session's number at the node
  };

  void StartControl(ControlVm& aControl);
  void Bootstrap(ControlVm& aControl);
  void StartNode(Node& aNode);
  void Step();
  void Deliver(Message aMessage);
  void Post(Message aMessage, Duration aDelay);
  bool LinkIsUp(const std::string& aLeft, const std::string& aRight) const;
  bool IsRunning(const ControlVm& aControl) const;

  void OpenSession(Node& aNode, const distribution::ConnectTo& aConnect);
  void CloseSessions(const std::string& aName);
  void CloseSession(uint64_t aSession, bool aTellNode, bool aTellControl);

  void PerformActions(ControlVm& aControl);
  void Persist(ControlVm& aControl, const consensus::RaftActions& aActions);
  void Apply(ControlVm& aControl, const consensus::RaftActions& aActions);
  void PerformActions(ControlVm& aControl,
                      const distribution::NodeActions& aActions);
  void PerformActions(Node& aNode,
                      const distribution::SubscriberActions& aActions);
  void CheckInvariants();

  TimePoint m_now{ std::chrono::hours(1) };
  uint64_t m_lastOrder = 0;
  uint64_t m_nextSession = 1;
  std::map<std::string, ControlVm> m_controls;
  std::map<std::string, Node> m_nodes;
  std::priority_queue<Message> m_messages;
  std::map<uint64_t, Session> m_sessions;
  std::set<std::string> m_cut; // names given to Cut
  // Digest of the content that was first seen for each version.
  std::map<Version, uint64_t> m_digests;
  std::vector<std::string> m_violations;
  int64_t m_lastMemberId = 0;
  bool m_bootstrapped = false;
};

} // namespace wigeonfold::scenario
