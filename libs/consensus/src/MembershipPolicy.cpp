#include "wigeonfold/consensus/MembershipPolicy.h"

#include <algorithm>
#include <tuple>

namespace wigeonfold::consensus {

namespace {

using Kind = MembershipChangeKind;
using Vms = std::map<MemberId, ControlVmState>;

wire::Member ToMember(const wire::ControlHello& aHello)
{
  wire::Member member;
  member.memberId = aHello.memberId;
  member.name = aHello.name;
  member.availabilityZone = aHello.availabilityZone;
  member.peerAddress = aHello.peerAddress;
  member.apiAddress = aHello.apiAddress;
  member.nodeAddress = aHello.nodeAddress;
  member.operatorAddress = aHello.operatorAddress;
  member.voter = false;
  return member;
}

bool IsStopping(const Vms& aVms, MemberId aId)
{
  const auto vm = aVms.find(aId);
  return vm != aVms.end() && vm->second.m_hello.stopping;
}

// The voters that aMatches selects.
template<class Predicate>
size_t CountVoters(const wire::Membership& aMembership, Predicate aMatches)
{
  const auto& members = aMembership.members;
  return static_cast<size_t>(std::count_if(
    members.begin(), members.end(), [&](const wire::Member& aMember) {
      return aMember.voter && aMatches(aMember.memberId);
    }));
}

// Evaluates the rules of NextMembershipStep for one state.
class Policy
{
public:
  Policy(const wire::Membership& aMembership,
         MemberId aSelf,
         const Vms& aVms,
         const std::set<MemberId>& aCaughtUp,
         const MembershipPolicyOptions& aOptions,
         TimePoint aNow)
    : m_membership(aMembership)
    , m_self(aSelf)
    , m_vms(aVms)
    , m_caughtUp(aCaughtUp)
    , m_options(aOptions)
    , m_now(aNow)
  {
  }

  std::optional<MembershipStep> Next() const
  {
    for (const auto step : { &Policy::RemoveMemberWithLostDisk,
                             &Policy::AddLearner,
                             &Policy::PromoteLearner,
                             &Policy::DemoteStoppingVoter,
                             &Policy::DemoteSurplusVoter,
                             &Policy::PromoteSuccessorOfUnreachableVoter,
                             &Policy::RemoveUnreachableLearner }) {
      if (auto found = (this->*step)()) {
        return found;
      }
    }
    return std::nullopt;
  }

private:
  Duration TimeSinceContact(MemberId aId) const
  {
    if (aId == m_self) {
      return Duration::zero();
    }
    const auto vm = m_vms.find(aId);
    return vm == m_vms.end() ? Duration::max() : m_now - vm->second.m_contactAt;
  }

  bool InContact(MemberId aId) const
  {
    return TimeSinceContact(aId) < m_options.m_replaceAfter;
  }

  size_t StayingVoters() const
  {
    return CountVoters(
      m_membership, [this](MemberId aId) { return !IsStopping(m_vms, aId); });
  }

  // Whether the voters in contact form a quorum of all voters but the excluded
  // one.
  bool HasQuorumWithout(MemberId aExcluded) const
  {
    size_t otherVoters = 0;
    size_t votersInContact = 0;
    for (const wire::Member& member : m_membership.members) {
      if (member.voter && member.memberId != aExcluded) {
        ++otherVoters;
        votersInContact += InContact(member.memberId) ? 1 : 0;
      }
    }
    return otherVoters > 0 && votersInContact >= otherVoters / 2 + 1;
  }

  size_t VotersInContact() const
  {
    return CountVoters(m_membership,
                       [this](MemberId aId) { return InContact(aId); });
  }

  // Whether one more voter and the voters in contact form a quorum.
  bool HasQuorumWithNewVoter() const
  {
    return VotersInContact() + 1 >=
           QuorumSizeAfterLoss(VoterCount(m_membership) + 1, 0);
  }

  std::optional<MembershipStep> RemoveMemberWithLostDisk() const
  {
    for (const auto& [id, vm] : m_vms) {
      if (FindMember(m_membership, id) != nullptr || !InContact(id)) {
        continue;
      }
      for (const wire::Member& member : m_membership.members) {
        const bool sameVm = member.name == vm.m_hello.name ||
                            member.peerAddress == vm.m_hello.peerAddress;
        const auto previous = m_vms.find(member.memberId);
        const bool isLater =
          previous == m_vms.end() || previous->second.m_helloAt < vm.m_helloAt;
        if (sameVm && isLater && member.memberId != m_self &&
            HasQuorumWithout(member.memberId)) {
          return MembershipStep{ { Kind::Remove, member },
                                 "its name or address has a new member id" };
        }
      }
    }
    return std::nullopt;
  }

  std::optional<MembershipStep> AddLearner() const
  {
    for (const auto& [id, vm] : m_vms) {
      const bool isKnown =
        std::any_of(m_membership.members.begin(),
                    m_membership.members.end(),
                    [&vm = vm](const wire::Member& aMember) {
                      return aMember.memberId == vm.m_hello.memberId ||
                             aMember.peerAddress == vm.m_hello.peerAddress;
                    });
      if (!isKnown && InContact(id)) {
        return MembershipStep{ { Kind::AddLearner, ToMember(vm.m_hello) },
                               "in contact but not a member" };
      }
    }
    return std::nullopt;
  }

  size_t VotersInZone(const std::string& aZone) const
  {
    const auto& members = m_membership.members;
    return static_cast<size_t>(std::count_if(
      members.begin(), members.end(), [&aZone](const wire::Member& aMember) {
        return aMember.voter && aMember.availabilityZone == aZone;
      }));
  }

  // The best learner has the least rank: one that was not heard of lately may
  // have ended; then a zone with few voters goes first, so that a zone that is
  // cut off takes few along; then the one heard of last.
  std::tuple<bool, size_t, Duration> RankOf(const wire::Member& aLearner) const
  {
    const Duration silence = TimeSinceContact(aLearner.memberId);
    return { silence > m_options.m_recentContact,
             VotersInZone(aLearner.availabilityZone),
             silence };
  }

  const wire::Member* FindPromotableLearner() const
  {
    const wire::Member* best = nullptr;
    for (const wire::Member& member : m_membership.members) {
      const MemberId id = member.memberId;
      const bool isPromotable = !member.voter && InContact(id) &&
                                !IsStopping(m_vms, id) &&
                                m_caughtUp.count(id) > 0;
      if (isPromotable && (best == nullptr || RankOf(member) < RankOf(*best))) {
        best = &member;
      }
    }
    return best;
  }

  std::optional<MembershipStep> PromoteLearner() const
  {
    const wire::Member* learner = FindPromotableLearner();
    const size_t staying = StayingVoters();
    const size_t wanted = m_options.m_voters + m_options.m_standbyVoters;
    const bool isStandby = staying >= m_options.m_voters;
    if (learner == nullptr || staying >= wanted ||
        (isStandby && !HasQuorumWithNewVoter())) {
      return std::nullopt;
    }
    return MembershipStep{ { Kind::Promote, *learner },
                           "caught up and voters are missing" };
  }

  std::optional<MembershipStep> DemoteStoppingVoter() const
  {
    for (const wire::Member& member : m_membership.members) {
      if (member.voter && IsStopping(m_vms, member.memberId) &&
          StayingVoters() >= m_options.m_voters &&
          HasQuorumWithout(member.memberId)) {
        return MembershipStep{ { Kind::Demote, member },
                               "it is stopping and was replaced" };
      }
    }
    return std::nullopt;
  }

  // A voter that had said that it was stopping, and was replaced, is back.
  std::optional<MembershipStep> DemoteSurplusVoter() const
  {
    const size_t staying = StayingVoters();
    if (staying <= m_options.m_voters) {
      return std::nullopt;
    }
    const wire::Member* surplus = nullptr;
    for (const wire::Member& member : m_membership.members) {
      if (member.voter && member.memberId != m_self &&
          (surplus == nullptr || InContact(surplus->memberId))) {
        surplus = &member;
      }
    }
    const bool isStandby =
      staying <= m_options.m_voters + m_options.m_standbyVoters &&
      surplus != nullptr && InContact(surplus->memberId);
    if (surplus == nullptr || isStandby ||
        !HasQuorumWithout(surplus->memberId)) {
      return std::nullopt;
    }
    return MembershipStep{ { Kind::Demote, *surplus },
                           "more voters than wanted" };
  }

  // Before the voter is demoted, as one too many: if it is back by then, the
  // group bears the loss of another one, which two voters would not.
  std::optional<MembershipStep> PromoteSuccessorOfUnreachableVoter() const
  {
    const wire::Member* learner = FindPromotableLearner();
    if (learner == nullptr || VotersInContact() == VoterCount(m_membership) ||
        !HasQuorumWithNewVoter()) {
      return std::nullopt;
    }
    return MembershipStep{ { Kind::Promote, *learner },
                           "caught up and a voter has no contact" };
  }

  std::optional<MembershipStep> RemoveUnreachableLearner() const
  {
    for (const wire::Member& member : m_membership.members) {
      if (!member.voter &&
          TimeSinceContact(member.memberId) >= m_options.m_removeAfter) {
        return MembershipStep{ { Kind::Remove, member },
                               "a learner without contact for too long" };
      }
    }
    return std::nullopt;
  }

  const wire::Membership& m_membership;
  const MemberId m_self;
  const Vms& m_vms;
  const std::set<MemberId>& m_caughtUp;
  const MembershipPolicyOptions& m_options;
  const TimePoint m_now;
};

} // namespace

std::optional<MembershipStep> NextMembershipStep(
  const wire::Membership& aMembership,
  MemberId aSelf,
  const Vms& aVms,
  const std::set<MemberId>& aCaughtUp,
  const MembershipPolicyOptions& aOptions,
  TimePoint aNow)
{
  return Policy(aMembership, aSelf, aVms, aCaughtUp, aOptions, aNow).Next();
}

bool HasReplacement(const wire::Membership& aMembership,
                    MemberId aSelf,
                    const Vms& aVms,
                    const MembershipPolicyOptions& aOptions,
                    TimePoint aNow)
{
  return std::any_of(aVms.begin(), aVms.end(), [&](const auto& aVm) {
    const auto& [id, vm] = aVm;
    return id != aSelf && !IsVoter(aMembership, id) && !vm.m_hello.stopping &&
           aNow - vm.m_contactAt < aOptions.m_replaceAfter;
  });
}

VoterOutlook MakeVoterOutlook(const wire::Membership& aMembership,
                              MemberId aSelf,
                              const Vms& aVms,
                              const MembershipPolicyOptions& aOptions,
                              TimePoint aNow)
{
  VoterOutlook outlook;
  outlook.m_hasReplacement =
    VoterCount(aMembership) > aOptions.m_voters ||
    HasReplacement(aMembership, aSelf, aVms, aOptions, aNow);
  for (const auto& [id, vm] : aVms) {
    if (vm.m_hello.stopping) {
      outlook.m_stopping.insert(id);
    }
  }
  return outlook;
}

bool ShouldAwaitDemotion(const wire::Membership& aMembership,
                         MemberId aSelf,
                         const Vms& aVms,
                         const MembershipPolicyOptions& aOptions,
                         TimePoint aNow)
{
  if (!IsVoter(aMembership, aSelf)) {
    return false;
  }
  const size_t others = CountVoters(aMembership, [&](MemberId aId) {
    return aId != aSelf && !IsStopping(aVms, aId);
  });
  return others >= aOptions.m_voters ||
         HasReplacement(aMembership, aSelf, aVms, aOptions, aNow);
}

namespace {

// Whether the VM's address has answered with another id since.
bool IsSuperseded(const ControlVmState& aVm, const Vms& aVms)
{
  return std::any_of(aVms.begin(), aVms.end(), [&](const auto& aOther) {
    const ControlVmState& other = aOther.second;
    return other.m_hello.memberId != aVm.m_hello.memberId &&
           other.m_hello.peerAddress == aVm.m_hello.peerAddress &&
           other.m_helloAt > aVm.m_helloAt;
  });
}

wire::Member ToVoter(const wire::ControlHello& aHello)
{
  wire::Member member = ToMember(aHello);
  member.voter = true;
  return member;
}

} // namespace

bool MayFormCluster(const wire::ControlHello& aSelf,
                    const std::set<std::string>& aSeeds,
                    const Vms& aVms)
{
  if (!aSelf.mayBootstrap || aSelf.hasLog) {
    return false;
  }
  std::set<std::string> missing = aSeeds;
  for (const auto& [id, vm] : aVms) {
    const wire::ControlHello& hello = vm.m_hello;
    if (IsSuperseded(vm, aVms)) {
      continue;
    }
    if (hello.hasLog || !hello.clusterId.empty()) {
      return false;
    }
    const bool isSeed = missing.erase(hello.peerAddress) > 0;
    if (isSeed && hello.mayBootstrap && hello.peerAddress < aSelf.peerAddress) {
      return false;
    }
  }
  return missing.empty();
}

wire::Membership FirstMembership(const wire::ControlHello& aSelf,
                                 const std::set<std::string>& aSeeds,
                                 const Vms& aVms,
                                 const MembershipPolicyOptions& aOptions)
{
  wire::Membership membership;
  membership.members.push_back(ToVoter(aSelf));
  constexpr size_t kVoters = 3;
  if (aSeeds.size() + 1 < kVoters || aOptions.m_voters < kVoters) {
    return membership;
  }
  for (const auto& [id, vm] : aVms) {
    if (membership.members.size() < kVoters && !IsSuperseded(vm, aVms) &&
        aSeeds.count(vm.m_hello.peerAddress) > 0) {
      membership.members.push_back(ToVoter(vm.m_hello));
    }
  }
  return membership;
}

const wire::Membership* FindFormation(MemberId aSelf, const Vms& aVms)
{
  for (const auto& [id, vm] : aVms) {
    if (vm.m_hello.__isset.formation && IsVoter(vm.m_hello.formation, aSelf)) {
      return &vm.m_hello.formation;
    }
  }
  return nullptr;
}

} // namespace wigeonfold::consensus
