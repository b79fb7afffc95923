// Model of the VM's own network link, for decisions about large answers.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace wigeonfold::admission {

// Estimates how long the link needs for the bytes that this node has sent. The
// socket accepts more than the link has carried, and the rest delays whatever
// is sent next, on any connection. Not thread safe.
class Link
{
public:
  // Bytes per second; 0: the rate is unknown and nothing waits.
  explicit Link(uint64_t aRate)
    : m_rate(aRate)
  {
  }

  // Time that the link needs for so many bytes.
  Duration TimeFor(size_t aBytes) const;
  void OnSent(size_t aBytes, TimePoint aNow);
  // Time until the link has carried all that was sent.
  Duration Backlog(TimePoint aNow) const;

private:
  const uint64_t m_rate;
  TimePoint m_idleAt{}; // when all that was sent is carried
};

} // namespace wigeonfold::admission
