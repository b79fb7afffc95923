#include "wigeonfold/forwarding/HedgePolicy.h"

namespace wigeonfold::forwarding {

namespace {

// Latency quantile after which a request counts as slow.
constexpr double kSlowQuantile = 0.95;
constexpr double kMedian = 0.5;

} // namespace

const char* ToString(HedgeVerdict aVerdict)
{
  switch (aVerdict) {
    case HedgeVerdict::Send:
      return "sent";
    case HedgeVerdict::NoTokens:
      return "no-tokens";
    case HedgeVerdict::Overloaded:
      return "overloaded";
    case HedgeVerdict::HedgesRefused:
      return "hedges-refused";
    case HedgeVerdict::TooLate:
      return "too-late";
  }
  return "";
}

std::optional<Duration> HedgePolicy::OnFirstAttempt(const std::string& aRoute,
                                                    int aPercent)
{
  Route& route = m_routes[aRoute];
  route.m_budget.OnFirstAttempt(aPercent);
  return route.m_latency.Quantile(kSlowQuantile);
}

void HedgePolicy::OnAnswer(const std::string& aRoute,
                           Duration aLatency,
                           TimePoint aNow)
{
  m_routes[aRoute].m_latency.Note(aLatency, aNow);
}

void HedgePolicy::OnAttemptEnded(const std::string& aService,
                                 bool aOverloaded,
                                 TimePoint aNow)
{
  m_guards[aService].OnAttemptEnded(aOverloaded, aNow);
}

HedgeVerdict HedgePolicy::Judge(const HedgeCandidate& aCandidate,
                                TimePoint aNow) const
{
  const auto route = m_routes.find(aCandidate.m_route);
  if (route == m_routes.end() || !route->second.m_budget.MayHedge()) {
    return HedgeVerdict::NoTokens;
  }
  const auto usual = route->second.m_latency.Quantile(kMedian);
  if (!usual || aNow + *usual >= aCandidate.m_deadline) {
    return HedgeVerdict::TooLate;
  }
  const auto guard = m_guards.find(aCandidate.m_service);
  if (guard == m_guards.end()) {
    return HedgeVerdict::Send;
  }
  if (guard->second.IsOverloaded(aNow)) {
    return HedgeVerdict::Overloaded;
  }
  return guard->second.AreHedgesRefused(aNow) ? HedgeVerdict::HedgesRefused
                                              : HedgeVerdict::Send;
}

void HedgePolicy::OnHedgeSent(const HedgeCandidate& aCandidate)
{
  m_routes[aCandidate.m_route].m_budget.Take();
}

void HedgePolicy::OnHedgeEnded(const HedgeCandidate& aCandidate,
                               bool aRefused,
                               TimePoint aNow)
{
  m_guards[aCandidate.m_service].OnHedgeEnded(aRefused, aNow);
  if (aRefused) {
    m_routes[aCandidate.m_route].m_budget.Return();
  }
}

} // namespace wigeonfold::forwarding
