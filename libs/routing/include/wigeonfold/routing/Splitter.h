// Weighted split of a route's requests over its services.
#pragma once

#include "wigeonfold/routing/View.h"

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::routing {

// Smooth weighted round robin: over any sequence of consecutive requests of a
// route, each service gets the share that its weight sets, to within one
// request. A service at capacity keeps its share; requests beyond its capacity
// are rejected, not sent to another service. Not thread safe.
class Splitter
{
public:
  // The seed sets the position at which the rotation starts, so that many nodes
  // with few requests each do not all send their first ones to the same
  // service.
  explicit Splitter(uint64_t aSeed);

  // The part, and with it the service, for the next request. Precondition:
  // aRoute has at least one part of a weight above 0.
  const RoutePart& Next(const RequestRoute& aRoute);

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
