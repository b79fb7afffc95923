#include "wigeonfold/forwarding/HedgeGuard.h"

#include <cmath>

namespace wigeonfold::forwarding {

namespace {

constexpr double kMaxOverloadedShare = 0.25;
// Fewer attempts tell nothing of the service.
constexpr double kMinAttempts = 4;
constexpr double kMaxRefusedShare = 0.5;
// One refused hedge may have met a burst at its target.
constexpr double kMinHedges = 2;

} // namespace

// ---- RecentShare -----------------------------------------------------------

double RecentShare::Factor(TimePoint aNow) const
{
  return std::exp2(
    -(std::chrono::duration<double>(aNow - m_updatedAt) / m_halfLife));
}

void RecentShare::Note(bool aHasProperty, TimePoint aNow)
{
  const double factor = Factor(aNow);
  m_all = m_all * factor + 1;
  m_marked = m_marked * factor + (aHasProperty ? 1 : 0);
  m_updatedAt = aNow;
}

bool RecentShare::Exceeds(double aLimit,
                          double aMinEvents,
                          TimePoint aNow) const
{
  return m_all * Factor(aNow) >= aMinEvents && m_marked > aLimit * m_all;
}

// ---- HedgeGuard ------------------------------------------------------------

void HedgeGuard::OnAttemptEnded(bool aOverloaded, TimePoint aNow)
{
  m_overloaded.Note(aOverloaded, aNow);
}

void HedgeGuard::OnHedgeEnded(bool aRefused, TimePoint aNow)
{
  m_refused.Note(aRefused, aNow);
}

bool HedgeGuard::IsOverloaded(TimePoint aNow) const
{
  return m_overloaded.Exceeds(kMaxOverloadedShare, kMinAttempts, aNow);
}

bool HedgeGuard::AreHedgesRefused(TimePoint aNow) const
{
  return m_refused.Exceeds(kMaxRefusedShare, kMinHedges, aNow);
}

} // namespace wigeonfold::forwarding
