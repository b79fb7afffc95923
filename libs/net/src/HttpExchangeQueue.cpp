#include "HttpExchangeQueue.h"

#include <utility>

namespace wigeonfold::net {

uint64_t HttpExchangeQueue::Add(HttpExchange aExchange)
{
  m_exchanges.push_back(std::move(aExchange));
  return m_firstId + m_exchanges.size() - 1;
}

HttpExchange* HttpExchangeQueue::Find(uint64_t aId)
{
  const uint64_t index = aId - m_firstId; // wraps if the exchange has left
  return index < m_exchanges.size() ? &m_exchanges[index] : nullptr;
}

bool HttpExchangeQueue::IsFirstAnswered() const
{
  return !m_exchanges.empty() && m_exchanges.front().m_response.has_value();
}

HttpExchange HttpExchangeQueue::TakeFirst()
{
  HttpExchange first = std::move(m_exchanges.front());
  m_exchanges.erase(m_exchanges.begin());
  ++m_firstId;
  if (m_exchanges.empty()) {
    Release();
  }
  return first;
}

std::vector<std::function<void()>> HttpExchangeQueue::Abandon()
{
  std::vector<std::function<void()>> callbacks;
  for (HttpExchange& exchange : m_exchanges) {
    if (exchange.m_onAbandon) {
      callbacks.push_back(std::move(exchange.m_onAbandon));
    }
  }
  m_firstId += m_exchanges.size();
  Release();
  return callbacks;
}

// Assigning {} would keep the memory.
void HttpExchangeQueue::Release()
{
  std::vector<HttpExchange>().swap(m_exchanges);
}

bool HttpExchangeQueue::HasAlone() const
{
  // No request is read behind one that runs alone, so it is the last.
  return !m_exchanges.empty() && m_exchanges.back().m_alone;
}

size_t HttpExchangeQueue::RequestBytes() const
{
  size_t bytes = 0;
  for (const HttpExchange& exchange : m_exchanges) {
    bytes += exchange.m_requestBytes;
  }
  return bytes;
}

size_t HttpExchangeQueue::AnswerBytes() const
{
  size_t bytes = 0;
  for (const HttpExchange& exchange : m_exchanges) {
    if (exchange.m_response) {
      bytes += exchange.m_response->m_body.size();
    }
  }
  return bytes;
}

} // namespace wigeonfold::net
