#include "wigeonfold/forwarding/PeerLiveness.h"

#include <algorithm>

namespace wigeonfold::forwarding {

PeerCondition PeerLiveness::Check(uint64_t aBytesReceived,
                                  bool aHasCalls,
                                  TimePoint aNow)
{
  const Duration gap = std::min(aNow - m_lastCheck, kMaxCheckGap);
  m_lastCheck = aNow;
  if (!aHasCalls || aBytesReceived != m_bytesReceived) {
    m_silence = Duration::zero();
  } else {
    m_silence += gap;
  }
  m_bytesReceived = aBytesReceived;
  if (m_silence > kLostAfter) {
    return PeerCondition::Lost;
  }
  if (m_silence > kSilentAfter) {
    return PeerCondition::Silent;
  }
  return m_silence > kQuietAfter ? PeerCondition::Quiet : PeerCondition::Alive;
}

} // namespace wigeonfold::forwarding
