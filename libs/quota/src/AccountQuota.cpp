#include "wigeonfold/quota/AccountQuota.h"

#include "wigeonfold/base/Hash.h"

#include <algorithm>

namespace wigeonfold::quota {

namespace {

using Seconds = std::chrono::duration<double>;

// Parts of the burst and the tolerance that all nodes together may admit
// before the control VMs react: by their rates, and by their bursts. The rest
// covers the time in which a partition is not noticed yet.
constexpr double kRatePart = 0.45;
constexpr double kBurstPart = 0.2;
// Part of the tolerance that nodes without control VMs may use. They admit
// parts of requests by chance, so the rest is two standard deviations of a
// small account.
constexpr double kStaticPart = 0.5;

double PerNode(double aAll, int aNodes)
{
  return aAll / std::max(aNodes, 1);
}

} // namespace

int32_t HashOf(const std::string& aPath)
{
  return static_cast<int32_t>(Hash64(aPath));
}

double ToleranceOf(const AccountQuota& aQuota)
{
  const double window = Seconds(kWindow).count();
  return kOvershoot * (aQuota.m_rate * window + aQuota.m_burst) + kSlack;
}

Allowance UnlimitedAllowance(const AccountQuota& aQuota, int aNodes)
{
  const double beyond = aQuota.m_burst + ToleranceOf(aQuota);
  const double extraRate = kRatePart * beyond / Seconds(kReaction).count();
  return { PerNode(aQuota.m_rate + extraRate, aNodes),
           std::max(PerNode(kBurstPart * beyond, aNodes), kMinLocalBurst) };
}

Allowance StaticAllowance(const AccountQuota& aQuota, int aNodes)
{
  const double burst = aQuota.m_burst + kStaticPart * ToleranceOf(aQuota);
  return { PerNode(aQuota.m_rate, aNodes),
           std::min(PerNode(burst, aNodes), 1.0) };
}

} // namespace wigeonfold::quota
