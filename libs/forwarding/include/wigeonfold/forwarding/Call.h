// A request at the caller's node: choice of endpoints, retries and the final
// outcome.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/forwarding/RetryBudget.h"
#include "wigeonfold/routing/Chooser.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::forwarding {

// Objects shared by all calls of a node. They must outlive the calls.
struct CallContext
{
  routing::Chooser& m_chooser;
  routing::Tracker& m_tracker;
};

struct CallSpec
{
  bool m_idempotent = false;
  TimePoint m_deadline{};
  int m_maxAttempts = 1;
  // The caller made this call while it served a request that was itself
  // retried; see RetryBudget::OnCallFromRetriedRequest().
  bool m_fromRetriedRequest = false;
  // Latest time at which an answer meets the latency objective; zero: none.
  TimePoint m_objective{};
  uint64_t m_fingerprint = 0; // of the content
  std::string m_requestRoute; // name of the route that the request matched
};

// Instruction to send the request to an endpoint.
struct StartAttempt
{
  int m_attempt = 0;
  const routing::Endpoint* m_endpoint = nullptr;
  bool m_repeat = false;      // an earlier attempt may have reached a target
  bool m_speculative = false; // see Call::HedgeSlow()
};

// Actions for the owner, in this order: cancel attempts, start one, finish the
// call.
struct CallStep
{
  std::vector<int> m_cancel;
  std::optional<StartAttempt> m_start;
  std::optional<Outcome> m_end;
};

// Chooses endpoints, retries, and determines the single outcome of a request.
// Events after a step with m_end are ignored. Deterministic; not thread safe.
//
// Retry rules:
// - An attempt that provably did not run may be retried at another endpoint.
// - An attempt that may have run, or that the target answered with a failure,
//   is retried only if the request is idempotent.
// - Attempts that may have reached a target count towards the maximum attempts,
//   and all but the first of them consume the service's retry budget.
// - A refusal by a target's node counts towards neither, since the target
//   received nothing; at most kMaxRefusals are followed by another attempt.
// - The call ends at its deadline at the latest.
class Call
{
public:
  // aBudget is the retry budget of the service. aRoute and aBudget must outlive
  // the call; endpoints in the returned steps point into aRoute.
  Call(const CallSpec& aSpec,
       const routing::ServiceRoute& aRoute,
       RetryBudget& aBudget,
       CallContext aContext);

  CallStep Start(TimePoint aNow);
  // The attempt may reach its target from now on.
  void OnWritten(int aAttempt);
  // aLoad is null if the attempt reported no load. An attempt that has already
  // ended or was cancelled is ignored.
  CallStep OnAttemptEnded(int aAttempt,
                          Outcome aOutcome,
                          const wire::TargetLoad* aLoad,
                          TimePoint aNow);
  // The deadline has passed, and so has the owner's grace period in which the
  // target's node can report whether the request ran.
  CallStep OnDeadline(TimePoint aNow);
  // The caller disconnected.
  CallStep Cancel(TimePoint aNow);
  // Starts one more attempt beside the outstanding one, under the retry rules
  // and for idempotent requests only: the outstanding one may be lost.
  CallStep Hedge(TimePoint aNow);
  // The same because the target is slow, at most once for each request and only
  // at a target that is expected to run the request at once. If its node
  // refuses it, the attempt costs neither an attempt nor budget.
  CallStep HedgeSlow(TimePoint aNow);

  // Whether further attempts go only to the target designated for requests with
  // this content, since targets may have ended because of one. Such a request
  // is never sent to two targets at the same time.
  void SetIsolated(bool aIsolated) { m_isolated = aIsolated; }

  // Number of refusals by targets' nodes that are followed by another attempt.
  static constexpr size_t kMaxRefusals = 3;
  // No retry is made with less time left until the deadline, since no other
  // target could answer in time: the round trip between availability zones
  // takes this long.
  static constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

  bool IsOver() const { return m_over; }
  TimePoint Deadline() const { return m_spec.m_deadline; }
  const routing::ServiceRoute& Route() const { return m_route; }
  // Endpoint of an attempt under way; nullptr once it has ended.
  const routing::Endpoint* EndpointOf(int aAttempt) const;

private:
  struct Attempt
  {
    int m_number = 0;
    const routing::Endpoint* m_endpoint = nullptr;
    bool m_written = false;
    bool m_speculative = false;
  };

  bool MayHedge(TimePoint aNow) const;
  void OnHedgeRefused(const Attempt& aAttempt);
  StartAttempt Add(const routing::Endpoint& aEndpoint,
                   bool aRepeat,
                   bool aSpeculative);
  bool MayRetry(Outcome aOutcome, TimePoint aNow) const;
  bool HasTimeToRetry(TimePoint aNow) const;
  routing::AttemptResult ResultOf(Outcome aOutcome, TimePoint aNow) const;
  Duration UntilObjective(TimePoint aNow) const;
  const routing::Endpoint* ChooseEndpoint(TimePoint aNow);
  std::optional<StartAttempt> StartNext(TimePoint aNow);
  CallStep End(
    Outcome aOutcome,
    TimePoint aNow,
    routing::AttemptResult aCancelled = routing::AttemptResult::Refused);
  CallStep Stop(Outcome aBeforeWrite, Outcome aAfterWrite, TimePoint aNow);

  const CallSpec m_spec;
  const routing::ServiceRoute& m_route;
  RetryBudget& m_budget;
  CallContext m_context;
  std::vector<std::string> m_tried;
  int m_started = 0;     // attempts
  bool m_hedged = false; // see HedgeSlow()
  std::vector<Attempt> m_outstanding;
  // Outcome of the first attempt of which it is unknown whether it ran. Once
  // set, no later rejection may report that the request did not run.
  std::optional<Outcome> m_unknownOutcome;
  bool m_failureAnswered = false; // a target ran it and answered a failure
  size_t m_deliveries = 0; // ended attempts that may have reached a target
  size_t m_refusals = 0;   // ended attempts that a target's node refused
  bool m_isolated = false; // see SetIsolated()
  bool m_over = false;
};

} // namespace wigeonfold::forwarding
