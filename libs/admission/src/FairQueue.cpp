#include "wigeonfold/admission/Queue.h"

#include <algorithm>
#include <deque>
#include <map>

namespace wigeonfold::admission {

namespace {

// Slot time charged to a client account until the first of its requests has
// finished.
constexpr double kInitialSlotMs = 1;
// Weight of the newest sample in the moving average of an account's slot time.
constexpr double kSampleWeight = 0.1;

// Resource use of a flow. A flow is a client account with all accounts below
// it, or the requests of an account itself.
struct FlowUsage
{
  double m_virtualMs = 0; // virtual time: slot time used so far per weight
  double m_meanSlotMs = kInitialSlotMs;
};

// By account path; the key of an account's own requests is OwnFlow().
using FlowUsages = std::map<std::string, FlowUsage>;

// Waiting requests of one class: those of a client account and the accounts
// below it, or at the top those of all accounts.
struct Subqueue
{
  std::map<std::string, Subqueue> m_children;
  std::deque<Request> m_own; // requests of the account itself
  size_t m_waiting = 0;
  double m_virtualMs = 0; // virtual time of the flow served last
  int m_weight = 1;
};

// The waiting requests of an account itself compete with its children like one
// more child of this name.
const std::string kOwnFlow;

class FairQueue : public Queue
{
public:
  void Push(const Request& aRequest) override
  {
    Subqueue* queue = &ClassOf(aRequest);
    ++queue->m_waiting;
    for (const Share& share : aRequest.m_shares) {
      Subqueue& child = queue->m_children[share.m_account];
      child.m_weight = std::max(1, share.m_weight);
      if (child.m_waiting == 0) {
        Activate(m_usages[share.m_account], *queue);
      }
      ++child.m_waiting;
      ++m_waitingByAccount[share.m_account];
      queue = &child;
    }
    if (queue->m_own.empty()) {
      Activate(m_usages[OwnFlow(aRequest.m_shares)], *queue);
    }
    queue->m_own.insert(InsertPosition(*queue, aRequest), aRequest);
    ++m_size;
  }

  std::optional<Request> Pop() override
  {
    if (m_size == 0) {
      return std::nullopt;
    }
    Subqueue* queue = m_internal.m_waiting > 0 ? &m_internal : &m_external;
    std::string account;
    while (true) {
      const std::string next = NextFlow(*queue, account);
      if (next == kOwnFlow) {
        break;
      }
      queue = &queue->m_children.at(next);
      account = next;
    }
    Request request = queue->m_own.front();
    Dequeue(request);
    request.m_chargedMs = m_usages[OwnFlow(request.m_shares)].m_meanSlotMs;
    Charge(request.m_shares, request.m_chargedMs);
    return request;
  }

  bool Remove(uint64_t aId) override
  {
    for (const Request& request : Waiting()) {
      if (request.m_id == aId) {
        Dequeue(request);
        return true;
      }
    }
    return false;
  }

  void OnFinished(const Request& aRequest, Duration aSlotTime) override
  {
    const double actualMs =
      std::chrono::duration<double, std::milli>(aSlotTime).count();
    Charge(aRequest.m_shares, actualMs - aRequest.m_chargedMs);
    double& mean = m_usages[OwnFlow(aRequest.m_shares)].m_meanSlotMs;
    mean += kSampleWeight * (actualMs - mean);
  }

  void Refund(const Request& aRequest) override
  {
    Charge(aRequest.m_shares, -aRequest.m_chargedMs);
  }

  std::optional<uint64_t> Victim(const Request& aRequest,
                                 size_t aLevels) const override
  {
    const bool isInternal = aRequest.m_priority > 0;
    const Subqueue* external = FindSubqueue(m_external, aRequest, aLevels);
    if (isInternal && external != nullptr && external->m_waiting > 0) {
      return NewestOf(*external);
    }
    const Subqueue* queue =
      isInternal ? FindSubqueue(m_internal, aRequest, aLevels) : external;
    if (queue == nullptr) {
      return std::nullopt;
    }
    // Descends to the first level at which the child with the most waiting
    // requests per weight is not on the new request's path, and compares that
    // child with the one on the path.
    for (size_t level = aLevels; level < aRequest.m_shares.size(); ++level) {
      const Share& share = aRequest.m_shares[level];
      const auto longest = LongestChild(*queue);
      if (longest == queue->m_children.end()) {
        return std::nullopt;
      }
      if (longest->first != share.m_account) {
        const double withRequest =
          (WaitingInChild(*queue, share.m_account) + 1.0) / share.m_weight;
        const bool longer = WaitingPerWeight(longest->second) > withRequest;
        return longer ? NewestOf(longest->second) : std::nullopt;
      }
      queue = &longest->second;
    }
    return std::nullopt;
  }

  size_t WaitingCount(const std::string& aAccount) const override
  {
    const auto found = m_waitingByAccount.find(aAccount);
    return found == m_waitingByAccount.end() ? 0 : found->second;
  }

  size_t Size() const override { return m_size; }

  std::vector<Request> Waiting() const override
  {
    std::vector<Request> requests;
    Collect(m_internal, requests);
    Collect(m_external, requests);
    return requests;
  }

private:
  // ---- Classes and positions ----

  Subqueue& ClassOf(const Request& aRequest)
  {
    return aRequest.m_priority > 0 ? m_internal : m_external;
  }

  static std::string OwnFlow(const std::vector<Share>& aShares)
  {
    return aShares.back().m_account + "/";
  }

  static std::deque<Request>::iterator InsertPosition(Subqueue& aQueue,
                                                      const Request& aRequest)
  {
    return std::find_if(aQueue.m_own.begin(),
                        aQueue.m_own.end(),
                        [&aRequest](const Request& aOther) {
                          return aOther.m_priority < aRequest.m_priority;
                        });
  }

  // ---- Fair order ----

  // A flow that was idle collects no credit for that time.
  static void Activate(FlowUsage& aFlow, const Subqueue& aParent)
  {
    aFlow.m_virtualMs = std::max(aFlow.m_virtualMs, aParent.m_virtualMs);
  }

  // Child of aAccount that goes next, or kOwnFlow for the account's own
  // requests.
  std::string NextFlow(Subqueue& aQueue, const std::string& aAccount)
  {
    std::string next = kOwnFlow;
    double least = 0;
    bool found = false;
    if (!aQueue.m_own.empty()) {
      least = m_usages[aAccount + "/"].m_virtualMs;
      found = true;
    }
    for (const auto& [account, child] : aQueue.m_children) {
      const double virtualMs = m_usages[account].m_virtualMs;
      if (child.m_waiting > 0 && (!found || virtualMs < least)) {
        next = account;
        least = virtualMs;
        found = true;
      }
    }
    aQueue.m_virtualMs = std::max(aQueue.m_virtualMs, least);
    return next;
  }

  void Charge(const std::vector<Share>& aShares, double aSlotMs)
  {
    for (const Share& share : aShares) {
      m_usages[share.m_account].m_virtualMs +=
        aSlotMs / std::max(1, share.m_weight);
    }
    // An account's own requests have the default weight of a child.
    constexpr double kOwnWeight = 100;
    m_usages[OwnFlow(aShares)].m_virtualMs += aSlotMs / kOwnWeight;
  }

  // ---- Waiting requests ----

  void Dequeue(const Request& aRequest)
  {
    Subqueue* queue = &ClassOf(aRequest);
    --queue->m_waiting;
    for (const Share& share : aRequest.m_shares) {
      queue = &queue->m_children.at(share.m_account);
      --queue->m_waiting;
      if (--m_waitingByAccount[share.m_account] == 0) {
        m_waitingByAccount.erase(share.m_account);
      }
    }
    const auto position = std::find_if(queue->m_own.begin(),
                                       queue->m_own.end(),
                                       [&aRequest](const Request& aOther) {
                                         return aOther.m_id == aRequest.m_id;
                                       });
    queue->m_own.erase(position);
    --m_size;
  }

  // Subqueue of the client account at m_shares[aLevels - 1], or nullptr; aTop
  // when aLevels is 0.
  static const Subqueue* FindSubqueue(const Subqueue& aTop,
                                      const Request& aRequest,
                                      size_t aLevels)
  {
    const Subqueue* queue = &aTop;
    for (size_t level = 0; level < aLevels; ++level) {
      const auto child =
        queue->m_children.find(aRequest.m_shares[level].m_account);
      if (child == queue->m_children.end()) {
        return nullptr;
      }
      queue = &child->second;
    }
    return queue;
  }

  static double WaitingPerWeight(const Subqueue& aQueue)
  {
    return static_cast<double>(aQueue.m_waiting) / aQueue.m_weight;
  }

  static std::map<std::string, Subqueue>::const_iterator LongestChild(
    const Subqueue& aQueue)
  {
    return std::max_element(aQueue.m_children.begin(),
                            aQueue.m_children.end(),
                            [](const auto& aLeft, const auto& aRight) {
                              return WaitingPerWeight(aLeft.second) <
                                     WaitingPerWeight(aRight.second);
                            });
  }

  static double WaitingInChild(const Subqueue& aQueue,
                               const std::string& aAccount)
  {
    const auto found = aQueue.m_children.find(aAccount);
    return found == aQueue.m_children.end()
             ? 0
             : static_cast<double>(found->second.m_waiting);
  }

  static std::optional<uint64_t> NewestOf(const Subqueue& aQueue)
  {
    std::vector<Request> requests;
    Collect(aQueue, requests);
    const auto newest =
      std::max_element(requests.begin(),
                       requests.end(),
                       [](const Request& aLeft, const Request& aRight) {
                         return aLeft.m_arrived < aRight.m_arrived;
                       });
    if (newest == requests.end()) {
      return std::nullopt;
    }
    return newest->m_id;
  }

  static void Collect(const Subqueue& aQueue, std::vector<Request>& aOut)
  {
    aOut.insert(aOut.end(), aQueue.m_own.begin(), aQueue.m_own.end());
    for (const auto& [account, child] : aQueue.m_children) {
      if (child.m_waiting > 0) {
        Collect(child, aOut);
      }
    }
  }

  Subqueue m_internal; // calls made by targets
  Subqueue m_external; // calls from outside the mesh
  FlowUsages m_usages;
  std::map<std::string, size_t> m_waitingByAccount;
  size_t m_size = 0;
};

} // namespace

std::unique_ptr<Queue> MakeFairQueue()
{
  return std::make_unique<FairQueue>();
}

} // namespace wigeonfold::admission
