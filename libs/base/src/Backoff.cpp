#include "wigeonfold/base/Backoff.h"

#include <algorithm>

namespace wigeonfold {

namespace {

// Bounds the shift so that base * 2^failures does not overflow.
constexpr int kMaxDoublings = 20;

} // namespace

Backoff::Backoff(Duration aBase, Duration aMax, uint64_t aSeed)
  : m_base(aBase)
  , m_max(aMax)
  , m_random(aSeed)
{
}

Duration Backoff::Next()
{
  const Duration bound = std::min(m_max, m_base * (int64_t{ 1 } << m_failures));
  m_failures = std::min(m_failures + 1, kMaxDoublings);
  std::uniform_int_distribution<Duration::rep> delay(0, bound.count());
  return Duration(delay(m_random));
}

void Backoff::Reset()
{
  m_failures = 0;
}

} // namespace wigeonfold
