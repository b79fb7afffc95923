#include "wigeonfold/consensus/MembershipPolicy.h"

#include <algorithm>

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

// One run of the policy over the present state.
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
    for (const auto step : { &Policy::RemoveWiped,
                             &Policy::AddLearner,
                             &Policy::PromoteLearner,
                             &Policy::DemoteSilent,
                             &Policy::ForgetLearner }) {
      if (auto found = (this->*step)()) {
        return found;
      }
    }
    return std::nullopt;
  }

private:
  Duration Silence(MemberId aId) const
  {
    if (aId == m_self) {
      return Duration::zero();
    }
    const auto vm = m_vms.find(aId);
    return vm == m_vms.end() ? Duration::max() : m_now - vm->second.m_contactAt;
  }

  bool InContact(MemberId aId) const
  {
    return Silence(aId) < m_options.m_replaceAfter;
  }

  // Whether the voters in contact, the one left out, have a quorum of what
  // remains.
  bool QuorumWithout(MemberId aLeftOut) const
  {
    size_t rest = 0;
    size_t contacts = 0;
    for (const wire::Member& member : m_membership.members) {
      if (member.voter && member.memberId != aLeftOut) {
        ++rest;
        contacts += InContact(member.memberId) ? 1 : 0;
      }
    }
    return rest > 0 && contacts >= rest / 2 + 1;
  }

  std::optional<MembershipStep> RemoveWiped() const
  {
    for (const auto& [id, vm] : m_vms) {
      if (FindMember(m_membership, id) != nullptr || !InContact(id)) {
        continue;
      }
      for (const wire::Member& member : m_membership.members) {
        const bool samePlace = member.name == vm.m_hello.name ||
                               member.peerAddress == vm.m_hello.peerAddress;
        const auto old = m_vms.find(member.memberId);
        const bool isLater =
          old == m_vms.end() || old->second.m_helloAt < vm.m_helloAt;
        if (samePlace && isLater && member.memberId != m_self &&
            QuorumWithout(member.memberId)) {
          return MembershipStep{ { Kind::Remove, member },
                                 "its place answers under another id" };
        }
      }
    }
    return std::nullopt;
  }

  std::optional<MembershipStep> AddLearner() const
  {
    for (const auto& [id, vm] : m_vms) {
      const bool taken =
        std::any_of(m_membership.members.begin(),
                    m_membership.members.end(),
                    [&vm = vm](const wire::Member& aMember) {
                      return aMember.memberId == vm.m_hello.memberId ||
                             aMember.peerAddress == vm.m_hello.peerAddress;
                    });
      if (!taken && InContact(id)) {
        return MembershipStep{ { Kind::AddLearner, ToMember(vm.m_hello) },
                               "in contact and no member" };
      }
    }
    return std::nullopt;
  }

  const wire::Member* ReadyLearner() const
  {
    for (const wire::Member& member : m_membership.members) {
      if (!member.voter && InContact(member.memberId) &&
          m_caughtUp.count(member.memberId) > 0) {
        return &member;
      }
    }
    return nullptr;
  }

  std::optional<MembershipStep> PromoteLearner() const
  {
    const wire::Member* learner = ReadyLearner();
    if (learner == nullptr || VoterCount(m_membership) >= m_options.m_voters) {
      return std::nullopt;
    }
    return MembershipStep{ { Kind::Promote, *learner },
                           "caught up while voters are missing" };
  }

  std::optional<MembershipStep> DemoteSilent() const
  {
    if (ReadyLearner() == nullptr) {
      return std::nullopt;
    }
    for (const wire::Member& member : m_membership.members) {
      if (member.voter && !InContact(member.memberId) &&
          QuorumWithout(member.memberId)) {
        return MembershipStep{ { Kind::Demote, member },
                               "silent while a learner can take its place" };
      }
    }
    return std::nullopt;
  }

  std::optional<MembershipStep> ForgetLearner() const
  {
    for (const wire::Member& member : m_membership.members) {
      if (!member.voter &&
          Silence(member.memberId) >= m_options.m_removeAfter) {
        return MembershipStep{ { Kind::Remove, member },
                               "a learner silent for long" };
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

} // namespace wigeonfold::consensus
