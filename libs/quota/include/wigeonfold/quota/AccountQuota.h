// Quota of a client account and the bound on what may run beyond it.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <string>

namespace wigeonfold::quota {

struct AccountQuota
{
  std::string m_path; // of the account's branch, "offices/arita/shop"
  double m_rate = 0;  // requests per second over all nodes; greater than 0
  double m_burst = 0; // requests beyond the rate at once

  bool operator==(const AccountQuota&) const = default;
};

// Names an account in messages. Two accounts with the same hash share their
// limits, which is rare enough (1 in 1.6 million for 73 accounts) to accept.
int32_t HashOf(const std::string& aPath);

// In any window of kWindow at most (rate x kWindow + burst) x (1 + kOvershoot)
// + kSlack requests of an account run. A token bucket that is debited by all
// of them and may become negative keeps that if its level never falls below
// -ToleranceOf().
inline constexpr std::chrono::seconds kWindow{ 5 };
inline constexpr double kOvershoot = 0.1;
inline constexpr double kSlack = 20;

// Requests by which the account's bucket may be in debt.
double ToleranceOf(const AccountQuota& aQuota);

// How long it may take until the control VMs have reacted to a change of
// demand: a report of the node (0.3 s), the exchange between control VMs
// (0.3 s) and a heartbeat (0.3 s).
inline constexpr Duration kReaction = std::chrono::milliseconds(900);

// What a node may admit: a token bucket.
struct Allowance
{
  double m_rate = 0; // requests per second
  double m_burst = 0;
};

// Of a node that the control VMs know and have not limited. All nodes together
// admit at most the burst and the tolerance beyond the rate within kReaction,
// except for accounts whose part at a node is below kMinLocalBurst requests.
Allowance UnlimitedAllowance(const AccountQuota& aQuota, int aNodes);
// Of a node without a control VM: keeps the bound whatever the others do.
Allowance StaticAllowance(const AccountQuota& aQuota, int aNodes);

// Smallest burst of UnlimitedAllowance. An account with less than a request
// per second at a node has no whole request to split, and a node that admitted
// part of a request only would refuse most of an ordinary demand.
inline constexpr double kMinLocalBurst = 3;

} // namespace wigeonfold::quota
