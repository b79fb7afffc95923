// Connections to the node's own target.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"
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

// What became of a request that was written to the target.
struct Exchange
{
  enum class Kind
  {
    Answer,
    Unusable, // too large, or without a length, so that a cut would be unseen
    Lost,     // the connection ended before a whole answer
  };

  Kind m_kind = Kind::Lost;
  // False only when the system took no byte of the request.
  bool m_anyByteWritten = true;
  // Request written, whole answer read, nothing left over, kept alive.
  bool m_reusable = false;
  int m_status = 0;
  std::vector<wire::HeaderField> m_headers; // as received
  std::string m_body;
};

struct TargetRequest
{
  std::shared_ptr<const wire::CallRequest> m_call;
  std::vector<wire::HeaderField> m_extra; // fields added to the call's own
  // Whether an answer with these fields belongs to this request. One that does
  // not is a late or second answer to an earlier one, and is skipped.
  std::function<bool(const std::vector<wire::HeaderField>&)> m_belongs;
};

// One request at a time over HTTP/1.1. Runs on the thread of the io_context.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

  // Writes the request and reads the answer. aDone is called once, never from
  // inside this call.
  virtual void Run(TargetRequest aRequest,
                   std::function<void(Exchange)> aDone) = 0;
  // No callback follows. Ends an attempt to connect as well.
  virtual void Close() = 0;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

// Keeps idle connections for reuse. Runs on the thread of the io_context.
class TargetPool
{
public:
  virtual ~TargetPool() = default;

  // Connections of an earlier address or instance are not reused.
  virtual void SetTarget(const SocketAddress& aAddress,
                         size_t aMaxConnections) = 0;
  virtual void SetMaxConnections(size_t aMaxConnections) = 0;
  virtual void CloseIdle() = 0;

  // An idle connection that the target has not closed, or nullptr.
  virtual TargetConnectionPtr TakeIdle() = 0;
  // Opens a connection; aDone(false) when that failed. The limit holds as long
  // as at most that many requests run at once.
  virtual TargetConnectionPtr Open(std::function<void(bool)> aDone) = 0;
  // Precondition: no request runs on the connection.
  virtual void GiveBack(TargetConnectionPtr aConnection) = 0;
  // Drops idle connections that the target closed. Call about each second.
  virtual void Sweep() = 0;

  virtual size_t Idle() const = 0;
};

std::unique_ptr<TargetPool> MakeTargetPool(boost::asio::io_context& aIo,
                                           Duration aConnectTimeout);

} // namespace wigeonfold::node
