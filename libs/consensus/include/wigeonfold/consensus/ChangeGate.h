// Decides whether the group is large enough to acknowledge a change.
#pragma once

#include "wigeonfold/consensus/MembershipPolicy.h"

namespace wigeonfold::consensus {

// A majority of V voters has synced a change that is acknowledged. The group
// keeps it and elects a leader after the loss of n disks only if the V - n
// voters that are left are still a majority: V >= 2n + 1. With n + 1 voters the
// change is on enough disks, but one lost disk ends the group for good. So a
// change waits while VMs in contact are about to become voters; it doesn't wait
// for VMs that are lost already. Deterministic; not thread safe.
class ChangeGate
{
public:
  // aLosses is n, the number of disks that may be lost at once.
  ChangeGate(size_t aLosses, const MembershipPolicyOptions& aOptions);

  // Whether the leader aSelf may accept a change now. aVms is keyed by member
  // id.
  bool MayAccept(const wire::Membership& aMembership,
                 MemberId aSelf,
                 const std::map<MemberId, ControlVmState>& aVms,
                 TimePoint aNow);

  // A VM in contact that has not become a voter for this long is not waited for
  // any more: its disk may be stalled.
  static constexpr Duration kMaxWait = std::chrono::seconds(2);

private:
  const size_t m_losses;
  const MembershipPolicyOptions m_options;
  std::optional<TimePoint> m_waitingSince;
};

} // namespace wigeonfold::consensus
