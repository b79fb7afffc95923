#include "wigeonfold/admission/Queue.h"

#include <algorithm>
#include <deque>
#include <map>

namespace wigeonfold::admission {

namespace {

// Slot time charged before anything is known of an office's requests.
constexpr double kInitialSlotMs = 1;
// Weight of the newest sample in an office's mean slot time.
constexpr double kSampleWeight = 0.1;

// Slot time used so far per weight, in ms. Kept per office and level.
struct Account
{
  double m_used = 0;
  double m_meanSlotMs = kInitialSlotMs;
};

using Accounts = std::map<std::string, Account>;

// One office in one class of the queue, with the requests of its own and the
// offices below it.
struct Group
{
  std::map<std::string, Group> m_children;
  std::deque<Request> m_own;
  size_t m_waiting = 0;
  double m_clock = 0; // m_used of the member served last
  int m_weight = 1;
};

// The requests that an office itself has waiting compete with its children as
// if they were one more child of this name.
const std::string kOwnName;

class FairQueue : public Queue
{
public:
  void Push(const Request& aRequest) override
  {
    Group* group = &ClassOf(aRequest);
    ++group->m_waiting;
    for (const Share& share : aRequest.m_shares) {
      Group& child = group->m_children[share.m_office];
      child.m_weight = std::max(1, share.m_weight);
      if (child.m_waiting == 0) {
        Activate(m_accounts[share.m_office], *group);
      }
      ++child.m_waiting;
      ++m_waiting[share.m_office];
      group = &child;
    }
    if (group->m_own.empty()) {
      Activate(m_accounts[OwnAccount(aRequest.m_shares)], *group);
    }
    group->m_own.insert(PlaceFor(*group, aRequest), aRequest);
    ++m_size;
  }

  std::optional<Request> Pop() override
  {
    if (m_size == 0) {
      return std::nullopt;
    }
    Group* group = m_deep.m_waiting > 0 ? &m_deep : &m_outside;
    std::string office;
    while (true) {
      const std::string next = NextMember(*group, office);
      if (next == kOwnName) {
        break;
      }
      group = &group->m_children.at(next);
      office = next;
    }
    Request request = group->m_own.front();
    Take(request);
    request.m_chargedMs = m_accounts[OwnAccount(request.m_shares)].m_meanSlotMs;
    Charge(request.m_shares, request.m_chargedMs);
    return request;
  }

  bool Remove(uint64_t aId) override
  {
    for (const Request& request : Waiting()) {
      if (request.m_id == aId) {
        Take(request);
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
    double& mean = m_accounts[OwnAccount(aRequest.m_shares)].m_meanSlotMs;
    mean += kSampleWeight * (actualMs - mean);
  }

  void Refund(const Request& aRequest) override
  {
    Charge(aRequest.m_shares, -aRequest.m_chargedMs);
  }

  std::optional<uint64_t> Victim(const Request& aRequest,
                                 size_t aLevels) const override
  {
    const bool deep = aRequest.m_depth > 0;
    const Group* outside = Descend(m_outside, aRequest, aLevels);
    if (deep && outside != nullptr && outside->m_waiting > 0) {
      return NewestOf(*outside);
    }
    const Group* group = deep ? Descend(m_deep, aRequest, aLevels) : outside;
    if (group == nullptr) {
      return std::nullopt;
    }
    // Compares the waiting requests per weight at the first level where the
    // new request's office and the longest one part ways.
    for (size_t level = aLevels; level < aRequest.m_shares.size(); ++level) {
      const Share& share = aRequest.m_shares[level];
      const auto longest = Longest(*group);
      if (longest == group->m_children.end()) {
        return std::nullopt;
      }
      if (longest->first != share.m_office) {
        const double mine =
          (WaitingBelow(*group, share.m_office) + 1.0) / share.m_weight;
        const bool longer = PerWeight(longest->second) > mine;
        return longer ? NewestOf(longest->second) : std::nullopt;
      }
      group = &longest->second;
    }
    return std::nullopt;
  }

  size_t WaitingFor(const std::string& aOffice) const override
  {
    const auto found = m_waiting.find(aOffice);
    return found == m_waiting.end() ? 0 : found->second;
  }

  size_t Size() const override { return m_size; }

  std::vector<Request> Waiting() const override
  {
    std::vector<Request> requests;
    Collect(m_deep, requests);
    Collect(m_outside, requests);
    return requests;
  }

private:
  // ---- Classes and places ----

  Group& ClassOf(const Request& aRequest)
  {
    return aRequest.m_depth > 0 ? m_deep : m_outside;
  }

  static std::string OwnAccount(const std::vector<Share>& aShares)
  {
    return aShares.back().m_office + "/";
  }

  static std::deque<Request>::iterator PlaceFor(Group& aGroup,
                                                const Request& aRequest)
  {
    return std::find_if(aGroup.m_own.begin(),
                        aGroup.m_own.end(),
                        [&aRequest](const Request& aOther) {
                          return aOther.m_depth < aRequest.m_depth;
                        });
  }

  // ---- Fair order ----

  // An office that was idle does not collect credit for that time.
  static void Activate(Account& aAccount, const Group& aParent)
  {
    aAccount.m_used = std::max(aAccount.m_used, aParent.m_clock);
  }

  // Office below aGroup that goes next, or kOwnName for its own requests.
  std::string NextMember(Group& aGroup, const std::string& aOffice)
  {
    std::string next = kOwnName;
    double least = 0;
    bool found = false;
    if (!aGroup.m_own.empty()) {
      least = m_accounts[aOffice + "/"].m_used;
      found = true;
    }
    for (const auto& [office, child] : aGroup.m_children) {
      const double used = m_accounts[office].m_used;
      if (child.m_waiting > 0 && (!found || used < least)) {
        next = office;
        least = used;
        found = true;
      }
    }
    aGroup.m_clock = std::max(aGroup.m_clock, least);
    return next;
  }

  void Charge(const std::vector<Share>& aShares, double aSlotMs)
  {
    for (const Share& share : aShares) {
      m_accounts[share.m_office].m_used +=
        aSlotMs / std::max(1, share.m_weight);
    }
    // The office's own requests weigh as much as a default child.
    constexpr double kOwnWeight = 100;
    m_accounts[OwnAccount(aShares)].m_used += aSlotMs / kOwnWeight;
  }

  // ---- Waiting requests ----

  void Take(const Request& aRequest)
  {
    Group* group = &ClassOf(aRequest);
    --group->m_waiting;
    for (const Share& share : aRequest.m_shares) {
      group = &group->m_children.at(share.m_office);
      --group->m_waiting;
      if (--m_waiting[share.m_office] == 0) {
        m_waiting.erase(share.m_office);
      }
    }
    const auto place = std::find_if(group->m_own.begin(),
                                    group->m_own.end(),
                                    [&aRequest](const Request& aOther) {
                                      return aOther.m_id == aRequest.m_id;
                                    });
    group->m_own.erase(place);
    --m_size;
  }

  // Group of the office at the request's m_shares[aLevels - 1], or nullptr.
  static const Group* Descend(const Group& aTop,
                              const Request& aRequest,
                              size_t aLevels)
  {
    const Group* group = &aTop;
    for (size_t level = 0; level < aLevels; ++level) {
      const auto child =
        group->m_children.find(aRequest.m_shares[level].m_office);
      if (child == group->m_children.end()) {
        return nullptr;
      }
      group = &child->second;
    }
    return group;
  }

  static double PerWeight(const Group& aGroup)
  {
    return static_cast<double>(aGroup.m_waiting) / aGroup.m_weight;
  }

  static std::map<std::string, Group>::const_iterator Longest(
    const Group& aGroup)
  {
    return std::max_element(aGroup.m_children.begin(),
                            aGroup.m_children.end(),
                            [](const auto& aLeft, const auto& aRight) {
                              return PerWeight(aLeft.second) <
                                     PerWeight(aRight.second);
                            });
  }

  static double WaitingBelow(const Group& aGroup, const std::string& aOffice)
  {
    const auto found = aGroup.m_children.find(aOffice);
    return found == aGroup.m_children.end()
             ? 0
             : static_cast<double>(found->second.m_waiting);
  }

  static std::optional<uint64_t> NewestOf(const Group& aGroup)
  {
    std::vector<Request> requests;
    Collect(aGroup, requests);
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

  static void Collect(const Group& aGroup, std::vector<Request>& aOut)
  {
    aOut.insert(aOut.end(), aGroup.m_own.begin(), aGroup.m_own.end());
    for (const auto& [office, child] : aGroup.m_children) {
      if (child.m_waiting > 0) {
        Collect(child, aOut);
      }
    }
  }

  Group m_deep;    // calls made by targets
  Group m_outside; // calls from outside the mesh
  Accounts m_accounts;
  std::map<std::string, size_t> m_waiting;
  size_t m_size = 0;
};

} // namespace

std::unique_ptr<Queue> MakeFairQueue()
{
  return std::make_unique<FairQueue>();
}

} // namespace wigeonfold::admission
