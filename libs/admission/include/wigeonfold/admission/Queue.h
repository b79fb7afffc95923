// Waiting requests of one target, and the order in which they run.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::admission {

// An office on the path from the top of the tree to a request's office.
struct Share
{
  std::string m_account;
  int m_weight = 1;         // against its siblings; at least 1
  int m_queuePercent = 100; // greatest part of the queue
};

struct Request
{
  uint64_t m_id = 0;           // unique among the requests of one target
  std::vector<Share> m_shares; // from the top office down; not empty
  int m_priority = 0;          // greater goes first; calls to the outside
  TimePoint m_deadline{};
  TimePoint m_arrived{};
  double m_chargedMs = 0; // slot time charged by Pop()
  Duration m_work{};      // expected slot time; zero: unknown
  // Latest start that still makes the answer worth its full value; zero: the
  // deadline alone bounds the wait.
  TimePoint m_startBy{};
};

// Strategy that orders waiting requests. Not thread safe.
class Queue
{
public:
  virtual ~Queue() = default;

  virtual void Push(const Request& aRequest) = 0;
  // Next request to run; the queue charges its office for the slot.
  virtual std::optional<Request> Pop() = 0;
  // False when the request does not wait.
  virtual bool Remove(uint64_t aId) = 0;
  // Corrects the charge of a popped request to the slot time it really took.
  virtual void OnFinished(const Request& aRequest, Duration aSlotTime) = 0;
  // Takes back the charge of a popped request that did not run.
  virtual void Refund(const Request& aRequest) = 0;
  // The waiting request that should give way to aRequest when the part of the
  // queue that the office at m_shares[aLevels - 1] may hold is full, or the
  // whole queue when aLevels is 0. The victim is of that office or below it.
  // Nothing when aRequest should be rejected.
  virtual std::optional<uint64_t> Victim(const Request& aRequest,
                                         size_t aLevels) const = 0;
  // Waiting requests of the office and all offices below it.
  virtual size_t WaitingCount(const std::string& aAccount) const = 0;

  virtual size_t Size() const = 0;
  virtual std::vector<Request> Waiting() const = 0;
};

// Hierarchical weighted fair queue: at each level of the office tree the child
// with the least slot time per weight goes next, and inside an office the
// deeper call, then the older one. Deeper calls of all offices go before fresh
// outside ones: each holds a slot upstream, and their number is bounded by the
// requests admitted there.
std::unique_ptr<Queue> MakeFairQueue();

// Baseline: first in, first out, blind to offices and depth.
std::unique_ptr<Queue> MakeFifoQueue();

// "fair" or "fifo"; nullptr for another name.
std::unique_ptr<Queue> MakeQueue(const std::string& aName);

} // namespace wigeonfold::admission
