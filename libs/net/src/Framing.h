// How an HTTP/1.1 message shows where its body ends.
#pragma once

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/field.hpp>

namespace wigeonfold::net {

// Version 1.1 of HTTP, as Beast counts.
inline constexpr unsigned kHttp11 = 11;

// Whether the message names a transfer coding other than chunked alone, which
// nothing here can decode. Passed on undecoded, its body would be another one
// (RFC 9112, 6.1). Thread safe.
template<class Message>
bool HasUnknownCoding(const Message& aMessage)
{
  constexpr auto kField = boost::beast::http::field::transfer_encoding;
  const size_t count = aMessage.count(kField);
  return count > 1 ||
         (count == 1 && !boost::iequals(aMessage[kField], "chunked"));
}

} // namespace wigeonfold::net
