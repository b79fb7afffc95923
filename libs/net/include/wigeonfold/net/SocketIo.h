// Reads and writes of sockets that need no asynchronous operation while the
// system has bytes or room. Each asynchronous operation costs a turn of the
// event loop, and a buffer of its own for as long as it waits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wigeonfold::net {

// Reads what has arrived, at most 64 KiB, without waiting. The bytes stay valid
// until the next call on the same thread. Empty with would_block when there is
// nothing, with another code when the connection has ended.
//
// Precondition: the socket is non-blocking. Thread safe for different sockets.
std::string_view ReceiveNow(boost::asio::ip::tcp::socket& aSocket,
                            boost::system::error_code& aCode);

// Hands the parts to the system in order until it takes no more, without
// waiting, and returns how many bytes it took. Errors are left to the next
// asynchronous write, so that they are reported outside of this call.
//
// Precondition: the socket is non-blocking. Thread safe for different sockets.
size_t SendNow(boost::asio::ip::tcp::socket& aSocket,
               std::initializer_list<std::string_view> aParts);

// Feeds a Beast parser and returns how many bytes it took; the caller gives the
// others again, with what follows them. The head is parsed on its own: Beast
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
    aParser.eager(aParser.is_header_done());
    const size_t taken = aParser.put(
      boost::asio::buffer(aBytes.data() + used, aBytes.size() - used), aCode);
    used += taken;
    const bool needsMore = aCode == boost::beast::http::error::need_more;
    if (needsMore) {
      aCode = {};
    }
    if (aCode || needsMore || taken == 0) {
      break;
    }
  }
  return used;
}

// Tells the parser that the connection has ended. The code is end_of_stream
// when no message had begun, and partial_message when one is cut short.
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
