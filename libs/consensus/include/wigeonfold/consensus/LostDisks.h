// Tells which members have lost their disks, from the ids that their addresses
// answer with.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/consensus/Membership.h"
#include "wigeonfold/consensus/MembershipPolicy.h"

#include <map>
#include <set>

namespace wigeonfold::consensus {

// A member's id lives in its data folder, and an address has one folder at a
// time. So a member is gone for good when its address answers with another id
// over a connection that this VM began to open after it knew of the member: the
// member's folder was there before, and another one is there now. A hello alone
// proves nothing, since an old one may have been held up on its way. Not thread
// safe.
class LostDisks
{
public:
  LostDisks() = default;
  // With the memberships in this VM's log at its start, before it opens any
  // connection.
  LostDisks(const wire::Membership& aCurrent, const wire::Membership& aPrevious)
  {
    Update(aCurrent, aPrevious, TimePoint::min());
  }

  // Call with the newest membership in this VM's log, and the one before it
  // while the newest is uncommitted, at the time at which they are seen.
  void Update(const wire::Membership& aCurrent,
              const wire::Membership& aPrevious,
              TimePoint aNow);

  // The members of these memberships whose disks are lost. aVms is keyed by
  // member id.
  std::set<MemberId> Find(const std::map<MemberId, ControlVmState>& aVms) const;

private:
  struct KnownMember
  {
    std::string m_peerAddress;
    TimePoint m_since;
  };

  // Precondition: aId is a known member.
  bool IsLost(MemberId aId,
              const std::map<MemberId, ControlVmState>& aVms) const;

  std::map<MemberId, KnownMember> m_members;
};

} // namespace wigeonfold::consensus
