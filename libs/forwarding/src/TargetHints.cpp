#include "wigeonfold/forwarding/TargetHints.h"

namespace wigeonfold::forwarding {

void TargetHints::OnAnswer(const std::string& aNodeName,
                           const wire::CallResponse& aResponse)
{
  if (aResponse.__isset.leaving) {
    HintOf(aNodeName).m_leaving = aResponse.leaving;
  }
  if (aResponse.__isset.load && aResponse.load.__isset.limit) {
    HintOf(aNodeName).m_limit = aResponse.load.limit;
    return;
  }
  // Only the target itself ends its limit; a restarted node knows of none.
  const auto hint = m_hints.find(aNodeName);
  if (aResponse.run == wire::RunState::Run && hint != m_hints.end()) {
    hint->second.m_limit.reset();
  }
}

void TargetHints::Fill(const std::string& aNodeName,
                       wire::CallRequest& aRequest) const
{
  const auto found = m_hints.find(aNodeName);
  const Hint hint = found == m_hints.end() ? Hint() : found->second;
  aRequest.__isset.leaving = hint.m_leaving.has_value();
  if (hint.m_leaving) {
    aRequest.leaving = *hint.m_leaving;
  }
  aRequest.__isset.limit = hint.m_limit.has_value();
  if (hint.m_limit) {
    aRequest.limit = *hint.m_limit;
  }
}

TargetHints::Hint& TargetHints::HintOf(const std::string& aNodeName)
{
  const auto [hint, isNew] = m_hints.try_emplace(aNodeName);
  if (isNew) {
    m_order.push_back(aNodeName);
  }
  if (m_order.size() > kMaxNodes) {
    m_hints.erase(m_order.front());
    m_order.pop_front();
  }
  return hint->second;
}

} // namespace wigeonfold::forwarding
