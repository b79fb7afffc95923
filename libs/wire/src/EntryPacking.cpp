#include "wigeonfold/wire/EntryPacking.h"

#include "wigeonfold/wire/Codec.h"
#include "wigeonfold/wire/Frame.h"
#include "wigeonfold/wire/Packing.h"

#include <numeric>

namespace wigeonfold::wire {

void EntryPacker::Pack(RaftMessage& aMessage)
{
  const auto& entries = aMessage.entries;
  const size_t bytes = std::accumulate(entries.begin(),
                                       entries.end(),
                                       size_t{ 0 },
                                       [](size_t aSum, const LogEntry& aEntry) {
                                         return aSum + aEntry.payload.size();
                                       });
  if (bytes < kMinBytes) {
    return;
  }
  const Range range{ entries.front().index,
                     entries.front().term,
                     entries.back().index,
                     entries.back().term };
  if (range != m_range) {
    LogEntryList list;
    list.entries = std::move(aMessage.entries);
    const std::string encoded = Encode(list);
    m_packed = wire::Pack(encoded);
    m_length = static_cast<int64_t>(encoded.size());
    m_range = range;
    ++m_compressions;
  }
  aMessage.entries.clear();
  aMessage.packedEntries = m_packed;
  aMessage.packedLength = m_length;
}

Status UnpackEntries(RaftMessage& aMessage, const std::string& aPeer)
{
  if (aMessage.packedEntries.empty()) {
    return Ok();
  }
  const std::string packed = std::move(aMessage.packedEntries);
  aMessage.packedEntries.clear();
  const auto length =
    static_cast<size_t>(std::max<int64_t>(aMessage.packedLength, 0));
  BOOST_OUTCOME_TRY(bytes, Unpack(packed, length, kMaxPayloadBytes, aPeer));
  BOOST_OUTCOME_TRY(list, Decode<LogEntryList>(bytes, aPeer));
  aMessage.entries = std::move(list.entries);
  return Ok();
}

} // namespace wigeonfold::wire
