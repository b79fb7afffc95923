// A cluster whose control VMs form it and keep its membership on their own, as
// the control process does, and an operator who notes what was acknowledged.
// VMs end without notice, are stopped, replaced and lose their disks.
#pragma once

#include "Cluster.h"

#include "wigeonfold/consensus/ChangeGate.h"
#include "wigeonfold/consensus/LostDisks.h"
#include "wigeonfold/consensus/MembershipPolicy.h"

namespace wigeonfold::consensus {

class ManagedCluster : public Cluster
{
public:
  // aVms start at once with empty disks; the first three are the seeds.
  ManagedCluster(size_t aVms,
                 size_t aToleratedLosses,
                 uint64_t aSeed,
                 size_t aStandbyVoters = 1)
    : Cluster(0, aSeed, aToleratedLosses)
  {
    m_settings.m_electionMin = milliseconds(600);
    m_settings.m_electionMax = milliseconds(1000);
    m_settings.m_lease = milliseconds(450);
    m_policy.m_voters = 2 * aToleratedLosses + 1;
    m_policy.m_standbyVoters = aStandbyVoters;
    m_losses = aToleratedLosses;
    for (size_t i = 0; i < aVms; ++i) {
      AddVm(true);
    }
  }

  // ---- VMs ----

  // Starts a VM with an empty disk at a new address.
  MemberId AddVm(bool aMayBootstrap = false)
  {
    return StartEmpty(++m_lastAddress, aMayBootstrap);
  }

  // Ends without notice; Start() brings it back with its disk.
  void Kill(MemberId aId)
  {
    Crash(aId);
    m_vms.at(aId).m_known.clear();
    m_vms.at(aId).m_lostDisks = {};
    m_vms.at(aId).m_stopSince.reset();
  }

  void Start(MemberId aId)
  {
    if (!m_nodes.at(aId).m_raft) {
      Cluster::Start(aId);
      const Raft& raft = *m_nodes.at(aId).m_raft;
      m_vms.at(aId).m_lostDisks =
        LostDisks(raft.CurrentMembership(), raft.PreviousMembership());
    }
  }

  // Never comes back.
  void Remove(MemberId aId)
  {
    Kill(aId);
    m_nodes.erase(aId);
    m_vms.erase(aId);
  }

  // Ends and is back, 0.5 s later, at its address with an empty disk.
  MemberId Wipe(MemberId aId)
  {
    const int address = m_vms.at(aId).m_address;
    Remove(aId);
    RunManaged(500);
    return StartEmpty(address, false);
  }

  // Gets SIGTERM: ends once the group has replaced it or nobody can.
  void Stop(MemberId aId)
  {
    m_vms.at(aId).m_stopSince = m_nowMs;
    RunManagedUntil([&] { return !m_nodes.at(aId).m_raft; }, kMaxStopMs);
  }

  void RunManaged(int64_t aMs)
  {
    RunManagedUntil([] { return false; }, aMs);
  }

  template<class Condition>
  bool RunManagedUntil(Condition aCondition, int64_t aMs)
  {
    for (const int64_t end = m_nowMs + aMs; m_nowMs < end;) {
      if (aCondition()) {
        return true;
      }
      Run(kStepMs);
      if (m_nowMs % 100 == 0) {
        for (auto& [id, vm] : m_vms) {
          Housekeep(id, vm);
        }
      }
    }
    return aCondition();
  }

  // ---- Operator ----

  // Proposes a change until it is acknowledged. Returns the member that did,
  // or 0 when none did within aMs.
  MemberId Accept(int64_t aMs = 6000)
  {
    MemberId leaderId = 0;
    LogPosition position;
    const bool done = RunManagedUntil(
      [&] {
        Raft* leader = Leader();
        if (leader == nullptr) {
          return false;
        }
        if (leader->Self() != leaderId || leader->Term() != position.m_term) {
          leaderId = leader->Self();
          position = Propose(*leader);
        }
        return position.m_index != 0 &&
               leader->AppliedIndex() >= position.m_index &&
               leader->SurvivingIndex() >= position.m_index;
      },
      aMs);
    if (!done) {
      return 0;
    }
    m_acknowledged = std::max(m_acknowledged, position.m_index);
    return leaderId;
  }

  MemberId LeaderId()
  {
    const Raft* leader = Leader();
    return leader == nullptr ? 0 : leader->Self();
  }

  // A running voter that doesn't lead; 0 for none.
  MemberId FollowerId()
  {
    const Raft* leader = Leader();
    for (auto& [id, node] : m_nodes) {
      if (leader != nullptr && node.m_raft && id != leader->Self() &&
          IsVoter(leader->CurrentMembership(), id)) {
        return id;
      }
    }
    return 0;
  }

  // The running members that vote, the leader first.
  std::vector<MemberId> Voters()
  {
    std::vector<MemberId> voters{ LeaderId() };
    for (const auto& [id, node] : m_nodes) {
      const Raft* leader = Leader();
      if (node.m_raft && leader != nullptr && id != voters.front() &&
          IsVoter(leader->CurrentMembership(), id)) {
        voters.push_back(id);
      }
    }
    return voters;
  }

  bool HasVoters(size_t aCount)
  {
    const Raft* leader = Leader();
    return leader != nullptr && leader->MembershipCommitted() &&
           VoterCount(leader->CurrentMembership()) == aCount;
  }

  // Ends all faults and requires that within recovery_s there is a leader that
  // has all that was acknowledged, and acknowledges one more change.
  void Recover()
  {
    m_network = {};
    for (auto& [id, node] : m_nodes) {
      Start(id);
    }
    const bool led = RunManagedUntil(
      [this] {
        const Raft* leader = Leader();
        return leader != nullptr && leader->AppliedIndex() >= m_acknowledged;
      },
      kRecoveryMs);
    Require(led, "what was acknowledged is gone, or nobody leads");
    Require(Accept(kRecoveryMs) != 0, "no change is acknowledged any more");
  }

  static constexpr int64_t kRecoveryMs = 15000;
  // After a start a VM counts as lost for this long.
  static constexpr int64_t kSyncMs = 4000;

private:
  struct Vm
  {
    int m_address = 0;
    bool m_mayBootstrap = false;
    std::optional<int64_t> m_stopSince; // m_nowMs of the SIGTERM
    std::map<MemberId, ControlVmState> m_known;
    LostDisks m_lostDisks;
  };

  static constexpr int64_t kHelloIntervalMs = 500;
  static constexpr int64_t kMaxStopMs = 3500;
  static constexpr int kSeeds = 3;

  static std::string AddressOf(int aNumber)
  {
    return "10.0.0." + std::to_string(aNumber) + ":1";
  }

  MemberId StartEmpty(int aAddress, bool aMayBootstrap)
  {
    const MemberId id = NewNode();
    m_vms[id].m_address = aAddress;
    m_vms[id].m_mayBootstrap = aMayBootstrap;
    Start(id);
    return id;
  }

  wire::ControlHello HelloOf(MemberId aId)
  {
    const Vm& vm = m_vms.at(aId);
    wire::ControlHello hello;
    hello.memberId = aId;
    hello.name = AddressOf(vm.m_address);
    hello.peerAddress = hello.name;
    hello.mayBootstrap = vm.m_mayBootstrap;
    hello.stopping = vm.m_stopSince.has_value();
    const Raft& raft = *m_nodes.at(aId).m_raft;
    hello.hasLog = raft.LastPosition().m_index != 0;
    if (raft.FirstMembership() != nullptr && raft.LeaderId() == 0) {
      hello.__set_formation(*raft.FirstMembership());
    }
    return hello;
  }

  bool AreConnected(MemberId aA, MemberId aB)
  {
    return m_nodes.at(aA).m_raft && m_nodes.at(aB).m_raft && !IsPaused(aA) &&
           !IsPaused(aB) &&
           m_network.m_partition[aA] == m_network.m_partition[aB];
  }

  void ExchangeHellos(MemberId aId, Vm& aVm)
  {
    const TimePoint now = Now(aId);
    const wire::Membership& membership =
      m_nodes.at(aId).m_raft->CurrentMembership();
    for (const auto& [other, vm] : m_vms) {
      if (other == aId || !AreConnected(aId, other)) {
        continue;
      }
      ControlVmState& known = aVm.m_known[other];
      const bool isNew = known.m_hello.memberId == 0;
      const wire::ControlHello hello = HelloOf(other);
      if (isNew || hello.stopping || m_nowMs % kHelloIntervalMs == 0) {
        known.m_hello = hello;
        known.m_helloAt = now;
        known.m_contactAt = now;
        // The connection stays open, so it began with the first hello.
        known.m_dialedAt = known.m_dialedAt.value_or(now);
      } else if (FindMember(membership, other) == nullptr) {
        known.m_contactAt = now;
      }
    }
    for (const auto& [other, heardAt] : m_nodes.at(aId).m_heardAt) {
      const auto known = aVm.m_known.find(other);
      if (known != aVm.m_known.end()) {
        known->second.m_contactAt =
          std::max(known->second.m_contactAt, heardAt);
      }
    }
    if (aVm.m_stopSince) {
      aVm.m_known[aId].m_hello = HelloOf(aId);
    }
  }

  void Housekeep(MemberId aId, Vm& aVm)
  {
    FakeNode& node = m_nodes.at(aId);
    if (!node.m_raft || IsPaused(aId)) {
      return;
    }
    const TimePoint now = Now(aId);
    Raft& raft = *node.m_raft;
    ExchangeHellos(aId, aVm);
    MaybeForm(aId, aVm);
    const wire::Membership& membership = raft.CurrentMembership();
    aVm.m_lostDisks.Update(membership, raft.PreviousMembership(), now);
    VoterOutlook outlook =
      MakeVoterOutlook(membership, aId, aVm.m_known, m_policy, now);
    outlook.m_lost = aVm.m_lostDisks.Find(aVm.m_known);
    raft.SetVoterOutlook(now, std::move(outlook));
    if (raft.GetRole() == Role::Leader && raft.MembershipCommitted()) {
      const auto step = NextMembershipStep(
        membership, aId, aVm.m_known, CaughtUp(raft), m_policy, now);
      if (step) {
        (void)raft.ProposeChange(now, step->m_change);
      }
    }
    ExecuteActions(node);
    if (aVm.m_stopSince && MayEnd(raft, aVm, now)) {
      Kill(aId);
    }
  }

  bool MayEnd(const Raft& aRaft, const Vm& aVm, TimePoint aNow) const
  {
    const bool awaits =
      !aRaft.MembershipCommitted() ||
      ShouldAwaitDemotion(
        aRaft.CurrentMembership(), aRaft.Self(), aVm.m_known, m_policy, aNow);
    return !awaits || m_nowMs - *aVm.m_stopSince >= kMaxStopMs - 500;
  }

  void MaybeForm(MemberId aId, const Vm& aVm)
  {
    std::set<std::string> seeds;
    for (int address = 1; address <= kSeeds; ++address) {
      seeds.insert(AddressOf(address));
    }
    seeds.erase(AddressOf(aVm.m_address));
    Raft& raft = *m_nodes.at(aId).m_raft;
    if (raft.LastPosition().m_index != 0 || raft.LeaderId() != 0) {
      return;
    }
    const wire::ControlHello self = HelloOf(aId);
    if (const auto* formation = FindFormation(aId, aVm.m_known)) {
      (void)raft.Bootstrap(Now(aId), *formation);
    } else if (MayFormCluster(self, seeds, aVm.m_known)) {
      (void)raft.Bootstrap(Now(aId),
                           FirstMembership(self, seeds, aVm.m_known, m_policy));
    }
  }

  static std::set<MemberId> CaughtUp(const Raft& aRaft)
  {
    std::set<MemberId> ids;
    for (const wire::Member& member : aRaft.CurrentMembership().members) {
      const auto match = aRaft.MatchIndex(member.memberId);
      if (member.memberId == aRaft.Self() ||
          (match && *match >= aRaft.CommitIndex())) {
        ids.insert(member.memberId);
      }
    }
    return ids;
  }

  LogPosition Propose(Raft& aLeader)
  {
    const MemberId id = aLeader.Self();
    ChangeGate gate(m_losses, m_policy);
    if (!gate.MayAccept(
          aLeader.CurrentMembership(), id, m_vms.at(id).m_known, Now(id))) {
      return {};
    }
    const auto proposed =
      aLeader.Propose(Now(id), "change " + std::to_string(++m_changes));
    ExecuteActions(m_nodes.at(id));
    return proposed ? proposed.value() : LogPosition{};
  }

  MembershipPolicyOptions m_policy;
  size_t m_losses = 0;
  int m_lastAddress = 0;
  int64_t m_changes = 0;
  int64_t m_acknowledged = 0; // last log index of an acknowledged change
  std::map<MemberId, Vm> m_vms;
};

} // namespace wigeonfold::consensus
