// Frames on connections between the system's own processes.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/HybridClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonfold::wire {

// Type of the Thrift struct in a frame. Numbers are part of the protocol.
enum class FrameType : uint8_t
{
  // Between control VMs.
  ControlHello = 1,
  Raft = 2,
  EndpointSync = 3,
  LeavingReport = 4,
  RolloutReport = 5,
  QuotaSync = 6,
  // Between node and control VM.
  NodeHello = 10,
  HelloReply = 11,
  Announce = 12,
  ConfigUpdate = 13,
  EndpointUpdate = 14,
  Heartbeat = 15,
  NodeStatus = 16,
  RetryLater = 17,
  // Between nodes.
  PeerHello = 30,
  CallRequest = 31,
  CallResponse = 32,
  CallCancel = 33,
  PeerGoaway = 34,
  CallBodyPart = 35,
};

struct Frame
{
  FrameType m_type = FrameType::ControlHello;
  HybridTime m_time = 0; // sender's hybrid clock
  std::string m_payload; // Thrift compact protocol
};

// Largest payload that is sent or accepted; it has room for a 1 MiB body with
// its headers and for a whole settings tree.
inline constexpr size_t kMaxPayloadBytes = size_t{ 32 } << 20;
// In front of each payload, big-endian: length of the payload, type and the
// sender's hybrid stamp.
inline constexpr size_t kFrameHeaderBytes = 4 + 1 + 8;

// Appends one frame to aOut. Precondition: the payload is at most
// kMaxPayloadBytes.
void AppendFrame(std::string& aOut,
                 FrameType aType,
                 HybridTime aTime,
                 std::string_view aPayload);

// Splits a byte stream into frames. Not thread safe.
class FrameReader
{
public:
  // aPeer names the peer in errors.
  explicit FrameReader(std::string aPeer);

  // Appends received bytes.
  void Feed(std::string_view aBytes);

  // Next whole frame, or nothing when more bytes are needed. Fails with
  // Protocol on a length above kMaxPayloadBytes; the stream is then unusable.
  Result<std::optional<Frame>> Next();

  // Bytes that were fed and not returned.
  size_t PendingBytes() const { return m_buffer.size() - m_position; }

private:
  std::string m_peer;
  std::string m_buffer;
  size_t m_position = 0;
};

} // namespace wigeonfold::wire
