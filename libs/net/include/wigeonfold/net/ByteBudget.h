// Bound on the bytes that connections hold together.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

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

// The share of one connection in a budget; gives it back at its end. Not thread
// safe.
class BudgetShare
{
public:
  // aFreeBytes of the connection don't count, so that small messages pass while
  // the budget is exhausted. Without a budget (nullptr) nothing is limited.
  BudgetShare(std::shared_ptr<ByteBudget> aBudget, size_t aFreeBytes)
    : m_budget(std::move(aBudget))
    , m_freeBytes(aFreeBytes)
  {
  }
  ~BudgetShare() { Set(0); }
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  // False when the budget is exhausted; the share is then unchanged.
  bool Set(size_t aBytes)
  {
    const size_t share = aBytes > m_freeBytes ? aBytes - m_freeBytes : 0;
    if (m_budget && !m_budget->ChangeShare(m_share, share)) {
      return false;
    }
    m_share = share;
    return true;
  }

  bool HasBudget() const { return m_budget != nullptr; }

private:
  const std::shared_ptr<ByteBudget> m_budget;
  const size_t m_freeBytes;
  size_t m_share = 0;
};

} // namespace wigeonfold::net
