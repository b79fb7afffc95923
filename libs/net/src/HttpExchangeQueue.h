// The requests of one connection that are not answered yet, in the order in
// which they were read.
#pragma once

#include "wigeonfold/net/Http.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace wigeonfold::net {

// One request and, once the handler has given it, its answer.
struct HttpExchange
{
  std::function<void()> m_onAbandon;
  std::optional<HttpResponse> m_response;
  size_t m_requestBytes = 0;
  bool m_alone = false; // no other request of the connection runs beside it
  bool m_keepAlive = true;
  bool m_isHead = false; // the request method is HEAD
  bool m_http10 = false;
};

// Answers may be given in any order and leave in the order of the requests.
// Holds no memory while it is empty: most connections are idle. Not thread
// safe.
class HttpExchangeQueue
{
public:
  // Requests of a connection that are in progress at once. More would let one
  // connection hold many slots of a target.
  static constexpr size_t kMaxExchanges = 16;

  // Returns an id that Find() accepts until the exchange is taken.
  //
  // Precondition: not IsFull().
  uint64_t Add(HttpExchange aExchange);
  // Null when the exchange has left the queue.
  HttpExchange* Find(uint64_t aId);

  // True when the answer to the first request may be sent.
  bool IsFirstAnswered() const;
  // Precondition: not IsEmpty().
  HttpExchange TakeFirst();
  // Removes all and returns the functions that tell their handlers.
  std::vector<std::function<void()>> Abandon();

  bool IsEmpty() const { return m_exchanges.empty(); }
  bool IsFull() const { return m_exchanges.size() >= kMaxExchanges; }
  // True while a request is in progress that runs alone.
  bool HasAlone() const;
  // Bytes of all requests.
  size_t RequestBytes() const;
  // Bytes of the answers that wait for an earlier one.
  size_t AnswerBytes() const;

  size_t Capacity() const { return m_exchanges.capacity(); }

private:
  void Release();

  std::vector<HttpExchange> m_exchanges;
  uint64_t m_firstId = 1;
};

} // namespace wigeonfold::net
