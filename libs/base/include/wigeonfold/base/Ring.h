// Bounded single-producer single-consumer ring between two threads.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace wigeonfold {

// One thread may push and one thread may pop at the same time. The wake
// function is called on the producer's thread after each push; it typically
// posts a drain to the consumer's event loop.
template<class T>
class Ring
{
public:
  Ring(size_t aCapacity, std::function<void()> aWake)
    : m_queue(aCapacity)
    , m_wake(std::move(aWake))
  {
  }

  // Producer's thread. Returns false when the ring is full; the value is then
  // unchanged.
  bool Push(T&& aValue)
  {
    if (!m_queue.push(std::move(aValue))) {
      return false;
    }
    m_wake();
    return true;
  }

  // Consumer's thread. Calls aConsume with every value in the ring and returns
  // their number.
  template<class F>
  size_t Drain(F&& aConsume)
  {
    return m_queue.consume_all(
      [&aConsume](T& aValue) { aConsume(std::move(aValue)); });
  }

private:
  boost::lockfree::spsc_queue<T> m_queue;
  std::function<void()> m_wake;
};

} // namespace wigeonfold
