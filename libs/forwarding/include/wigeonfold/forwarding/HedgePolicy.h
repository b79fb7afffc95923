// Decides when a slow request gets a second attempt (a hedge).
#pragma once

#include "wigeonfold/forwarding/HedgeBudget.h"
#include "wigeonfold/forwarding/HedgeGuard.h"
#include "wigeonfold/forwarding/LatencyTracker.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonfold::forwarding {

enum class HedgeVerdict
{
  Send,
  NoTokens,      // the route's percentage is used up
  Overloaded,    // the service's targets are overloaded
  HedgesRefused, // the last hedges were mostly refused
  TooLate,       // the answer would arrive after the deadline
};

const char* ToString(HedgeVerdict aVerdict);

// A request whose hedge is considered.
struct HedgeCandidate
{
  std::string m_route;
  std::string m_service;
  TimePoint m_deadline{};
};

// Answers slow spells of single targets: a request that takes longer than
// nearly all recent ones of its route is sent to another target as well. The
// limits keep hedges from adding load when everything is slow. One for each
// node. Deterministic; not thread safe.
class HedgePolicy
{
public:
  // A request has its first attempt. aPercent is the route's hedge-percent, not
  // 0. Returns the time after which a hedge is due; nothing while too few
  // answers are known.
  std::optional<Duration> OnFirstAttempt(const std::string& aRoute,
                                         int aPercent);
  // The first attempt of a request was answered, or it was cancelled after
  // aLatency because a hedge was answered.
  void OnAnswer(const std::string& aRoute, Duration aLatency, TimePoint aNow);
  // An attempt that is no hedge has ended; see HedgeGuard.
  void OnAttemptEnded(const std::string& aService,
                      bool aOverloaded,
                      TimePoint aNow);

  HedgeVerdict Judge(const HedgeCandidate& aCandidate, TimePoint aNow) const;
  // Precondition: Judge() returned Send.
  void OnHedgeSent(const HedgeCandidate& aCandidate);
  // aRefused: the target's node refused it, so it cost nothing.
  void OnHedgeEnded(const HedgeCandidate& aCandidate,
                    bool aRefused,
                    TimePoint aNow);

private:
  struct Route
  {
    LatencyTracker m_latency;
    HedgeBudget m_budget;
  };

  std::unordered_map<std::string, Route> m_routes;
  std::unordered_map<std::string, HedgeGuard> m_guards; // by service
};

} // namespace wigeonfold::forwarding
