// Values that a quorum of the voters has reached.
#pragma once

#include "wigeonfold/consensus/Membership.h"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

namespace wigeonfold::consensus {

// The greatest value that a quorum of aMembership has reached, aNone when the
// voters that are left can't form one. aValueOf returns the value of a member.
// Members in aLost don't count. Thread safe.
template<class Value, class ValueOf>
Value ValueOfQuorum(const wire::Membership& aMembership,
                    const std::set<MemberId>& aLost,
                    Value aNone,
                    ValueOf aValueOf)
{
  std::vector<Value> values;
  for (const wire::Member& member : aMembership.members) {
    if (member.voter && aLost.count(member.memberId) == 0) {
      values.push_back(aValueOf(member.memberId));
    }
  }
  const size_t voters = VoterCount(aMembership);
  const size_t needed = QuorumSizeAfterLoss(voters, voters - values.size());
  if (values.size() < needed) {
    return aNone;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[needed - 1];
}

} // namespace wigeonfold::consensus
