// Admission to one target: its slots, its queue and its refusals.
#pragma once

#include "wigeonfold/admission/Queue.h"

#include <unordered_map>
#include <vector>

namespace wigeonfold::admission {

enum class RejectReason
{
  None,
  QueueFull,
  ClientAccountShare, // the office holds its part of the queue
  QueueTimeout,       // waited too long
  Expired,            // deadline passed before a slot was free
  Draining,           // the target takes no new work
  Displaced,          // gave way to an office with fewer waiting requests
  TooLate, // no slot would be free in time for an answer of full value
};

const char* ToString(RejectReason aReason);

// What happens to a request next. Every request that is offered ends in
// exactly one Start or one rejection, unless it is cancelled while waiting.
struct Decision
{
  uint64_t m_id = 0;
  bool m_start = false; // run now; Finished() must follow
  RejectReason m_reason = RejectReason::None;
  // Rejections: time after which a slot would be free for the request.
  Duration m_retryAfter{};
};

struct Limits
{
  int m_slots = 0; // requests that run at once; 0 while there is no target
  size_t m_queueLimit = 0;
  Duration m_queueTimeout{};
};

// Decides who runs on the target of this node. Not thread safe.
class Admission
{
public:
  explicit Admission(std::unique_ptr<Queue> aQueue);

  // Takes effect at once; more slots may start waiting requests.
  std::vector<Decision> SetLimits(const Limits& aLimits, TimePoint aNow);
  // A draining target takes no new requests; waiting ones are rejected so that
  // they find another target, running ones go on.
  std::vector<Decision> SetDraining(bool aDraining, TimePoint aNow);

  // The first decision may concern another request, one that gives way.
  std::vector<Decision> Offer(const Request& aRequest, TimePoint aNow);
  // Precondition: the request was started and has not finished.
  std::vector<Decision> Finished(uint64_t aId, TimePoint aNow);
  // Forgets a waiting request; false when it does not wait.
  bool Cancel(uint64_t aId);
  // Rejects what waited too long. Call about every 10 ms.
  std::vector<Decision> Tick(TimePoint aNow);

  // Expected time until a request of that depth gets a slot: what runs and what
  // would run before it, spread over the slots.
  Duration ExpectedWait(int aPriority, TimePoint aNow) const;

  int Running() const { return static_cast<int>(m_running.size()); }
  int Queued() const { return static_cast<int>(m_queue->Size()); }
  int Slots() const { return m_limits.m_slots; }
  bool IsDraining() const { return m_draining; }

private:
  struct RunningRequest
  {
    Request m_request;
    TimePoint m_started{};
  };

  // Where a request finds no room in the queue.
  struct Room
  {
    RejectReason m_reason = RejectReason::None;
    size_t m_levels = 0; // see Queue::Victim()
  };

  Room CheckRoom(const Request& aRequest) const;
  RejectReason MakeRoom(const Request& aRequest,
                        std::vector<Decision>& aDecisions);
  bool IsTooLate(const Request& aRequest, Duration aWait, TimePoint aNow) const;
  Duration RetryAfter(const Request& aRequest,
                      Duration aWait,
                      TimePoint aNow) const;
  RejectReason CheckWait(const Request& aRequest, TimePoint aNow) const;
  void StartWaiting(std::vector<Decision>& aDecisions, TimePoint aNow);

  std::unique_ptr<Queue> m_queue;
  Limits m_limits;
  bool m_draining = false;
  std::unordered_map<uint64_t, RunningRequest> m_running;
};

} // namespace wigeonfold::admission
