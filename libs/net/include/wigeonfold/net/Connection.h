// Framed TCP connections between wigeonfold's own processes.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/wire/Codec.h"
#include "wigeonfold/wire/Frame.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace wigeonfold::net {

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

// Callbacks of a connection, run on the thread of its io_context. Either may
// be empty.
struct ConnectionHandlers
{
  // When it throws, the connection is closed with a Protocol error.
  std::function<void(const ConnectionPtr&, wire::Frame)> m_onFrame;
  // Called once, when the peer closes the connection or an error ends it; not
  // called after Close().
  std::function<void(const ConnectionPtr&, const Error&)> m_onClose;
};

// One connection. Call all methods on the thread of its io_context. An open
// connection keeps itself alive, even if no caller holds a pointer to it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  virtual ~Connection() = default;

  // Queues one frame. Returns false, and queues nothing, when the connection
  // is closed or closing, when the payload is longer than
  // wire::kMaxPayloadBytes, or when the queue would exceed kMaxQueuedBytes.
  virtual bool SendFrame(wire::FrameType aType,
                         const std::string& aPayload) = 0;

  template<class T>
  bool Send(wire::FrameType aType, const T& aMessage)
  {
    return SendFrame(aType, wire::Encode(aMessage));
  }

  // Closes at once. No handler is called afterwards.
  virtual void Close() = 0;
  // Accepts no further frames, writes the queued ones, then closes. Handlers
  // may be called until the connection is closed.
  virtual void CloseAfterWrites() = 0;

  virtual bool IsOpen() const = 0;
  virtual size_t QueuedBytes() const = 0;
  virtual uint64_t BytesSent() const = 0;
  virtual uint64_t BytesReceived() const = 0;
  virtual const std::string& Peer() const = 0;

  static constexpr size_t kMaxQueuedBytes = size_t{ 64 } << 20;
};

// Opens a connection. Calls aDone once, with the connection or an error:
// InvalidArgument when the host is not an IP address, Timeout after aTimeout,
// Unavailable otherwise. The handlers are called only after a successful aDone.
void Connect(boost::asio::io_context& aIo,
             const SocketAddress& aAddress,
             Duration aTimeout,
             ConnectionHandlers aHandlers,
             std::function<void(Result<ConnectionPtr>)> aDone);

// Accepts connections until it is stopped or destroyed.
class Listener
{
public:
  virtual ~Listener() = default;
  // Stops accepting; open connections stay open.
  virtual void Stop() = 0;
  // 0 once stopped.
  virtual uint16_t Port() const = 0;
};

// Fails with Io when the address can't be bound. aOnAccept, if set, runs before
// the first frame of the connection is read.
Result<std::unique_ptr<Listener>> Listen(
  boost::asio::io_context& aIo,
  const SocketAddress& aAddress,
  ConnectionHandlers aHandlers,
  std::function<void(const ConnectionPtr&)> aOnAccept);

} // namespace wigeonfold::net
