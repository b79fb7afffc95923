// HTTP/1.1 connections to the node's own target.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Dialect.h"
#include "wigeonfold/net/AnswerReader.h"
#include "wigeonfold/wire/gen/peer_types.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace wigeonfold::node {

// Result of a request to the target.
struct Exchange
{
  enum class Kind
  {
    Answer,
    Unusable, // the answer is broken; the target may still be running
    Lost,     // the connection ended before a complete answer
  };

  Kind m_kind = Kind::Lost;
  // False only if the operating system accepted no byte of the request.
  bool m_anyByteWritten = true;
  // True if the connection can carry another request: this one is written, its
  // answer was read completely, no further bytes arrived, and the target keeps
  // the connection open.
  bool m_reusable = false;
  // True if the answer names no request although an earlier answer on the
  // connection did: it may be a late copy of one of them.
  bool m_mayBeLate = false;
  // What is wrong with the answer, if one has begun that is not passed on.
  std::optional<net::BrokenAnswer> m_broken;
  int m_status = 0;
  std::vector<wire::HeaderField> m_headers; // as received
  std::string m_body;
};

struct TargetRequest
{
  std::shared_ptr<const wire::CallRequest> m_call;
  std::vector<wire::HeaderField> m_extra; // added to the call's own fields
  // Which request an answer with these fields names. One that names another
  // request is a late or second answer to it and is skipped. May be empty.
  std::function<forwarding::AnswerOrigin(const std::vector<wire::HeaderField>&)>
    m_originOf;
};

// Carries one request at a time. Use only on the thread of the io_context.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

  // Writes the request and reads the answer. aDone is called once, never from
  // inside this call. Precondition: connected, and no request in progress.
  virtual void Run(TargetRequest aRequest,
                   std::function<void(Exchange)> aDone) = 0;
  // Closes the connection or stops connecting. No callback follows.
  virtual void Close() = 0;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

// Keeps idle connections for reuse. Use only on the thread of the io_context.
class TargetPool
{
public:
  virtual ~TargetPool() = default;

  // Connections opened before this call are not reused.
  virtual void SetTarget(const SocketAddress& aAddress,
                         size_t aMaxConnections) = 0;
  virtual void SetMaxConnections(size_t aMaxConnections) = 0;
  virtual void CloseIdle() = 0;

  // Returns an idle connection that the target has not closed, or nullptr.
  virtual TargetConnectionPtr TakeIdle() = 0;
  // Opens a connection; aDone gets false if that failed. Doesn't check the
  // limit on connections: the caller runs at most that many requests at once.
  virtual TargetConnectionPtr Open(std::function<void(bool)> aDone) = 0;
  // Keeps the connection for reuse, or closes it if the pool is full or the
  // target has changed. Precondition: no request in progress on it.
  virtual void GiveBack(TargetConnectionPtr aConnection) = 0;
  // Closes idle connections that the target closed or soon may close. Call
  // about every second.
  virtual void Sweep() = 0;

  virtual size_t Idle() const = 0;
};

std::unique_ptr<TargetPool> MakeTargetPool(boost::asio::io_context& aIo,
                                           Duration aConnectTimeout);

} // namespace wigeonfold::node
