#include "wigeonfold/admission/Queue.h"

#include <algorithm>
#include <deque>

namespace wigeonfold::admission {

namespace {

class FifoQueue : public Queue
{
public:
  void Push(const Request& aRequest) override
  {
    m_requests.push_back(aRequest);
  }

  std::optional<Request> Pop() override
  {
    if (m_requests.empty()) {
      return std::nullopt;
    }
    const Request request = m_requests.front();
    m_requests.pop_front();
    return request;
  }

  bool Remove(uint64_t aId) override
  {
    const auto place = std::find_if(
      m_requests.begin(), m_requests.end(), [aId](const Request& aRequest) {
        return aRequest.m_id == aId;
      });
    if (place == m_requests.end()) {
      return false;
    }
    m_requests.erase(place);
    return true;
  }

  void OnFinished(const Request&, Duration) override {}
  void Refund(const Request&) override {}

  std::optional<uint64_t> Victim(const Request&, size_t) const override
  {
    return std::nullopt;
  }

  size_t WaitingCount(const std::string&) const override { return 0; }
  size_t Size() const override { return m_requests.size(); }
  std::vector<Request> Waiting() const override
  {
    return { m_requests.begin(), m_requests.end() };
  }

private:
  std::deque<Request> m_requests;
};

} // namespace

std::unique_ptr<Queue> MakeFifoQueue()
{
  return std::make_unique<FifoQueue>();
}

std::unique_ptr<Queue> MakeQueue(const std::string& aName)
{
  if (aName == "fair") {
    return MakeFairQueue();
  }
  return aName == "fifo" ? MakeFifoQueue() : nullptr;
}

} // namespace wigeonfold::admission
