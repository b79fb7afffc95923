// Bounded channel from one thread to the event loop of another.
#pragma once

#include "wigeonfold/base/Ring.h"

#include <utility>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <functional>

namespace wigeonfold::control {

// One thread pushes; the thread of the attached io_context consumes, in the
// order of the pushes. At most one wake-up is posted at a time.
template<class T>
class Channel
{
public:
  explicit Channel(size_t aCapacity)
    : m_ring(aCapacity, [this] { Wake(); })
  {
  }

  // Call before the first push. aIo must outlive the last push. aConsume is
  // called with each value, aOnDrained after all values that were in the ring.
  void Attach(boost::asio::io_context& aIo,
              std::function<void(T)> aConsume,
              std::function<void()> aOnDrained = {})
  {
    m_io = &aIo;
    m_consume = std::move(aConsume);
    m_onDrained = std::move(aOnDrained);
  }

  // Returns false and drops the value when the ring is full. For messages that
  // their protocol repeats and calls that can be refused.
  bool TryPush(T aValue) { return Flush() && m_ring.Push(std::move(aValue)); }

  // Queues the value on the producer's side while the ring is full. That queue
  // has no limit, so only for values whose number the producer limits. Call
  // Flush from a timer.
  void Push(T aValue)
  {
    m_overflow.push_back(std::move(aValue));
    Flush();
  }

  // Moves queued values to the ring. Returns true when none are left. Call on
  // the producer's thread.
  bool Flush()
  {
    while (!m_overflow.empty()) {
      if (!m_ring.Push(std::move(m_overflow.front()))) {
        return false;
      }
      m_overflow.pop_front();
    }
    return true;
  }

private:
  void Wake()
  {
    if (!m_wakePosted.exchange(true)) {
      boost::asio::post(*m_io, [this] {
        m_wakePosted.store(false);
        m_ring.Drain(m_consume);
        if (m_onDrained) {
          m_onDrained();
        }
      });
    }
  }

  Ring<T> m_ring;
  std::deque<T> m_overflow; // queued by the producer while the ring is full
  std::atomic<bool> m_wakePosted{ false };
  boost::asio::io_context* m_io = nullptr;
  std::function<void(T)> m_consume;
  std::function<void()> m_onDrained;
};

} // namespace wigeonfold::control
