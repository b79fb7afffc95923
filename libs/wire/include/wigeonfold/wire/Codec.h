// Thrift compact encoding of the generated structs.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/wire/gen/common_types.h"

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace wigeonfold::wire {

// Serializes a generated struct. Thread safe.
template<class T>
std::string Encode(const T& aMessage)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>
    protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

// Deserializes a generated struct; fails with Protocol and aPeer on malformed
// input. Thread safe.
template<class T>
Result<T> Decode(std::string_view aBytes, const std::string& aPeer)
{
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  try {
    // NOLINTNEXTLINE: Thrift takes a mutable pointer, but OBSERVE only reads.
    auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data()));
    auto buffer = std::make_shared<Buffer>(
      data, static_cast<uint32_t>(aBytes.size()), Buffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<Buffer> protocol(
      buffer,
      static_cast<int32_t>(aBytes.size()),
      static_cast<int32_t>(aBytes.size()));
    T message;
    message.read(&protocol);
    return message;
  } catch (const std::exception& error) {
    return Error{ ErrorCode::Protocol, "decode message", aPeer, error.what() };
  }
}

inline WireVersion ToWire(const Version& aVersion)
{
  WireVersion version;
  version.generation = aVersion.m_generation;
  version.number = aVersion.m_number;
  return version;
}

inline Version FromWire(const WireVersion& aVersion)
{
  return Version{ aVersion.generation, aVersion.number };
}

} // namespace wigeonfold::wire
