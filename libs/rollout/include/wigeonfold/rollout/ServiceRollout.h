// The rollout of a service, as a node reads it from the settings tree.
#pragma once

#include "wigeonfold/settings/Tree.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::rollout {

enum class Phase
{
  Canary,    // running; a share of the requests goes to the version
  Full,      // running; the version gets all requests
  Completed, // the version gets all requests
  Reverted,  // rolled back or stopped; the version gets no requests
};

// "canary", "full", "completed" or "reverted".
const char* ToString(Phase aPhase);

struct ServiceRollout
{
  std::string m_version; // of the software
  Phase m_phase = Phase::Reverted;
  int m_exposurePercent = 0; // of the first attempts, in the phase Canary
  std::string m_orderId;

  bool IsRunning() const
  {
    return m_phase == Phase::Canary || m_phase == Phase::Full;
  }
};

// Reads the branch rollouts/<service>; nothing if there is none or if it names
// no version. A state or stage that this version of the software doesn't know
// counts as Reverted, which gives the version no requests. Thread safe.
std::optional<ServiceRollout> ReadServiceRollout(const settings::Tree& aTree,
                                                 const std::string& aService);

// Names of the services with a running rollout, in order. Thread safe.
std::vector<std::string> RunningRollouts(const settings::Tree& aTree);

} // namespace wigeonfold::rollout
