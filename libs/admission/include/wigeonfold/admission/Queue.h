// Waiting requests of one target, and the order in which they run.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::admission {

// Fair-queueing settings of a client account on the path from the root account
// to the account of a request.
struct Share
{
  std::string m_account;    // path such as offices/arita/shop
  int m_weight = 1;         // relative to its siblings; at least 1
  int m_queuePercent = 100; // maximum part of the queue
};

struct Request
{
  uint64_t m_id = 0;           // unique among the requests of one target
  std::vector<Share> m_shares; // from the root account down; not empty
  // Greater goes first. Above 0 is the depth of a call made by a target; calls
  // from outside the mesh have 0 or less.
  int m_priority = 0;
  TimePoint m_deadline{};
  TimePoint m_arrived{};
  // Slot time is the time for which a request occupies a slot.
  double m_chargedMs = 0; // slot time charged by Pop()
  Duration m_work{};      // expected slot time; zero: unknown
  // Latest start that still meets the latency objective; zero: only the
  // deadline limits the wait.
  TimePoint m_startBy{};
  // Time by which the link is expected to be busy for longer than the slot
  // time, if the request started now. Other answers on the link have to go
  // first.
  Duration m_linkWait{};
  // Runs only while no other request does.
  bool m_isolated = false;
  // A hedge: runs at once or not at all, so that it delays no other request.
  bool m_speculative = false;
};

// Strategy that orders waiting requests. Not thread safe.
class Queue
{
public:
  virtual ~Queue() = default;

  virtual void Push(const Request& aRequest) = 0;
  // Next request to run, or nothing when the queue is empty. Charges the slot
  // time that is expected of the request to its client account.
  virtual std::optional<Request> Pop() = 0;
  // False when the request does not wait.
  virtual bool Remove(uint64_t aId) = 0;
  // Corrects the charge of a popped request to the slot time that it took.
  virtual void OnFinished(const Request& aRequest, Duration aSlotTime) = 0;
  // Reverts the charge of a popped request that did not run.
  virtual void Refund(const Request& aRequest) = 0;
  // The waiting request to reject in favour of aRequest when the limit of the
  // client account at m_shares[aLevels - 1] is reached, or that of the whole
  // queue when aLevels is 0. The victim belongs to that account or to one below
  // it. Nothing when aRequest itself should be rejected.
  virtual std::optional<uint64_t> Victim(const Request& aRequest,
                                         size_t aLevels) const = 0;
  // Number of waiting requests of the client account and all accounts below it.
  virtual size_t WaitingCount(const std::string& aAccount) const = 0;

  virtual size_t Size() const = 0;
  virtual std::vector<Request> Waiting() const = 0;
};

// Hierarchical weighted fair queue: at each level of the tree of client
// accounts the child with the least slot time per weight goes next, and inside
// an account the request of the highest priority, then the oldest one. Calls
// made by targets go before calls from outside the mesh, whatever their
// account: each of them occupies a slot at the calling target, and their number
// is bounded by the requests admitted there.
std::unique_ptr<Queue> MakeFairQueue();

// Baseline for comparisons: first in, first out. Ignores client accounts and
// priorities.
std::unique_ptr<Queue> MakeFifoQueue();

// "fair" or "fifo"; nullptr for another name.
std::unique_ptr<Queue> MakeQueue(const std::string& aName);

} // namespace wigeonfold::admission
