// Life of a request at the caller's node.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/forwarding/RetryBudget.h"
#include "wigeonfold/routing/Chooser.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::forwarding {

// What all calls of a node share. The referenced objects outlive the calls.
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
  // Made by work that itself runs again; see
  // RetryBudget::OnCallFromRetriedRequest().
  bool m_fromRetriedRequest = false;
  // Until then an answer has its full value; zero: no latency objective.
  TimePoint m_objective{};
};

// Send the request to this endpoint.
struct StartAttempt
{
  int m_attempt = 0;
  const routing::Endpoint* m_endpoint = nullptr;
  bool m_repeat = false; // a target may have run the request before
};

// What the owner does next, in this order: withdraw attempts, start one, end.
struct CallStep
{
  std::vector<int> m_cancel;
  std::optional<StartAttempt> m_start;
  std::optional<Outcome> m_end;
};

// Chooses endpoints, retries, and decides the one outcome of a request. After
// a step with m_end every further event is ignored. Deterministic; not thread
// safe.
//
// Retry rules: an attempt that provably did not run may be repeated at another
// endpoint; one whose fate is unknown, or that the target answered with a
// failure, only when the request is idempotent. Attempts that may have reached
// a target stay within the maximum attempts, and all but the first of them are
// paid from the service's budget. A refusal by a target's node costs neither,
// since the target saw nothing; at most kMaxRefusals are followed by another
// try. All of it ends at the deadline.
class Call
{
public:
  // The endpoints handed out point into aRoute, which outlives the call, as
  // does aBudget, the budget of the service.
  Call(const CallSpec& aSpec,
       const routing::ServiceRoute& aRoute,
       RetryBudget& aBudget,
       CallContext aContext);

  CallStep Start(TimePoint aNow);
  // From now on the attempt may reach its target.
  void OnWritten(int aAttempt);
  // aLoad is null when the attempt brought none. An attempt that ended before
  // or was withdrawn is ignored.
  CallStep OnAttemptEnded(int aAttempt,
                          Outcome aOutcome,
                          const wire::TargetLoad* aLoad,
                          TimePoint aNow);
  // The deadline passed, including the time the owner grants the target's node
  // to report what became of the request.
  CallStep OnDeadline(TimePoint aNow);
  // The caller went away.
  CallStep Cancel(TimePoint aNow);
  // Starts one more attempt beside the outstanding one, under the rules of a
  // retry and for idempotent requests only. Hook for hedging of slow targets.
  CallStep Hedge(TimePoint aNow);

  // Refusals by targets' nodes after which the request is tried elsewhere.
  static constexpr size_t kMaxRefusals = 3;
  // With less time left until the deadline no other target can answer: the way
  // there and back across zones takes this long.
  static constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

  bool IsOver() const { return m_over; }
  TimePoint Deadline() const { return m_spec.m_deadline; }
  const routing::ServiceRoute& Route() const { return m_route; }

private:
  struct Attempt
  {
    int m_number = 0;
    const routing::Endpoint* m_endpoint = nullptr;
    bool m_written = false;
  };

  bool MayRetry(Outcome aOutcome, TimePoint aNow) const;
  bool HasTimeToRepeat(TimePoint aNow) const;
  routing::AttemptResult ResultOf(Outcome aOutcome, TimePoint aNow) const;
  Duration UntilObjective(TimePoint aNow) const;
  std::optional<StartAttempt> StartNext(TimePoint aNow);
  CallStep End(
    Outcome aOutcome,
    TimePoint aNow,
    routing::AttemptResult aWithdrawn = routing::AttemptResult::Refused);
  CallStep Stop(Outcome aBeforeWrite, Outcome aAfterWrite, TimePoint aNow);

  const CallSpec m_spec;
  const routing::ServiceRoute& m_route;
  RetryBudget& m_budget;
  CallContext m_context;
  std::vector<std::string> m_tried;
  std::vector<Attempt> m_outstanding;
  // First attempt whose fate is unknown. Once set, no later rejection may
  // claim that the request did not run.
  std::optional<Outcome> m_unknown;
  bool m_failureAnswered = false; // a target ran it and answered a failure
  size_t m_arrivals = 0; // ended attempts that may have reached a target
  size_t m_refusals = 0; // ended attempts that a target's node refused
  bool m_over = false;
};

} // namespace wigeonfold::forwarding
