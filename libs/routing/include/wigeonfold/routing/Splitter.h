// Weighted split of a route's requests over its services.
#pragma once

#include "wigeonfold/routing/View.h"

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::routing {

// Smooth weighted round robin: over any run of requests of a route, each
// service gets its weight's share to within one request. A service without
// room keeps its share; what does not fit there is rejected, not moved. Not
// thread safe.
class Splitter
{
public:
  // The seed sets the phase, so that many nodes with few requests each do not
  // all send their first ones to the same service.
  explicit Splitter(uint64_t aSeed);

  // Precondition: aRoute has parts, at least one of weight above 0.
  const ServiceRoute& Next(const RequestRoute& aRoute);

private:
  struct State
  {
    std::vector<int64_t> m_weights;
    std::vector<int64_t> m_credits;
  };

  static size_t Step(State& aState);

  std::mt19937_64 m_random;
  std::unordered_map<std::string, State> m_states; // by route name
};

} // namespace wigeonfold::routing
