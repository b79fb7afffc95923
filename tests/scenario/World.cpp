#include "World.h"

#include "wigeonfold/wire/Codec.h"

#include <algorithm>

namespace wigeonfold::scenario {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTimeStep = 5ms;
constexpr Duration kLinkDelay = 1ms;
constexpr uint64_t kSeed = 20261204;

wire::Member MakeMember(const ControlVm& aControl)
{
  wire::Member member;
  member.memberId = aControl.m_disk.m_memberId;
  member.name = aControl.m_name;
  member.availabilityZone = aControl.m_name;
  member.peerAddress = ToString(aControl.m_address);
  member.apiAddress = member.peerAddress;
  member.voter = true;
  return member;
}

} // namespace

World::World() = default;

// ---- Fleet -----------------------------------------------------------------

void World::AddControls(const std::vector<std::string>& aNames)
{
  wire::Membership membership;
  for (const std::string& name : aNames) {
    ControlVm& control = m_controls[name];
    control.m_name = name;
    control.m_address = { "127.0.0.1",
                          static_cast<uint16_t>(1000 + m_controls.size()) };
    control.m_disk.m_memberId = ++m_lastMemberId;
    membership.members.push_back(MakeMember(control));
  }
  wire::LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = wire::LogEntryKind::Membership;
  entry.payload = wire::Encode(membership);
  for (const std::string& name : aNames) {
    ControlVm& control = m_controls[name];
    control.m_disk.m_entries = { entry };
    control.m_disk.m_hardState.m_term = 1;
    StartControl(control);
  }
}

void World::AddNode(const std::string& aName)
{
  Node& node = m_nodes[aName];
  node.m_name = aName;
  StartNode(node);
}

void World::StartControl(ControlVm& aControl)
{
  consensus::RaftInitialState initial;
  initial.m_self = aControl.m_disk.m_memberId;
  initial.m_hardState = aControl.m_disk.m_hardState;
  initial.m_snapshot = aControl.m_disk.m_snapshot;
  initial.m_base = aControl.m_disk.m_base;
  initial.m_entries = aControl.m_disk.m_entries;
  const auto id = static_cast<uint64_t>(initial.m_self);
  aControl.m_registry = std::make_unique<registry::Registry>();
  aControl.m_raft = std::make_unique<consensus::Raft>(
    consensus::RaftSettings(), std::move(initial), kSeed + id, m_now);
  aControl.m_table = std::make_unique<discovery::EndpointTable>(
    aControl.m_disk.m_memberId, m_now.time_since_epoch().count());
  distribution::NodeSessionsOptions options;
  options.m_memberId = aControl.m_disk.m_memberId;
  aControl.m_sessions = std::make_unique<distribution::NodeSessions>(
    options, *aControl.m_table, kSeed + id);
  aControl.m_frozen = false;
  PerformActions(aControl);
}

void World::StartNode(Node& aNode)
{
  distribution::SubscriberOptions options;
  options.m_nodeName = aNode.m_name;
  options.m_nodeEpoch = ++aNode.m_epoch;
  for (const auto& [name, control] : m_controls) {
    options.m_controlVms.push_back({ control.m_address, name });
  }
  aNode.m_subscriber = std::make_unique<distribution::Subscriber>(
    options,
    [](const distribution::NodeState&) { return Ok(); },
    kSeed + static_cast<uint64_t>(aNode.m_epoch));
  aNode.m_belowFloor = false;
  aNode.m_configUpdates = 0;
  PerformActions(aNode, aNode.m_subscriber->Start(m_now));
}

// ---- Faults ----------------------------------------------------------------

void World::Cut(const std::set<std::string>& aNames)
{
  m_cut = aNames;
  const auto sessions = m_sessions;
  for (const auto& [id, session] : sessions) {
    if (!LinkIsUp(session.m_node, session.m_control)) {
      CloseSession(id, true, true);
    }
  }
}

void World::Mend()
{
  m_cut.clear();
}

void World::Freeze(const std::string& aName, bool aFrozen)
{
  m_controls.at(aName).m_frozen = aFrozen;
}

void World::Crash(const std::string& aName)
{
  CloseSessions(aName);
  if (ControlVm* control = FindControl(aName)) {
    control->m_sessions.reset();
    control->m_table.reset();
    control->m_raft.reset();
    control->m_registry.reset();
  } else if (Node* node = FindNode(aName)) {
    node->m_subscriber.reset();
  }
}

void World::Restart(const std::string& aName)
{
  if (ControlVm* control = FindControl(aName)) {
    StartControl(*control);
  } else if (Node* node = FindNode(aName)) {
    StartNode(*node);
  }
}

void World::LoseDisk(const std::string& aName)
{
  Crash(aName);
  ControlVm& control = m_controls.at(aName);
  control.m_disk = Disk{};
  control.m_disk.m_memberId = ++m_lastMemberId;
}

// ---- Operators -------------------------------------------------------------

bool World::Propose(const std::string& aControl, const wire::Change& aChange)
{
  ControlVm* control = aControl.empty() ? LeaseHolder() : FindControl(aControl);
  if (control == nullptr || !IsRunning(*control)) {
    return false;
  }
  wire::RegistryCommand command;
  command.__set_change(aChange);
  const bool proposed =
    control->m_raft->Propose(m_now, wire::Encode(command)).has_value();
  PerformActions(*control);
  return proposed;
}

bool World::ProposeChange(const consensus::MembershipChange& aChange)
{
  ControlVm* control = LeaseHolder();
  if (control == nullptr) {
    return false;
  }
  const bool proposed =
    control->m_raft->ProposeChange(m_now, aChange).has_value();
  PerformActions(*control);
  return proposed;
}

// ---- Time ------------------------------------------------------------------

void World::Advance(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (m_now < end) {
    m_now += kTimeStep;
    Step();
  }
}

void World::Step()
{
  while (!m_messages.empty() && m_messages.top().m_due <= m_now) {
    Message message = m_messages.top();
    m_messages.pop();
    Deliver(std::move(message));
  }
  for (auto& [name, control] : m_controls) {
    if (!IsRunning(control)) {
      continue;
    }
    control.m_raft->Tick(m_now);
    Bootstrap(control);
    PerformActions(control);
    control.m_table->Tick(m_now);
    PerformActions(control,
                   control.m_sessions->SetFreshness(
                     control.m_raft->FreshnessAge(m_now), m_now));
    PerformActions(control, control.m_sessions->OnTick(m_now));
  }
  for (auto& [name, node] : m_nodes) {
    if (node.m_subscriber) {
      PerformActions(node, node.m_subscriber->OnTick(m_now));
    }
  }
  CheckInvariants();
}

// ---- Links -----------------------------------------------------------------

bool World::LinkIsUp(const std::string& aLeft, const std::string& aRight) const
{
  return m_cut.count(aLeft) == m_cut.count(aRight);
}

bool World::IsRunning(const ControlVm& aControl) const
{
  return aControl.m_raft != nullptr && !aControl.m_frozen;
}

void World::Post(Message aMessage, Duration aDelay)
{
  aMessage.m_due = m_now + aDelay;
  aMessage.m_order = ++m_lastOrder;
  m_messages.push(std::move(aMessage));
}

void World::Deliver(Message aMessage)
{
  if (aMessage.m_connect) {
    if (Node* node = FindNode(aMessage.m_from); node->m_subscriber) {
      OpenSession(*node, *aMessage.m_connect);
    }
    return;
  }
  if (!LinkIsUp(aMessage.m_from, aMessage.m_to)) {
    return;
  }
  ControlVm* control = FindControl(aMessage.m_to);
  if (control != nullptr && control->m_raft && control->m_frozen) {
    // As in a real VM, the socket buffers keep what arrives until it is thawed.
    Post(std::move(aMessage), kTimeStep);
    return;
  }
  if (aMessage.m_raft) {
    if (control->m_raft) {
      control->m_raft->Receive(m_now, std::move(*aMessage.m_raft));
      PerformActions(*control);
    }
    return;
  }
  const auto session = m_sessions.find(aMessage.m_session);
  if (session == m_sessions.end()) {
    return;
  }
  if (control != nullptr) {
    PerformActions(*control,
                   control->m_sessions->OnFrame(
                     aMessage.m_session, *aMessage.m_frame, m_now));
    return;
  }
  Node& node = m_nodes.at(aMessage.m_to);
  node.m_configUpdates +=
    aMessage.m_frame->m_type == wire::FrameType::ConfigUpdate ? 1 : 0;
  PerformActions(node,
                 node.m_subscriber->OnFrame(
                   session->second.m_nodeSession, *aMessage.m_frame, m_now));
}

// ---- Sessions --------------------------------------------------------------

void World::OpenSession(Node& aNode, const distribution::ConnectTo& aConnect)
{
  const auto control = std::find_if(
    m_controls.begin(), m_controls.end(), [&aConnect](const auto& aControl) {
      return aControl.second.m_address == aConnect.m_address;
    });
  const bool reached =
    control->second.m_raft != nullptr && LinkIsUp(aNode.m_name, control->first);
  if (!reached) {
    PerformActions(aNode,
                   aNode.m_subscriber->OnClosed(aConnect.m_session, m_now));
    return;
  }
  const uint64_t id = m_nextSession++;
  m_sessions[id] = { aNode.m_name, control->first, aConnect.m_session };
  control->second.m_sessions->OnOpened(id, m_now);
  PerformActions(aNode,
                 aNode.m_subscriber->OnConnected(aConnect.m_session, m_now));
}

void World::CloseSessions(const std::string& aName)
{
  const auto sessions = m_sessions;
  for (const auto& [id, session] : sessions) {
    if (session.m_node == aName || session.m_control == aName) {
      CloseSession(id, session.m_node != aName, session.m_control != aName);
    }
  }
}

void World::CloseSession(uint64_t aSession, bool aTellNode, bool aTellControl)
{
  const auto found = m_sessions.find(aSession);
  if (found == m_sessions.end()) {
    return;
  }
  const Session session = found->second;
  m_sessions.erase(found);
  ControlVm& control = m_controls.at(session.m_control);
  if (aTellControl && control.m_sessions) {
    control.m_sessions->OnClosed(aSession, m_now);
  }
  Node& node = m_nodes.at(session.m_node);
  if (aTellNode && node.m_subscriber) {
    PerformActions(node,
                   node.m_subscriber->OnClosed(session.m_nodeSession, m_now));
  }
}

// ---- Actions ---------------------------------------------------------------

void World::PerformActions(ControlVm& aControl)
{
  while (true) {
    const consensus::RaftActions actions = aControl.m_raft->TakeActions();
    Persist(aControl, actions);
    for (const wire::RaftMessage& message : actions.m_send) {
      for (const auto& [name, other] : m_controls) {
        if (other.m_disk.m_memberId == message.toMember) {
          Message sent;
          sent.m_from = aControl.m_name;
          sent.m_to = name;
          sent.m_raft = message;
          Post(std::move(sent), kLinkDelay);
        }
      }
    }
    Apply(aControl, actions);
    if (!actions.NeedsPersistence() && actions.m_apply.empty() &&
        actions.m_send.empty()) {
      return;
    }
    if (actions.NeedsPersistence()) {
      aControl.m_raft->OnPersisted(m_now, actions.m_sequence);
    }
  }
}

void World::Persist(ControlVm& aControl, const consensus::RaftActions& aActions)
{
  Disk& disk = aControl.m_disk;
  if (aActions.m_saveSnapshot) {
    disk.m_snapshot = aActions.m_saveSnapshot;
  }
  if (aActions.m_hardState) {
    disk.m_hardState = *aActions.m_hardState;
  }
  if (aActions.m_truncateFrom > 0) {
    std::erase_if(disk.m_entries, [&aActions](const wire::LogEntry& aEntry) {
      return aEntry.index >= aActions.m_truncateFrom;
    });
  }
  disk.m_entries.insert(
    disk.m_entries.end(), aActions.m_append.begin(), aActions.m_append.end());
}

void World::Apply(ControlVm& aControl, const consensus::RaftActions& aActions)
{
  if (aActions.m_restore) {
    auto restored = registry::Registry::Restore(aActions.m_restore->m_state);
    if (!restored) {
      m_violations.push_back(restored.error().ToString());
      return;
    }
    *aControl.m_registry = std::move(restored.value());
  }
  for (const wire::LogEntry& entry : aActions.m_apply) {
    if (entry.kind == wire::LogEntryKind::Command) {
      // FindResult reads the outcome from the registry.
      (void)aControl.m_registry->Apply(entry.payload);
    }
  }
  if (aActions.m_takeSnapshot > 0) {
    aControl.m_raft->OnSnapshotTaken(
      m_now, aActions.m_takeSnapshot, aControl.m_registry->Snapshot());
  }
  const bool changed = aActions.m_restore || !aActions.m_apply.empty();
  if (changed && aControl.m_registry->IsBootstrapped()) {
    PerformActions(
      aControl,
      aControl.m_sessions->SetTree(*aControl.m_registry->NewestTree(), m_now));
  }
}

// The first lease holder creates the cluster, once per scenario.
void World::Bootstrap(ControlVm& aControl)
{
  if (m_bootstrapped || !aControl.m_raft->HasLease(m_now)) {
    return;
  }
  wire::Bootstrap bootstrap;
  bootstrap.generation = 1;
  bootstrap.clusterId = "scenario";
  wire::RegistryCommand command;
  command.__set_bootstrap(bootstrap);
  m_bootstrapped =
    aControl.m_raft->Propose(m_now, wire::Encode(command)).has_value();
}

void World::PerformActions(ControlVm& aControl,
                           const distribution::NodeActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<distribution::SendToNode>(&action)) {
      const auto session = m_sessions.find(send->m_session);
      if (session == m_sessions.end()) {
        continue;
      }
      Message message;
      message.m_from = aControl.m_name;
      message.m_to = session->second.m_node;
      message.m_session = send->m_session;
      message.m_frame = wire::Frame{ send->m_type, 0, *send->m_payload };
      Post(std::move(message), kLinkDelay);
    } else if (const auto* close =
                 std::get_if<distribution::CloseNode>(&action)) {
      CloseSession(close->m_session, true, false);
    }
  }
}

void World::PerformActions(Node& aNode,
                           const distribution::SubscriberActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* connect = std::get_if<distribution::ConnectTo>(&action)) {
      Message message;
      message.m_from = aNode.m_name;
      message.m_to = aNode.m_name;
      message.m_connect = *connect;
      Post(std::move(message),
           std::max<Duration>(connect->m_at - m_now, kLinkDelay));
      continue;
    }
    const auto* send = std::get_if<distribution::SendFrame>(&action);
    const auto* close = std::get_if<distribution::CloseSession>(&action);
    if (const auto* ready = std::get_if<distribution::BecomeReady>(&action)) {
      aNode.m_belowFloor = ready->m_belowFloor;
    }
    if (send == nullptr && close == nullptr) {
      continue;
    }
    const uint64_t number =
      send != nullptr ? send->m_session : close->m_session;
    const auto session = std::find_if(
      m_sessions.begin(), m_sessions.end(), [&](const auto& aSession) {
        return aSession.second.m_node == aNode.m_name &&
               aSession.second.m_nodeSession == number;
      });
    if (session == m_sessions.end()) {
      continue;
    }
    if (close != nullptr) {
      CloseSession(session->first, false, true);
      continue;
    }
    Message message;
    message.m_from = aNode.m_name;
    message.m_to = session->second.m_control;
    message.m_session = session->first;
    message.m_frame = wire::Frame{ send->m_type, 0, send->m_payload };
    Post(std::move(message), kLinkDelay);
  }
}

// ---- Invariants ------------------------------------------------------------

void World::CheckInvariants()
{
  int holders = 0;
  for (auto& [name, control] : m_controls) {
    if (!control.m_raft) {
      continue;
    }
    // A frozen VM counts as well, since it may be thawed at any time.
    holders += control.m_raft->HasLease(m_now) ? 1 : 0;
    const auto& tree = *control.m_registry->NewestTree();
    const uint64_t digest = tree.Digest();
    if (m_digests.emplace(tree.TreeVersion(), digest).first->second != digest) {
      m_violations.push_back(ToString(tree.TreeVersion()) +
                             " has two different contents");
    }
  }
  if (holders > 1) {
    m_violations.push_back("two control VMs hold a lease at the same time");
  }
  for (auto& [name, node] : m_nodes) {
    if (!node.m_subscriber || !node.m_subscriber->IsReady()) {
      continue;
    }
    const Version inForce = node.m_subscriber->InForce().value_or(Version());
    if (inForce < node.m_newestServed && !node.m_belowFloor) {
      m_violations.push_back(name + " went back to version " +
                             ToString(inForce));
    }
    node.m_newestServed = std::max(node.m_newestServed, inForce);
  }
}

// ---- Queries ---------------------------------------------------------------

ControlVm* World::FindControl(const std::string& aName)
{
  const auto found = m_controls.find(aName);
  return found == m_controls.end() ? nullptr : &found->second;
}

Node* World::FindNode(const std::string& aName)
{
  const auto found = m_nodes.find(aName);
  return found == m_nodes.end() ? nullptr : &found->second;
}

ControlVm* World::LeaseHolder()
{
  for (auto& [name, control] : m_controls) {
    if (IsRunning(control) && control.m_raft->HasLease(m_now)) {
      return &control;
    }
  }
  return nullptr;
}

std::string World::NameAt(const SocketAddress& aAddress) const
{
  for (const auto& [name, control] : m_controls) {
    if (control.m_address == aAddress) {
      return name;
    }
  }
  return "";
}

const wire::AcceptResult* World::FindResult(const std::string& aChangeId) const
{
  for (const auto& [name, control] : m_controls) {
    const auto* result =
      control.m_registry ? control.m_registry->FindResult(aChangeId) : nullptr;
    if (result != nullptr) {
      return result;
    }
  }
  return nullptr;
}

} // namespace wigeonfold::scenario
