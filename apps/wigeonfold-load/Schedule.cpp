#include "Schedule.h"

namespace wigeonfold::load {

namespace {

constexpr double kPercent = 100.0;

std::vector<double> ClientAccountWeights(const Experiment& aExperiment,
                                         const Phase& aPhase)
{
  std::vector<double> weights;
  for (const ClientAccount& account : aExperiment.m_clientAccounts) {
    const bool surges = account.m_path == aPhase.m_surgeAccount;
    weights.push_back(account.m_share *
                      (surges ? aPhase.m_surgePercent / kPercent : 1.0));
  }
  return weights;
}

double Sum(const std::vector<double>& aValues)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += value;
  }
  return sum;
}

} // namespace

Schedule::Schedule(const Experiment& aExperiment)
  : m_random(aExperiment.m_seed)
{
  const double baseWeight = Sum(ClientAccountWeights(aExperiment, Phase{}));
  Duration end = Duration::zero();
  for (const Phase& phase : aExperiment.m_phases) {
    const auto weights = ClientAccountWeights(aExperiment, phase);
    end += phase.m_length;
    const double surgeFactor = Sum(weights) / baseWeight;
    m_plans.push_back(
      { end,
        aExperiment.m_rate * phase.m_ratePercent / kPercent * surgeFactor,
        std::discrete_distribution<size_t>(weights.begin(), weights.end()) });
  }
  std::vector<double> classWeights;
  for (const RequestClass& requestClass : aExperiment.m_classes) {
    classWeights.push_back(requestClass.m_weight);
  }
  m_classes = std::discrete_distribution<size_t>(classWeights.begin(),
                                                 classWeights.end());
}

std::optional<Arrival> Schedule::Next()
{
  while (m_phase < m_plans.size()) {
    PhasePlan& plan = m_plans[m_phase];
    if (plan.m_rate > 0) {
      std::exponential_distribution<double> gap(plan.m_rate);
      m_now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(m_random)));
      if (m_now < plan.m_end) {
        const size_t account = plan.m_clientAccounts(m_random);
        const size_t classIndex = m_classes(m_random);
        return Arrival{ m_now, m_phase, account, classIndex, m_random() };
      }
    }
    // Poisson arrivals are memoryless, so the gap that reaches past the end of
    // the phase is dropped and a new one is drawn at the rate of the next.
    m_now = plan.m_end;
    ++m_phase;
  }
  return std::nullopt;
}

} // namespace wigeonfold::load
