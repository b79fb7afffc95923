// Creation of the cluster and membership changes without an operator.
#include "Core.h"
#include "PeerLinks.h"

#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <utility>

namespace wigeonfold::control {

namespace {

// A bootstrapping VM with seeds but without initial voters waits this long for
// the hello of a control VM that already belongs to a cluster.
constexpr std::chrono::seconds kBootstrapWait{ 1 };

// Milliseconds since the epoch. Greater than the generation of every earlier
// cluster unless the wall clock was set back by more than the time between the
// creation of the two.
int64_t NewGeneration()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

wire::Member Core::OwnMember() const
{
  wire::Member self;
  self.memberId = m_raft.Self();
  self.name = m_settings.m_name;
  self.availabilityZone = m_settings.m_availabilityZone;
  self.peerAddress = ToString(m_settings.m_peerAddress);
  self.apiAddress = ToString(m_settings.m_apiAddress);
  const wire::ControlHello hello = MakeHello(m_settings, m_raft.Self());
  self.nodeAddress = hello.nodeAddress;
  self.operatorAddress = hello.operatorAddress;
  self.voter = true;
  return self;
}

// A VM that lost its disk may still have bootstrap = true. It must not create a
// second cluster: nodes would take its greater generation as newer and replace
// their settings with an empty tree. So the hello of every initial voter has to
// arrive first, and none of the hellos may name a cluster.
bool Core::CanBootstrap(TimePoint aNow)
{
  if (m_settings.m_automaticMembers) {
    wire::ControlHello self = MakeHello(m_settings, m_raft.Self());
    self.hasLog = HasLog();
    return consensus::MayFormCluster(self, SeedAddresses(), m_peers);
  }
  std::set<std::string> missing = m_settings.m_initialVoters;
  missing.erase(m_settings.m_name);
  for (const auto& [id, vm] : m_peers) {
    const wire::ControlHello& peer = vm.m_hello;
    if (!peer.clusterId.empty()) {
      m_bootstrapSettled = true;
      m_log.Record(EventId::BootstrapRefused,
                   { { "peer", peer.name }, { "cluster", peer.clusterId } });
      return false;
    }
    missing.erase(peer.name);
  }
  const bool waitForSeeds =
    m_settings.m_initialVoters.empty() && !m_settings.m_seeds.empty();
  return missing.empty() &&
         (!waitForSeeds || aNow - m_startedAt >= kBootstrapWait);
}

std::set<std::string> Core::SeedAddresses() const
{
  std::set<std::string> seeds;
  for (const SocketAddress& seed : m_settings.m_seeds) {
    seeds.insert(ToString(seed));
  }
  return seeds;
}

wire::Membership Core::NewMembership() const
{
  if (m_settings.m_automaticMembers) {
    return consensus::FirstMembership(MakeHello(m_settings, m_raft.Self()),
                                      SeedAddresses(),
                                      m_peers,
                                      m_settings.m_policy);
  }
  wire::Membership membership;
  membership.members.push_back(OwnMember());
  return membership;
}

bool Core::HasLog() const
{
  return m_raft.LastPosition().m_index != 0;
}

std::optional<wire::Membership> Core::Formation() const
{
  const wire::Membership* first = m_raft.FirstMembership();
  return first != nullptr && m_raft.LeaderId() == 0 &&
             consensus::VoterCount(*first) > 1
           ? std::optional(*first)
           : std::nullopt;
}

void Core::UpdateVoterOutlook(TimePoint aNow)
{
  const wire::Membership& membership = m_raft.CurrentMembership();
  m_lostDisks.Update(membership, m_raft.PreviousMembership(), aNow);
  consensus::VoterOutlook outlook = consensus::MakeVoterOutlook(
    membership, m_raft.Self(), m_peers, m_settings.m_policy, aNow);
  outlook.m_lost = m_lostDisks.Find(m_peers);
  m_raft.SetVoterOutlook(aNow, std::move(outlook));
}

// Proposes one membership step at a time, once the previous one is committed.
void Core::MaintainMembership(TimePoint aNow)
{
  if (!m_settings.m_automaticMembers ||
      m_raft.GetRole() != consensus::Role::Leader ||
      !m_registry.IsBootstrapped() || !m_raft.MembershipCommitted()) {
    return;
  }
  const auto step = consensus::NextMembershipStep(m_raft.CurrentMembership(),
                                                  m_raft.Self(),
                                                  m_peers,
                                                  CaughtUpMembers(),
                                                  m_settings.m_policy,
                                                  aNow);
  if (!step || !m_raft.ProposeChange(aNow, step->m_change)) {
    return; // tried again at the next housekeeping
  }
  const wire::Member& member = step->m_change.m_member;
  m_log.Record(EventId::MembershipStepTaken,
               { { "member", std::to_string(member.memberId) },
                 { "name", member.name },
                 { "step", consensus::ToString(step->m_change.m_kind) },
                 { "reason", step->m_reason } });
}

void Core::CheckReplaced(TimePoint aNow)
{
  const bool awaits =
    m_settings.m_automaticMembers &&
    (!m_raft.MembershipCommitted() ||
     consensus::ShouldAwaitDemotion(m_raft.CurrentMembership(),
                                    m_raft.Self(),
                                    m_peers,
                                    m_settings.m_policy,
                                    aNow));
  if (m_onMayEnd && !awaits) {
    std::exchange(m_onMayEnd, nullptr)();
  }
}

void Core::MaybeBootstrap(TimePoint aNow)
{
  if (m_bootstrapSettled) {
    return;
  }
  if (!m_settings.m_bootstrap || !m_startedEmpty ||
      m_raft.LastPosition().m_index != 0 || m_raft.LeaderId() != 0) {
    m_bootstrapSettled = true;
    return;
  }
  if (!CanBootstrap(aNow)) {
    return;
  }
  m_bootstrapSettled = true;
  const Status done = m_raft.Bootstrap(aNow, NewMembership());
  m_addingInitialVoters = static_cast<bool>(done);
  m_idByName[m_settings.m_name] = m_raft.Self();
}

// A VM that is named by its member id has the disk that it had when the cluster
// was formed, so it may take part even after a restart.
void Core::MaybeJoinFormation(TimePoint aNow)
{
  if (!m_settings.m_automaticMembers || HasLog() || m_raft.LeaderId() != 0) {
    return;
  }
  const wire::Membership* formation =
    consensus::FindFormation(m_raft.Self(), m_peers);
  if (formation && m_raft.Bootstrap(aNow, *formation)) {
    m_bootstrapSettled = true;
    ExecuteRaftActions(aNow);
  }
}

void Core::MaybeProposeCluster(TimePoint aNow)
{
  const bool ready = m_raft.GetRole() == consensus::Role::Leader &&
                     m_raft.AppliedIndex() == m_raft.LastPosition().m_index;
  if (!ready || m_registry.IsBootstrapped() ||
      m_clusterProposedTerm == m_raft.Term()) {
    return;
  }
  wire::Bootstrap bootstrap;
  bootstrap.generation = NewGeneration();
  bootstrap.clusterId =
    boost::uuids::to_string(boost::uuids::random_generator()());
  wire::RegistryCommand command;
  command.__set_bootstrap(bootstrap);
  if (m_raft.Propose(aNow, wire::Encode(command))) {
    m_clusterProposedTerm = m_raft.Term();
    m_log.Record(EventId::ClusterCreated,
                 { { "cluster", bootstrap.clusterId },
                   { "generation", std::to_string(bootstrap.generation) } });
    ExecuteRaftActions(aNow);
  }
}

// Adds and promotes the initial voters one at a time. Only the process that
// created the cluster does this, and only until it restarts; operators add
// later members.
void Core::AddInitialVoters(TimePoint aNow)
{
  if (!m_addingInitialVoters || m_raft.GetRole() != consensus::Role::Leader ||
      !m_registry.IsBootstrapped() || !m_raft.MembershipCommitted()) {
    return;
  }
  for (const auto& [id, vm] : m_peers) {
    const wire::ControlHello& peer = vm.m_hello;
    const bool isInitialVoter = m_settings.m_initialVoters.count(peer.name) > 0;
    if (isInitialVoter && ProposeInitialVoter(peer, aNow)) {
      return;
    }
  }
  const auto& members = m_raft.CurrentMembership().members;
  const auto voters = static_cast<size_t>(std::count_if(
    members.begin(), members.end(), [this](const wire::Member& aMember) {
      return aMember.voter &&
             m_settings.m_initialVoters.count(aMember.name) > 0;
    }));
  m_addingInitialVoters = voters < m_settings.m_initialVoters.size();
}

// Returns true when a step was proposed.
bool Core::ProposeInitialVoter(const wire::ControlHello& aPeer, TimePoint aNow)
{
  const auto entry = m_idByName.emplace(aPeer.name, aPeer.memberId);
  if (entry.first->second != aPeer.memberId) {
    // The VM with this name has got a new id, so it lost its disk.
    return false;
  }
  consensus::MembershipChange change;
  change.m_member.memberId = aPeer.memberId;
  change.m_member.name = aPeer.name;
  change.m_member.availabilityZone = aPeer.availabilityZone;
  change.m_member.peerAddress = aPeer.peerAddress;
  change.m_member.apiAddress = aPeer.apiAddress;
  change.m_member.voter = false;
  const wire::Member* member =
    consensus::FindMember(m_raft.CurrentMembership(), aPeer.memberId);
  if (member && member->voter) {
    return false;
  }
  change.m_kind = member ? consensus::MembershipChangeKind::Promote
                         : consensus::MembershipChangeKind::AddLearner;
  if (!m_raft.ProposeChange(aNow, change)) {
    // Not caught up yet, for example; tried again at the next housekeeping.
    return false;
  }
  m_log.Record(
    EventId::InitialVoterStep,
    { { "name", aPeer.name }, { "step", member ? "promoted" : "added" } });
  return true;
}

} // namespace wigeonfold::control
