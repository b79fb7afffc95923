// Thrift compact encoding of the generated structs.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/wire/gen/common_types.h"

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <vector>

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

inline wire::TargetStart ToWire(const wigeonfold::TargetStart& aStart)
{
  wire::TargetStart start;
  start.instance = aStart.m_instance;
  start.startedAtMs = aStart.m_startedAtMs;
  return start;
}

inline wigeonfold::TargetStart FromWire(const wire::TargetStart& aStart)
{
  return { aStart.instance, aStart.startedAtMs };
}

inline std::vector<wire::TargetStart> ToWire(
  const std::vector<wigeonfold::TargetStart>& aStarts)
{
  std::vector<wire::TargetStart> starts;
  for (const wigeonfold::TargetStart& start : aStarts) {
    starts.push_back(ToWire(start));
  }
  return starts;
}

inline std::vector<wigeonfold::TargetStart> FromWire(
  const std::vector<wire::TargetStart>& aStarts)
{
  std::vector<wigeonfold::TargetStart> starts;
  for (const wire::TargetStart& start : aStarts) {
    starts.push_back(FromWire(start));
  }
  return starts;
}

} // namespace wigeonfold::wire
