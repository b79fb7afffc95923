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

// One thread pushes; the thread of the attached io_context consumes. Wake-ups
// are posted only when none is waiting.
template<class T>
class Channel
{
public:
  explicit Channel(size_t aCapacity)
    : m_ring(aCapacity, [this] { Wake(); })
  {
  }

  // Call before the first push. aIo must outlive the channel's use. aDrained
  // is called when all that was in the ring has been consumed.
  void Attach(boost::asio::io_context& aIo,
              std::function<void(T)> aConsume,
              std::function<void()> aOnDrained = {})
  {
    m_io = &aIo;
    m_consume = std::move(aConsume);
    m_onDrained = std::move(aOnDrained);
  }

  // Returns false, and drops the value, when the ring is full. For messages
  // that are repeated by their protocol and for calls that can be refused.
  bool TryPush(T aValue) { return Flush() && m_ring.Push(std::move(aValue)); }

  // Keeps the value on the producer's side while the ring is full. For values
  // whose number is bounded by the producer; call Flush from a timer.
  void Push(T aValue)
  {
    m_overflow.push_back(std::move(aValue));
    Flush();
  }

  // True when nothing waits on the producer's side any more.
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
  std::deque<T> m_overflow;
  std::atomic<bool> m_wakePosted{ false };
  boost::asio::io_context* m_io = nullptr;
  std::function<void(T)> m_consume;
  std::function<void()> m_onDrained;
};

} // namespace wigeonfold::control
