// Admission control of one target: slots, queue and rejections.
#pragma once

#include "wigeonfold/admission/Queue.h"
#include "wigeonfold/admission/RateLimit.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace wigeonfold::admission {

enum class RejectReason
{
  None,
  QueueFull,
  ClientAccountShare, // the client account fills its part of the queue
  QueueTimeout,       // waited too long
  Expired,            // deadline passed before a slot was free
  Draining,           // the target takes no new work
  Displaced,          // gave way to another request, see Queue::Victim()
  TooLate,            // no slot would be free in time for the latency objective
  // The limit that the target names would let it start too late for that.
  RateLimited,
  Isolation,  // it has to run alone, and the others did not end in time
  NoFreeSlot, // a speculative request would not run at once
};

const char* ToString(RejectReason aReason);

// Start or rejection of a request. Every offered request gets exactly one
// decision, unless it is cancelled while waiting.
struct Decision
{
  uint64_t m_id = 0;
  bool m_start = false; // run now, then call Admission::Finished()
  RejectReason m_reason = RejectReason::None;
  // Of a rejection: time after which such a request would be admitted; zero:
  // unknown.
  Duration m_retryAfter{};
};

struct Limits
{
  int m_slots = 0; // concurrent requests; 0 while there is no target
  size_t m_queueLimit = 0;
  Duration m_queueTimeout{};
};

// Priority of a request in the queue, for Request::m_priority. Calls made on
// behalf of a running request go before requests from outside, the deepest
// first. Those are ordered by rank, of which 0 is the most urgent, and within a
// rank a caller that was refused and has returned goes first: if it is refused
// again it gets no answer at all, while a new caller may still return.
int QueuePriority(int aDepth, int aRank, bool aReturned);

// Latest start of a request that should be answered by aObjective and is
// expected to hold its slot for aWork. A request that starts when only the mean
// time is left ends late about as often as in time, and its slot is then lost
// to one that could still be in time, so a part of the mean is kept in reserve.
TimePoint LatestStart(TimePoint aObjective, Duration aWork);

// Decides which requests run on the target of this node. Not thread safe.
class Admission
{
public:
  explicit Admission(std::unique_ptr<Queue> aQueue);

  // Takes effect at once; additional slots may start waiting requests.
  std::vector<Decision> SetLimits(const Limits& aLimits, TimePoint aNow);
  // A draining target accepts no new requests. Waiting requests are rejected so
  // that their callers can try another target; running ones continue.
  std::vector<Decision> SetDraining(bool aDraining, TimePoint aNow);

  // The first decision may be the rejection of a waiting request that aRequest
  // displaces.
  std::vector<Decision> Offer(const Request& aRequest, TimePoint aNow);
  // Frees the slot of a request. Precondition: it was started and has not
  // finished.
  std::vector<Decision> Finished(uint64_t aId, TimePoint aNow);
  // Removes a waiting request; false when it does not wait.
  bool Cancel(uint64_t aId);
  // Rejects requests that have waited too long, and starts those for which the
  // rate limit has room again. Call about every 10 ms.
  std::vector<Decision> Tick(TimePoint aNow);

  // The limit that the target names on its requests per second. Requests that
  // a change of it lets start do so at the next Tick().
  RateLimit& Rate() { return m_rate; }
  const RateLimit& Rate() const { return m_rate; }

  // Whether a further request would run at once.
  bool HasRoom(TimePoint aNow) const;
  // Expected time until a request of that priority starts: the remaining time
  // of running requests and the slot time of waiting requests that go before
  // it, spread over the slots, or the time until the rate limit has room for
  // it, if that is longer. Duration::max() without slots.
  Duration ExpectedWait(int aPriority, TimePoint aNow) const;

  int Running() const { return static_cast<int>(m_running.size()); }
  int Queued() const
  {
    return static_cast<int>(m_queue->Size() + m_isolated.size());
  }
  int Slots() const { return m_limits.m_slots; }
  bool IsDraining() const { return m_draining; }

  // Longest time for which requests that run alone keep others from starting
  // before they start themselves. Most requests end within it.
  static constexpr Duration kMaxIsolationWait = std::chrono::milliseconds(500);
  // Isolated requests that wait at a time.
  static constexpr size_t kMaxIsolated = 8;

private:
  struct RunningRequest
  {
    Request m_request;
    TimePoint m_started{};
  };

  // The limit of the queue that a further request would exceed, if any.
  struct ExceededLimit
  {
    RejectReason m_reason = RejectReason::None; // None: no limit is exceeded
    size_t m_levels = 0;                        // aLevels of Queue::Victim()
  };

  ExceededLimit CheckQueueLimits(const Request& aRequest) const;
  RejectReason MakeRoom(const Request& aRequest,
                        std::vector<Decision>& aDecisions);
  bool IsTooLate(const Request& aRequest, Duration aWait, TimePoint aNow) const;
  Duration RetryAfter(const Request& aRequest,
                      Duration aWait,
                      TimePoint aNow) const;
  Duration RateWait(int aPriority, TimePoint aNow) const;
  RejectReason CheckExpiry(const Request& aRequest, TimePoint aNow) const;
  std::vector<Decision> OfferIsolated(const Request& aRequest, TimePoint aNow);
  // Whether an isolated request waits or runs.
  bool IsIsolating() const { return !m_isolated.empty() || m_runsIsolated; }
  void ExpireIsolated(std::vector<Decision>& aDecisions, TimePoint aNow);
  bool StartIsolated(std::vector<Decision>& aDecisions, TimePoint aNow);
  void StartQueued(std::vector<Decision>& aDecisions, TimePoint aNow);
  void Start(const Request& aRequest,
             std::vector<Decision>& aDecisions,
             TimePoint aNow);

  std::unique_ptr<Queue> m_queue;
  Limits m_limits;
  RateLimit m_rate;
  bool m_draining = false;
  std::deque<Request> m_isolated; // waiting, oldest first
  bool m_runsIsolated = false;
  std::unordered_map<uint64_t, RunningRequest> m_running;
};

} // namespace wigeonfold::admission
