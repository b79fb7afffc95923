#include "wigeonfold/net/SocketIo.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <vector>

namespace wigeonfold::net {

std::string_view ReceiveNow(boost::asio::ip::tcp::socket& aSocket,
                            boost::system::error_code& aCode)
{
  // Callers consume the bytes before the next read, so all connections of a
  // thread can share one buffer.
  thread_local std::vector<char> buffer(kMaxReceivedBytes);
  const size_t bytes = aSocket.receive(boost::asio::buffer(buffer), 0, aCode);
  return { buffer.data(), bytes };
}

size_t SendNow(boost::asio::ip::tcp::socket& aSocket,
               std::initializer_list<std::string_view> aParts,
               boost::system::error_code& aCode)
{
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(aParts.size());
  for (const std::string_view part : aParts) {
    buffers.emplace_back(part.data(), part.size());
  }
  const size_t bytes = aSocket.send(buffers, 0, aCode);
  return aCode ? 0 : bytes;
}

bool IsOrderlyEnd(const boost::system::error_code& aReadCode,
                  const boost::system::error_code& aWriteError)
{
  return aReadCode == boost::asio::error::eof &&
         (!aWriteError || aWriteError == boost::asio::error::broken_pipe);
}

} // namespace wigeonfold::net
