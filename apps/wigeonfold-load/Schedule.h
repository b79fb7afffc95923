// Seeded schedule of arrivals.
#pragma once

#include "Experiment.h"

#include <optional>
#include <random>

namespace wigeonfold::load {

struct Arrival
{
  Duration m_at = Duration::zero(); // since the start of the run
  size_t m_phase = 0;
  size_t m_clientAccount = 0; // index in Experiment::m_clientAccounts
  size_t m_class = 0;         // index in Experiment::m_classes
  // Random; the remainder by the number of nodes or targets selects one.
  uint64_t m_selector = 0;

  bool operator==(const Arrival&) const = default;
};

// Poisson arrivals at the rate of each phase. The schedule depends only on the
// experiment and its seed, not on the answers. Not thread safe.
class Schedule
{
public:
  explicit Schedule(const Experiment& aExperiment);

  // The next arrival, in order of time; nothing after the last phase.
  std::optional<Arrival> Next();

private:
  struct PhasePlan
  {
    Duration m_end = Duration::zero(); // since the start of the run
    double m_rate = 0;                 // per second
    std::discrete_distribution<size_t> m_clientAccounts;
  };

  std::vector<PhasePlan> m_plans;
  std::discrete_distribution<size_t> m_classes;
  std::mt19937_64 m_random;
  size_t m_phase = 0;
  Duration m_now = Duration::zero();
};

} // namespace wigeonfold::load
