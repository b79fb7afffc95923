// Guards against requests that run twice, answers to other requests, wrong
// reports of "not run", calls that end twice or never, and retries beyond their
// budget, under arbitrary interleavings of answers, losses, duplicates,
// cancellations, deadlines and lost connections.
#include "wigeonfold/forwarding/Call.h"
#include "wigeonfold/forwarding/CallTable.h"
#include "wigeonfold/forwarding/TargetCall.h"
#include "wigeonfold/forwarding/TargetHealth.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace wigeonfold::forwarding {
namespace {

using namespace std::chrono_literals;

constexpr size_t kEndpoints = 4;
constexpr int kMaxActive = 5;

routing::ServiceRoute MakeRoute(int aMaxAttempts, int aBudgetPercent)
{
  routing::ServiceRoute route;
  route.m_name = "lots";
  route.m_maxAttempts = aMaxAttempts;
  route.m_retryBudgetPercent = aBudgetPercent;
  route.m_ejectFailures = 5;
  for (size_t i = 0; i < kEndpoints; ++i) {
    route.m_endpoints.push_back(
      { "n" + std::to_string(i), 1, "z", { "127.0.0.1", 1 }, 4 });
  }
  return route;
}

// A request at a target's node, and whether the target ran it.
struct ServedRequest
{
  int64_t m_callId = 0;
  uint64_t m_call = 0;
  uint64_t m_epoch = 0;
  TargetCall m_machine;
  bool m_atTarget = false; // written, and neither run nor lost yet
  bool m_ran = false;
};

struct Response
{
  int64_t m_callId = 0;
  uint64_t m_call = 0; // the request it answers
  Outcome m_outcome = Outcome::Answered;
};

// A connection to a peer node and the frames under way on it.
struct Link
{
  uint64_t m_epoch = 1;
  bool m_open = true; // false: connecting
  CallTable m_table;
  std::vector<std::pair<int64_t, AttemptKey>> m_waiting;
  std::deque<std::pair<int64_t, uint64_t>> m_requests;
  std::deque<Response> m_responses;
};

struct CallState
{
  std::unique_ptr<Call> m_machine;
  bool m_idempotent = false;
  int m_endCount = 0;
  Outcome m_end = Outcome::Answered;
  uint64_t m_answeredRequest = 0;
  std::set<std::string> m_tried;
  std::set<int> m_open;       // attempts under way
  std::optional<int> m_hedge; // attempt that HedgeSlow() started
  size_t m_deliveries = 0;    // ended attempts that may have reached a target
  std::map<int, std::pair<size_t, int64_t>> m_ids; // link and id by attempt
  TimePoint m_deadline;
};

class Simulation
{
public:
  Simulation(int aMaxAttempts, int aBudgetPercent)
    : m_route(MakeRoute(aMaxAttempts, aBudgetPercent))
    , m_chooser("z", routing::MakeRandom(1))
    , m_links(kEndpoints)
  {
  }

  // Executes the event selected by aChoice. Events that advance requests are
  // more frequent than those that end them early.
  void Step(uint32_t aChoice)
  {
    const uint32_t detail = aChoice / 32;
    m_now += std::chrono::milliseconds(detail % 2);
    Link& link = m_links[detail % kEndpoints];
    const uint32_t event = aChoice % 32;
    if (event < 3) {
      StartCall(detail % 2 == 0);
    } else if (event < 6) {
      Connect(link);
    } else if (event < 11) {
      DeliverRequest(link);
    } else if (event < 17) {
      AdvanceServed(detail);
    } else if (event < 21) {
      RunAtTarget(detail);
    } else if (event < 24) {
      EndAtTarget(detail);
    } else if (event < 28) {
      DeliverResponse(link, detail / kEndpoints % 4 == 0);
    } else if (event == 28) {
      LoseLink(link);
    } else if (event == 29) {
      WithCall(detail, [&](CallState& aCall) {
        return detail / 8 % 2 == 0 ? aCall.m_machine->Hedge(m_now)
                                   : aCall.m_machine->HedgeSlow(m_now);
      });
    } else if (event == 30 && detail % 8 == 0) {
      WithCall(detail / 8, [&](CallState& aCall) {
        return aCall.m_machine->Cancel(m_now);
      });
    } else if (event == 31 && detail % 8 == 0) {
      PassDeadline(detail / 8);
    }
  }

  // Lets every deadline pass and every written request run.
  void Finish()
  {
    m_now += 1h;
    for (size_t i = 0; i < m_calls.size(); ++i) {
      const uint64_t id = i + 1;
      Execute(id, StateOf(id).m_machine->OnDeadline(m_now));
    }
    for (ServedRequest& served : m_served) {
      RunIfWritten(served);
    }
  }

  void Check() const
  {
    uint64_t id = 0;
    for (const CallState& call : m_calls) {
      ++id;
      const auto found = m_runs.find(id);
      const int runs = found == m_runs.end() ? 0 : found->second;
      const wire::RunState::type run = InfoOf(call.m_end).m_runState;
      RC_ASSERT(call.m_endCount == 1);
      RC_ASSERT(call.m_idempotent || runs <= 1);
      RC_ASSERT(run != wire::RunState::NotRun || runs == 0);
      RC_ASSERT(run != wire::RunState::Run || runs >= 1);
      RC_ASSERT(call.m_end != Outcome::Answered ||
                call.m_answeredRequest == id);
    }
    const int64_t budget = (RetryBudget::kInitialRetries * 100 +
                            m_firstAttempts * m_route.m_retryBudgetPercent) /
                           100;
    RC_ASSERT(m_retries <= (m_route.m_retryBudgetPercent == 0 ? 0 : budget));
  }

private:
  CallState& StateOf(uint64_t aId) { return m_calls[aId - 1]; }

  void StartCall(bool aIdempotent)
  {
    const auto active =
      std::count_if(m_calls.begin(), m_calls.end(), [](const auto& aCall) {
        return aCall.m_endCount == 0;
      });
    if (active >= kMaxActive) {
      return;
    }
    CallState& call = m_calls.emplace_back();
    call.m_idempotent = aIdempotent;
    call.m_deadline = m_now + 200ms;
    call.m_machine = std::make_unique<Call>(
      CallSpec{ aIdempotent, call.m_deadline, m_route.m_maxAttempts },
      m_route,
      m_budget,
      CallContext{ m_chooser, m_tracker });
    Execute(m_calls.size(), call.m_machine->Start(m_now));
  }

  template<class F>
  void WithCall(uint32_t aDetail, F aEvent)
  {
    if (!m_calls.empty()) {
      // Recent calls are the ones that are still under way.
      const uint64_t recent = std::min<uint64_t>(m_calls.size(), 8);
      const uint64_t id = m_calls.size() - aDetail % recent;
      Execute(id, aEvent(StateOf(id)));
    }
  }

  void PassDeadline(uint32_t aDetail)
  {
    WithCall(aDetail, [&](CallState& aCall) {
      m_now = std::max(m_now, aCall.m_deadline);
      return aCall.m_machine->OnDeadline(m_now);
    });
  }

  void Execute(uint64_t aId, const CallStep& aStep)
  {
    CallState& call = StateOf(aId);
    RC_ASSERT(call.m_endCount == 0 ||
              (aStep.m_cancel.empty() && !aStep.m_start && !aStep.m_end));
    for (const int attempt : aStep.m_cancel) {
      const auto [link, id] = call.m_ids.at(attempt);
      call.m_open.erase(attempt);
      CancelAttempt(m_links[link], id);
    }
    if (aStep.m_start) {
      Send(aId, *aStep.m_start);
    }
    if (aStep.m_end) {
      ++call.m_endCount;
      call.m_end = *aStep.m_end;
    }
  }

  void Send(uint64_t aId, const StartAttempt& aStart)
  {
    CallState& call = StateOf(aId);
    RC_ASSERT(m_now < call.m_deadline);
    RC_ASSERT(call.m_tried.insert(aStart.m_endpoint->m_nodeName).second);
    const size_t deliveries = call.m_deliveries + call.m_open.size();
    RC_ASSERT(static_cast<int>(deliveries) < m_route.m_maxAttempts);
    RC_ASSERT(call.m_tried.size() - call.m_deliveries <=
              Call::kMaxRefusals + 1);
    if (aStart.m_speculative) {
      RC_ASSERT(call.m_idempotent);
      RC_ASSERT(!call.m_hedge.has_value());
      call.m_hedge = aStart.m_attempt;
    }
    call.m_open.insert(aStart.m_attempt);
    m_firstAttempts += aStart.m_attempt == 0 ? 1 : 0;
    m_retries += deliveries > 0 ? 1 : 0;
    const size_t index =
      static_cast<size_t>(aStart.m_endpoint->m_nodeName[1] - '0');
    Link& link = m_links[index];
    const AttemptKey key{ aId, aStart.m_attempt };
    const int64_t id = link.m_table.Open(key);
    call.m_ids[aStart.m_attempt] = { index, id };
    link.m_waiting.emplace_back(id, key);
    if (link.m_open) {
      WriteWaiting(link);
    }
  }

  void WriteWaiting(Link& aLink)
  {
    for (const auto& [id, key] : aLink.m_waiting) {
      aLink.m_requests.emplace_back(id, key.m_call);
      aLink.m_table.MarkWritten(id);
      StateOf(key.m_call).m_machine->OnWritten(key.m_attempt);
    }
    aLink.m_waiting.clear();
  }

  void Connect(Link& aLink)
  {
    if (!aLink.m_open) {
      aLink.m_open = true;
      WriteWaiting(aLink);
    }
  }

  void CancelAttempt(Link& aLink, int64_t aId)
  {
    const bool written = aLink.m_table.Cancel(aId);
    std::erase_if(aLink.m_waiting,
                  [aId](const auto& aOne) { return aOne.first == aId; });
    for (ServedRequest& served : m_served) {
      if (written && served.m_callId == aId &&
          served.m_epoch == EpochOf(aLink)) {
        Apply(served, served.m_machine.OnCancel(), false);
      }
    }
  }

  uint64_t EpochOf(const Link& aLink) const
  {
    return aLink.m_epoch * kEndpoints +
           static_cast<uint64_t>(&aLink - m_links.data());
  }

  // The peer node receives the next request.
  void DeliverRequest(Link& aLink)
  {
    if (aLink.m_requests.empty()) {
      return;
    }
    const auto [id, call] = aLink.m_requests.front();
    aLink.m_requests.pop_front();
    m_served.push_back(
      { id, call, EpochOf(aLink), TargetCall(StateOf(call).m_deadline) });
  }

  // One of the requests that most recently reached a target's node, or nullptr.
  ServedRequest* PickServed(uint32_t aDetail)
  {
    const size_t recent = std::min<size_t>(m_served.size(), 6);
    return recent == 0 ? nullptr
                       : &m_served[m_served.size() - 1 - aDetail % recent];
  }

  // Admission, the connection to the target, writing, and the deadline.
  void AdvanceServed(uint32_t aDetail)
  {
    ServedRequest* served = PickServed(aDetail / 16);
    if (served == nullptr) {
      return;
    }
    TargetCall& machine = served->m_machine;
    switch (aDetail % 16) {
      case 0:
        Apply(*served, machine.OnRejected(admission::RejectReason::QueueFull));
        break;
      case 1:
        Apply(*served, machine.OnConnectFailed());
        break;
      case 2:
        Apply(*served, machine.OnDeadline());
        break;
      default:
        Apply(*served,
              aDetail % 2 == 0 ? machine.OnAdmitted(m_now)
                               : machine.OnConnected(m_now));
        break;
    }
  }

  void RunIfWritten(ServedRequest& aServed)
  {
    if (aServed.m_atTarget) {
      aServed.m_atTarget = false;
      aServed.m_ran = true;
      ++m_runs[aServed.m_call];
    }
  }

  void RunAtTarget(uint32_t aDetail)
  {
    if (ServedRequest* served = PickServed(aDetail)) {
      RunIfWritten(*served);
    }
  }

  // The target answers or sheds, or the connection to it is lost.
  void EndAtTarget(uint32_t aDetail)
  {
    ServedRequest* picked = PickServed(aDetail / 4);
    if (picked == nullptr) {
      return;
    }
    ServedRequest& served = *picked;
    const bool untouched = served.m_atTarget;
    if (served.m_ran) {
      Apply(served,
            aDetail % 4 == 0   ? served.m_machine.OnConnectionLost(true)
            : aDetail % 4 == 1 ? served.m_machine.OnUnusableAnswer()
            : aDetail % 4 == 2
              ? served.m_machine.OnAnswer(AnswerKind::Failure, true)
              : served.m_machine.OnAnswer(AnswerKind::Final, true));
    } else if (untouched && aDetail % 4 == 0) {
      served.m_atTarget = false;
      Apply(served, served.m_machine.OnAnswer(AnswerKind::Shed, true));
    } else if (untouched && aDetail % 4 == 1) {
      served.m_atTarget = false;
      Apply(served, served.m_machine.OnConnectionLost(false));
    } else if (untouched) {
      Apply(served,
            served.m_machine.OnConnectionLost(true)); // it may run later
    }
  }

  void Apply(ServedRequest& aServed,
             const TargetStep& aStep,
             bool aReply = true)
  {
    aServed.m_atTarget |= aStep.m_write;
    if (!aStep.m_end || !aReply) {
      return;
    }
    for (Link& link : m_links) {
      if (EpochOf(link) == aServed.m_epoch) {
        link.m_responses.push_back(
          { aServed.m_callId, aServed.m_call, *aStep.m_end });
      }
    }
  }

  void DeliverResponse(Link& aLink, bool aDuplicate)
  {
    if (aLink.m_responses.empty()) {
      return;
    }
    const Response response = aLink.m_responses.front();
    if (!aDuplicate) { // otherwise the response arrives again
      aLink.m_responses.pop_front();
    }
    const auto key = aLink.m_table.Answer(response.m_callId);
    if (key) {
      StateOf(key->m_call).m_answeredRequest = response.m_call;
      EndAttempt(*key, response.m_outcome);
      if (aDuplicate) {
        EndAttempt(*key, response.m_outcome); // must be ignored
      }
    }
  }

  void EndAttempt(const AttemptKey& aKey, Outcome aOutcome)
  {
    const OutcomeInfo& info = InfoOf(aOutcome);
    const Outcome reported = OutcomeFromPeer(info.m_runState, info.m_reason);
    CallState& call = StateOf(aKey.m_call);
    const bool ended = call.m_open.erase(aKey.m_attempt) > 0;
    call.m_deliveries += ended && MayHaveReachedTarget(reported) ? 1 : 0;
    if (ended && call.m_hedge == aKey.m_attempt &&
        !MayHaveReachedTarget(reported)) {
      // A refused hedge costs neither an attempt nor budget.
      call.m_tried.erase("n" +
                         std::to_string(call.m_ids.at(aKey.m_attempt).first));
      --m_retries;
    }
    Execute(
      aKey.m_call,
      StateOf(aKey.m_call)
        .m_machine->OnAttemptEnded(aKey.m_attempt, reported, nullptr, m_now));
  }

  // Requests under way are lost or delivered; the peer node cancels all that
  // came over the connection.
  void LoseLink(Link& aLink)
  {
    const uint64_t epoch = EpochOf(aLink);
    if (m_now.time_since_epoch().count() % 2 == 0) {
      while (!aLink.m_requests.empty()) {
        DeliverRequest(aLink);
      }
    }
    for (ServedRequest& served : m_served) {
      if (served.m_epoch == epoch) {
        Apply(served, served.m_machine.OnCancel(), false);
      }
    }
    ++aLink.m_epoch;
    aLink.m_open = false;
    aLink.m_waiting.clear();
    aLink.m_requests.clear();
    aLink.m_responses.clear();
    CallTable table = std::exchange(aLink.m_table, {});
    for (const OutstandingAttempt& lost : table.TakeAll()) {
      EndAttempt(lost.m_key,
                 lost.m_written ? Outcome::PeerLost : Outcome::PeerNotWritten);
    }
  }

  const routing::ServiceRoute m_route;
  routing::Chooser m_chooser;
  routing::Tracker m_tracker;
  RetryBudget m_budget;
  TimePoint m_now{ 1h };
  std::deque<CallState> m_calls;
  std::vector<Link> m_links;
  std::deque<ServedRequest> m_served;
  std::map<uint64_t, int> m_runs;
  int64_t m_firstAttempts = 0;
  int64_t m_retries = 0;
};

RC_GTEST_PROP(Request, RunsAsReportedUnderAnyInterleaving, ())
{
  Simulation simulation(*rc::gen::inRange(1, 5), *rc::gen::element(0, 20, 100));
  const auto length = *rc::gen::inRange(50, 1500);
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  std::mt19937 choices(seed);
  for (int i = 0; i < length; ++i) {
    simulation.Step(static_cast<uint32_t>(choices()));
  }
  simulation.Finish();
  simulation.Check();
}

TEST(CallTable, DropsLateDuplicateAndUnknownAnswers)
{
  CallTable table;
  const int64_t answered = table.Open({ 1, 0 });
  const int64_t cancelled = table.Open({ 2, 0 });
  const int64_t unwritten = table.Open({ 3, 0 });
  table.MarkWritten(answered);
  table.MarkWritten(cancelled);
  EXPECT_EQ(table.Answer(answered), (AttemptKey{ 1, 0 }));
  EXPECT_EQ(table.Answer(answered), std::nullopt);
  EXPECT_TRUE(table.Contains(cancelled));
  EXPECT_TRUE(table.Cancel(cancelled));
  EXPECT_FALSE(table.Contains(cancelled));
  EXPECT_EQ(table.Answer(cancelled), std::nullopt);
  EXPECT_EQ(table.Answer(unwritten), std::nullopt);
  EXPECT_EQ(table.Answer(99), std::nullopt);
  const auto lost = table.TakeAll();
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_FALSE(lost.front().m_written);
}

TEST(RetryBudget, GrowsWithFirstAttemptsOnly)
{
  RetryBudget budget;
  int64_t retries = 0;
  while (budget.TryRetry(20)) {
    ++retries;
  }
  EXPECT_EQ(retries, RetryBudget::kInitialRetries);
  for (int i = 0; i < 5; ++i) {
    budget.OnFirstAttempt(20);
  }
  EXPECT_TRUE(budget.TryRetry(20));
  EXPECT_FALSE(budget.TryRetry(20));
}

// An idempotent call to a service with two targets, started at kStart with a
// deadline of 100 ms; the first attempt is under way.
class OneCall
{
public:
  OneCall()
    : m_route([] {
      routing::ServiceRoute route;
      route.m_name = "lots";
      route.m_retryBudgetPercent = 100;
      route.m_ejectFailures = 5;
      for (const char* name : { "node-0", "node-1" }) {
        route.m_endpoints.push_back({ name, 1, "a", { "127.0.0.1", 1 }, 2 });
      }
      return route;
    }())
    , m_chooser("a", routing::MakeLeastExpectedTime("a", 7))
    , m_call({ true, kStart + 100ms, 3 },
             m_route,
             m_budget,
             { m_chooser, m_tracker })
    , m_first(*m_call.Start(kStart).m_start)
  {
    m_call.OnWritten(m_first.m_attempt);
  }

  CallStep FailAt(Duration aAfter)
  {
    return m_call.OnAttemptEnded(
      m_first.m_attempt, Outcome::AnsweredFailure, nullptr, kStart + aAfter);
  }

  Duration CostOfFirst() const
  {
    return m_tracker.CostOf(*m_first.m_endpoint, 50ms, kStart + 100ms);
  }

  static constexpr TimePoint kStart{ 1h };

private:
  routing::ServiceRoute m_route;
  routing::Chooser m_chooser;
  routing::Tracker m_tracker;
  RetryBudget m_budget;
  Call m_call;
  StartAttempt m_first;
};

// A request that takes longer than its deadline: the failure that the target
// answers at the deadline must neither cause a retry that has no time to run,
// nor make callers avoid a healthy target.
TEST(Call, FailureAtTheDeadlineIsNotRetriedAndDoesNotCountAgainstTheTarget)
{
  OneCall early;
  EXPECT_TRUE(early.FailAt(50ms).m_start.has_value());
  OneCall late;
  const CallStep step = late.FailAt(95ms);
  EXPECT_FALSE(step.m_start.has_value());
  EXPECT_EQ(step.m_end, Outcome::AnsweredFailure);
  EXPECT_GT(early.CostOfFirst(), late.CostOfFirst());
}

TEST(WorkEstimates, UnknownRouteIsEstimatedFromItsObjective)
{
  WorkEstimates estimates;
  EXPECT_EQ(estimates.Expected("lots", 400ms), 100ms);
  EXPECT_EQ(estimates.Expected("lots", -20ms), 0ms);
  estimates.Note("lots", 30ms);
  EXPECT_EQ(estimates.Expected("lots", 400ms), 30ms);
}

// Targets shed a large part of their requests. A retried request makes its own
// calls again, and at the service that it calls these add to the retries of
// that service.
TEST(RetryBudget, CallsFromRetriedRequestsAndRetriesStayWithinThePercentage)
{
  RetryBudget budget;
  constexpr int kFirst = 10'000;
  int beyondFirst = 0;
  for (int i = 0; i < kFirst; ++i) {
    budget.OnFirstAttempt(20);
    if (i % 10 == 0) {
      budget.OnCallFromRetriedRequest();
      ++beyondFirst;
    }
    beyondFirst += budget.TryRetry(20) ? 1 : 0;
  }
  EXPECT_LE(beyondFirst, kFirst / 5 + RetryBudget::kInitialRetries);
  EXPECT_GE(beyondFirst, kFirst / 5 - 1);
}

// The saved retries of a large fleet add up: 80 nodes that all use theirs
// within a few seconds must stay below two retries each.
TEST(RetryBudget, SavesLessThanTwoRetriesForABurst)
{
  RetryBudget budget;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt(20);
  }
  EXPECT_TRUE(budget.TryRetry(20));
  EXPECT_FALSE(budget.TryRetry(20));
}

} // namespace
} // namespace wigeonfold::forwarding
