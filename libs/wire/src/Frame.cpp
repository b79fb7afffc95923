#include "wigeonfold/wire/Frame.h"

#include <boost/endian/conversion.hpp>

namespace wigeonfold::wire {

namespace {

// Erasing consumed bytes moves the unread ones to the front of the buffer, so a
// shorter consumed prefix is kept until the whole buffer is consumed.
constexpr size_t kCompactBytes = 64 * 1024;

} // namespace

void AppendFrame(std::string& aOut,
                 FrameType aType,
                 HybridTime aTime,
                 std::string_view aPayload)
{
  unsigned char header[kFrameHeaderBytes];
  boost::endian::store_big_u32(header, static_cast<uint32_t>(aPayload.size()));
  header[4] = static_cast<unsigned char>(aType);
  boost::endian::store_big_u64(header + 5, aTime);
  aOut.append(reinterpret_cast<const char*>(header), sizeof(header));
  aOut.append(aPayload);
}

FrameReader::FrameReader(std::string aPeer)
  : m_peer(std::move(aPeer))
{
}

void FrameReader::Feed(std::string_view aBytes)
{
  if (m_position == m_buffer.size() || m_position > kCompactBytes) {
    m_buffer.erase(0, m_position);
    m_position = 0;
  }
  m_buffer.append(aBytes);
}

Result<std::optional<Frame>> FrameReader::Next()
{
  if (m_buffer.size() - m_position < kFrameHeaderBytes) {
    return std::optional<Frame>();
  }
  const auto* header =
    reinterpret_cast<const unsigned char*>(m_buffer.data() + m_position);
  const size_t length = boost::endian::load_big_u32(header);
  if (length > kMaxPayloadBytes) {
    return Error{ ErrorCode::Protocol,
                  "read frame",
                  m_peer,
                  "payload of " + std::to_string(length) +
                    " bytes exceeds kMaxPayloadBytes" };
  }
  if (m_buffer.size() - m_position < kFrameHeaderBytes + length) {
    return std::optional<Frame>();
  }
  Frame frame{ static_cast<FrameType>(header[4]),
               boost::endian::load_big_u64(header + 5),
               m_buffer.substr(m_position + kFrameHeaderBytes, length) };
  m_position += kFrameHeaderBytes + length;
  return std::optional<Frame>(std::move(frame));
}

} // namespace wigeonfold::wire
