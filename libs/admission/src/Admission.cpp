#include "wigeonfold/admission/Admission.h"

#include <algorithm>
#include <utility>

namespace wigeonfold::admission {

namespace {

// A caller that retries sooner finds the queue unchanged.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
// Reserve for requests that take longer than expected.
constexpr int kWorkReservePercent = 30;

} // namespace

const char* ToString(RejectReason aReason)
{
  switch (aReason) {
    case RejectReason::None:
      return "none";
    case RejectReason::QueueFull:
      return "queue-full";
    case RejectReason::ClientAccountShare:
      return "office-share";
    case RejectReason::QueueTimeout:
      return "queue-timeout";
    case RejectReason::Expired:
      return "expired";
    case RejectReason::Draining:
      return "draining";
    case RejectReason::Displaced:
      return "displaced";
    case RejectReason::TooLate:
      return "too-late";
    case RejectReason::RateLimited:
      return "rate-limited";
    case RejectReason::Isolation:
      return "isolation";
    case RejectReason::NoFreeSlot:
      return "no-free-slot";
  }
  return "none";
}

TimePoint LatestStart(TimePoint aObjective, Duration aWork)
{
  return aObjective - aWork - aWork * kWorkReservePercent / 100;
}

int QueuePriority(int aDepth, int aRank, bool aReturned)
{
  return aDepth > 0 ? aDepth : -2 * aRank - (aReturned ? 0 : 1);
}

Admission::Admission(std::unique_ptr<Queue> aQueue)
  : m_queue(std::move(aQueue))
{
}

std::vector<Decision> Admission::SetLimits(const Limits& aLimits,
                                           TimePoint aNow)
{
  m_limits = aLimits;
  std::vector<Decision> decisions;
  StartQueued(decisions, aNow);
  return decisions;
}

std::vector<Decision> Admission::SetDraining(bool aDraining, TimePoint aNow)
{
  m_draining = aDraining;
  std::vector<Decision> decisions;
  if (aDraining) {
    for (const Request& request : m_queue->Waiting()) {
      m_queue->Remove(request.m_id);
      decisions.push_back({ request.m_id, false, RejectReason::Draining });
    }
    for (const Request& request : std::exchange(m_isolated, {})) {
      decisions.push_back({ request.m_id, false, RejectReason::Draining });
    }
  }
  StartQueued(decisions, aNow);
  return decisions;
}

std::vector<Decision> Admission::Offer(const Request& aRequest, TimePoint aNow)
{
  if (aRequest.m_isolated) {
    return OfferIsolated(aRequest, aNow);
  }
  std::vector<Decision> decisions;
  RejectReason reason =
    m_draining ? RejectReason::Draining : CheckExpiry(aRequest, aNow);
  const bool hasRoom = HasRoom(aNow);
  if (aRequest.m_speculative && reason == RejectReason::None &&
      (!hasRoom || aRequest.m_linkWait > Duration::zero())) {
    reason = RejectReason::NoFreeSlot;
  }
  Duration wait{};
  if (!hasRoom) {
    wait = ExpectedWait(aRequest.m_priority, aNow);
  }
  // The link carries other answers while the request waits for a slot.
  wait = std::max(wait, aRequest.m_linkWait);
  const bool waits = !hasRoom || aRequest.m_linkWait > Duration::zero();
  if (reason == RejectReason::None && waits &&
      IsTooLate(aRequest, wait, aNow)) {
    const Duration rateWait = RateWait(aRequest.m_priority, aNow);
    reason = IsTooLate(aRequest, rateWait, aNow) ? RejectReason::RateLimited
                                                 : RejectReason::TooLate;
  }
  if (reason == RejectReason::None && !hasRoom) {
    reason = MakeRoom(aRequest, decisions);
  }
  if (reason != RejectReason::None) {
    decisions.push_back(
      { aRequest.m_id, false, reason, RetryAfter(aRequest, wait, aNow) });
    return decisions;
  }
  m_queue->Push(aRequest);
  StartQueued(decisions, aNow);
  return decisions;
}

std::vector<Decision> Admission::Finished(uint64_t aId, TimePoint aNow)
{
  std::vector<Decision> decisions;
  const auto running = m_running.find(aId);
  if (running != m_running.end()) {
    if (running->second.m_request.m_isolated) {
      m_runsIsolated = false;
    } else {
      m_queue->OnFinished(running->second.m_request,
                          aNow - running->second.m_started);
    }
    m_running.erase(running);
  }
  StartQueued(decisions, aNow);
  return decisions;
}

bool Admission::Cancel(uint64_t aId)
{
  const auto removed = std::erase_if(
    m_isolated, [aId](const Request& aOne) { return aOne.m_id == aId; });
  return removed > 0 || m_queue->Remove(aId);
}

std::vector<Decision> Admission::Tick(TimePoint aNow)
{
  std::vector<Decision> decisions;
  if (m_queue->Size() == 0 && m_isolated.empty()) {
    return decisions;
  }
  ExpireIsolated(decisions, aNow);
  for (const Request& request : m_queue->Waiting()) {
    RejectReason reason = CheckExpiry(request, aNow);
    if (reason == RejectReason::None &&
        IsTooLate(request, Duration::zero(), aNow)) {
      reason = RejectReason::TooLate;
    }
    if (reason != RejectReason::None) {
      m_queue->Remove(request.m_id);
      decisions.push_back({ request.m_id, false, reason });
    }
  }
  StartQueued(decisions, aNow);
  return decisions;
}

bool Admission::HasRoom(TimePoint aNow) const
{
  return Running() < m_limits.m_slots && Queued() == 0 && !m_runsIsolated &&
         m_rate.WaitFor(1, aNow) == Duration::zero();
}

// Time until the rate limit has room for a request of that priority.
Duration Admission::RateWait(int aPriority, TimePoint aNow) const
{
  if (!m_rate.PerSecond()) {
    return Duration::zero();
  }
  size_t ahead = 0;
  for (const Request& waiting : m_queue->Waiting()) {
    ahead += waiting.m_priority >= aPriority ? 1 : 0;
  }
  return m_rate.WaitFor(ahead + 1, aNow);
}

// Finds the deepest client account on the request's path whose part of the
// queue is full. A request displaced there also frees space in the parts of all
// accounts above it.
Admission::ExceededLimit Admission::CheckQueueLimits(
  const Request& aRequest) const
{
  // The root account covers all requests, so its limit is that of the queue.
  for (size_t level = aRequest.m_shares.size(); level-- > 1;) {
    const Share& share = aRequest.m_shares[level];
    const size_t part =
      std::max<size_t>(1, m_limits.m_queueLimit * share.m_queuePercent / 100);
    if (m_queue->WaitingCount(share.m_account) >= part) {
      return { RejectReason::ClientAccountShare, level + 1 };
    }
  }
  const bool full = m_queue->Size() >= m_limits.m_queueLimit;
  return { full ? RejectReason::QueueFull : RejectReason::None, 0 };
}

// Displaces a waiting request when a limit of the queue is reached. Otherwise a
// client account that fills its parent's part of the queue would keep out its
// siblings.
RejectReason Admission::MakeRoom(const Request& aRequest,
                                 std::vector<Decision>& aDecisions)
{
  const ExceededLimit exceeded = CheckQueueLimits(aRequest);
  if (exceeded.m_reason == RejectReason::None) {
    return RejectReason::None;
  }
  const auto victim = m_queue->Victim(aRequest, exceeded.m_levels);
  if (!victim) {
    return exceeded.m_reason;
  }
  m_queue->Remove(*victim);
  aDecisions.push_back({ *victim, false, RejectReason::Displaced });
  return RejectReason::None;
}

Duration Admission::ExpectedWait(int aPriority, TimePoint aNow) const
{
  if (m_limits.m_slots <= 0) {
    return Duration::max();
  }
  Duration remaining{};
  Duration longest{}; // of the remaining times
  for (const auto& [id, running] : m_running) {
    const Duration expected = running.m_request.m_work;
    // A request that has run longer than expected is probably one of the few
    // long ones, so some time is always expected to remain.
    const Duration left =
      std::max(expected - (aNow - running.m_started), expected / 4);
    remaining += left;
    longest = std::max(longest, left);
  }
  // Slots become free evenly spread over the mean remaining time, so the first
  // one after 1 / m_slots of it.
  Duration wait{};
  if (Running() >= m_limits.m_slots) {
    wait = remaining / m_limits.m_slots / m_limits.m_slots;
  }
  if (IsIsolating()) {
    wait = longest;
    for (const Request& isolated : m_isolated) {
      wait += isolated.m_work;
    }
  }
  Duration work{};
  for (const Request& waiting : m_queue->Waiting()) {
    if (waiting.m_priority >= aPriority) {
      work += waiting.m_work;
    }
  }
  return std::max(wait + work / m_limits.m_slots, RateWait(aPriority, aNow));
}

// Time by which the expected wait exceeds the allowed one. After that time a
// new request with the same time until its latest start is admitted.
Duration Admission::RetryAfter(const Request& aRequest,
                               Duration aWait,
                               TimePoint aNow) const
{
  if (aRequest.m_startBy == TimePoint{} || aWait == Duration::max()) {
    return Duration::zero();
  }
  const Duration allowed =
    std::max(aRequest.m_startBy - aNow, Duration::zero());
  return std::max(aWait - allowed, kMinRetryAfter);
}

// Whether a request that starts after aWait misses its latest start, if it has
// one. Not applied to requests that get a slot at once and don't wait for the
// link: a late answer is worth more than none.
bool Admission::IsTooLate(const Request& aRequest,
                          Duration aWait,
                          TimePoint aNow) const
{
  return aRequest.m_startBy != TimePoint{} && aNow + aWait > aRequest.m_startBy;
}

// Checks the deadline and the queue timeout; None when the request may run.
RejectReason Admission::CheckExpiry(const Request& aRequest,
                                    TimePoint aNow) const
{
  if (aNow >= aRequest.m_deadline) {
    return RejectReason::Expired;
  }
  return aNow - aRequest.m_arrived > m_limits.m_queueTimeout
           ? RejectReason::QueueTimeout
           : RejectReason::None;
}

// ---- Requests that run alone -----------------------------------------------

// Late answers are accepted: the request was lost before, or it has waited for
// the others.
std::vector<Decision> Admission::OfferIsolated(const Request& aRequest,
                                               TimePoint aNow)
{
  std::vector<Decision> decisions;
  RejectReason reason =
    m_draining ? RejectReason::Draining : CheckExpiry(aRequest, aNow);
  if (reason == RejectReason::None && m_isolated.size() >= kMaxIsolated) {
    reason = RejectReason::Isolation;
  }
  if (reason == RejectReason::None && aRequest.m_speculative) {
    reason = RejectReason::NoFreeSlot; // it would keep the target idle
  }
  if (reason != RejectReason::None) {
    decisions.push_back({ aRequest.m_id, false, reason, kMaxIsolationWait });
    return decisions;
  }
  m_isolated.push_back(aRequest);
  StartQueued(decisions, aNow);
  return decisions;
}

// Rejects the isolated requests for which the running ones did not end in time,
// so that one long request does not keep the target idle.
void Admission::ExpireIsolated(std::vector<Decision>& aDecisions,
                               TimePoint aNow)
{
  std::erase_if(m_isolated, [&](const Request& aOne) {
    const bool expired = aNow >= aOne.m_deadline;
    const bool waitedTooLong = aNow - aOne.m_arrived > kMaxIsolationWait;
    if (expired || waitedTooLong) {
      aDecisions.push_back(
        { aOne.m_id,
          false,
          expired ? RejectReason::Expired : RejectReason::Isolation,
          kMaxIsolationWait });
    }
    return expired || waitedTooLong;
  });
}

// Starts the oldest isolated request if no other request runs. Returns whether
// other requests may start.
bool Admission::StartIsolated(std::vector<Decision>& aDecisions, TimePoint aNow)
{
  if (!m_isolated.empty() && m_running.empty()) {
    const Request next = m_isolated.front();
    m_isolated.pop_front();
    m_runsIsolated = true;
    Start(next, aDecisions, aNow);
  }
  return !IsIsolating();
}

// ---- Start -----------------------------------------------------------------

void Admission::Start(const Request& aRequest,
                      std::vector<Decision>& aDecisions,
                      TimePoint aNow)
{
  m_rate.OnSent(aNow);
  m_running[aRequest.m_id] = RunningRequest{ aRequest, aNow };
  aDecisions.push_back({ aRequest.m_id, true, RejectReason::None });
}

void Admission::StartQueued(std::vector<Decision>& aDecisions, TimePoint aNow)
{
  while (Running() < m_limits.m_slots &&
         m_rate.WaitFor(1, aNow) == Duration::zero()) {
    if (!StartIsolated(aDecisions, aNow)) {
      return;
    }
    const auto next = m_queue->Pop();
    if (!next) {
      return;
    }
    const RejectReason reason = CheckExpiry(*next, aNow);
    if (reason != RejectReason::None) {
      m_queue->Refund(*next);
      aDecisions.push_back({ next->m_id, false, reason });
      continue;
    }
    Start(*next, aDecisions, aNow);
  }
}

} // namespace wigeonfold::admission
