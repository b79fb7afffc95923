// Non-blocking socket reads and writes. An asynchronous operation is needed
// only when the socket has no data or no buffer space: it costs a pass through
// the event loop, and holds a buffer while it waits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wigeonfold::net {

// Most bytes that one ReceiveNow() returns.
inline constexpr size_t kMaxReceivedBytes = size_t{ 64 } << 10;

// Reads what has arrived, at most kMaxReceivedBytes, without waiting. The bytes
// stay valid until the next call on the same thread. When there are none, aCode
// tells why: would_block if none have arrived yet, another code if the
// connection has ended.
//
// Precondition: the socket is non-blocking. Thread safe for different sockets.
std::string_view ReceiveNow(boost::asio::ip::tcp::socket& aSocket,
                            boost::system::error_code& aCode);

// Writes the parts in order without waiting, and returns how many bytes the
// socket accepted; 0 on an error, which aCode tells: would_block if the socket
// accepts none yet. A write that follows an error reports an error as well,
// though perhaps another one.
//
// Precondition: the socket is non-blocking. Thread safe for different sockets.
size_t SendNow(boost::asio::ip::tcp::socket& aSocket,
               std::initializer_list<std::string_view> aParts,
               boost::system::error_code& aCode);

// Whether the peer ended its sending in good order, so that a message without a
// length is whole. aReadCode: why a read got no bytes. aWriteError: that of the
// first write on the connection that failed, if any.
//
// The system reports a reset once, to a write or to a read. After a write took
// it, a read sees the same as after an orderly end, so a connection that writes
// while it reads has to know of each write error before its next read. A write
// fails with broken_pipe if the peer had ended its sending before it reset the
// connection. Thread safe.
bool IsOrderlyEnd(const boost::system::error_code& aReadCode,
                  const boost::system::error_code& aWriteError);

// Limit of the bytes that a parser leaves unconsumed after the head. Beast
// takes chunk sizes, chunk extensions and trailers only as a whole and does not
// limit them, so a sender that never completes one would fill the memory.
inline constexpr size_t kMaxUnparsedBytes = size_t{ 64 } << 10;

// Feeds a Beast parser with one part of a message: its head, or what has
// arrived of its body. Returns how many bytes it consumed; 0 if it needs more.
// Not thread safe.
template<class Parser>
size_t FeedPart(Parser& aParser,
                std::string_view aBytes,
                boost::system::error_code& aCode)
{
  aCode = {};
  aParser.eager(aParser.is_header_done());
  const size_t used =
    aParser.put(boost::asio::buffer(aBytes.data(), aBytes.size()), aCode);
  if (aCode == boost::beast::http::error::need_more) {
    aCode = {};
  }
  return used;
}

// Feeds a Beast parser and returns how many bytes it consumed; pass the rest
// again, with the bytes that follow. The head is parsed separately: Beast
// 1.74 loses the body limit error of a head that is parsed together with body
// bytes. Not thread safe.
template<class Parser>
size_t FeedParser(Parser& aParser,
                  std::string_view aBytes,
                  boost::system::error_code& aCode)
{
  size_t used = 0;
  aCode = {};
  while (used < aBytes.size() && !aParser.is_done()) {
    const size_t taken = FeedPart(aParser, aBytes.substr(used), aCode);
    used += taken;
    if (aCode || taken == 0) {
      break;
    }
  }
  return used;
}

// Tells the parser that the connection has ended. Sets aCode to end_of_stream
// when no message had begun, and to partial_message when one is incomplete.
template<class Parser>
void EndParser(Parser& aParser, boost::system::error_code& aCode)
{
  if (!aParser.got_some()) {
    aCode = boost::beast::http::error::end_of_stream;
    return;
  }
  aCode = {};
  aParser.put_eof(aCode);
}

} // namespace wigeonfold::net
