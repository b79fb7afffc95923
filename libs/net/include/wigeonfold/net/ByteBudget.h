// Bound on the bytes that connections hold together.
#pragma once

#include <cstddef>

namespace wigeonfold::net {

// A limit for each connection bounds nothing when there are many, so they share
// one of these. Not thread safe; belongs to one io_context.
class ByteBudget
{
public:
  explicit ByteBudget(size_t aLimit)
    : m_limit(aLimit)
  {
  }

  // Changes the share of a connection. Returns false, and changes nothing, when
  // a larger share would exceed the limit.
  bool ChangeShare(size_t aFrom, size_t aTo)
  {
    if (aTo > aFrom && m_used - aFrom + aTo > m_limit) {
      return false;
    }
    m_used = m_used - aFrom + aTo;
    return true;
  }

  size_t Used() const { return m_used; }

private:
  const size_t m_limit;
  size_t m_used = 0;
};

} // namespace wigeonfold::net
