#include "Format.h"

#include "wigeonfold/base/Hash.h"

#include <boost/endian/conversion.hpp>
#include <charconv>
#include <cstdio>

namespace wigeonfold::storage {
namespace {

// The last character of each magic number is the format version.
constexpr uint64_t kSegmentMagic = 0x31474f4c46574757;  // "WGWFLOG1"
constexpr uint64_t kIdentityMagic = 0x3144494657474757; // "WGGWFID1"
constexpr uint64_t kSnapshotMagic = 0x31504e5346574757; // "WGWFSNP1"
constexpr uint32_t kBatchMagic = 0x48544142;            // "BATH"

constexpr uint8_t kHasHardState = 1;
constexpr uint8_t kIsReset = 2;

class Writer
{
public:
  void U8(uint8_t aValue) { m_bytes.push_back(static_cast<char>(aValue)); }
  void U32(uint32_t aValue) { Put(aValue); }
  void U64(uint64_t aValue) { Put(aValue); }
  void I64(int64_t aValue) { Put(static_cast<uint64_t>(aValue)); }
  void Bytes(std::string_view aValue)
  {
    U32(static_cast<uint32_t>(aValue.size()));
    m_bytes.append(aValue);
  }
  void Raw(std::string_view aValue) { m_bytes.append(aValue); }
  const std::string& Get() const { return m_bytes; }

private:
  template<class T>
  void Put(T aValue)
  {
    boost::endian::native_to_little_inplace(aValue);
    m_bytes.append(reinterpret_cast<const char*>(&aValue), sizeof aValue);
  }

  std::string m_bytes;
};

// Reads past the end give zeros and clear Good().
class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : m_bytes(aBytes)
  {
  }

  uint8_t U8() { return Get<uint8_t>(); }
  uint32_t U32() { return Get<uint32_t>(); }
  uint64_t U64() { return Get<uint64_t>(); }
  int64_t I64() { return static_cast<int64_t>(Get<uint64_t>()); }
  std::string_view Bytes() { return Raw(U32()); }
  std::string_view Raw(size_t aSize)
  {
    if (aSize > m_bytes.size()) {
      m_good = false;
      aSize = 0;
    }
    const std::string_view value = m_bytes.substr(0, aSize);
    m_bytes.remove_prefix(aSize);
    return value;
  }
  bool Good() const { return m_good; }
  bool AtEnd() const { return m_good && m_bytes.empty(); }

private:
  template<class T>
  T Get()
  {
    const std::string_view bytes = Raw(sizeof(T));
    T value = 0;
    if (bytes.size() == sizeof(T)) {
      std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(&value));
    }
    return boost::endian::little_to_native(value);
  }

  std::string_view m_bytes;
  bool m_good = true;
};

std::string Hex(uint64_t aValue)
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aValue));
  return text;
}

std::optional<uint64_t> ParseHex(std::string_view aText)
{
  uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  if (aText.size() != 16 || error != std::errc() ||
      end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

// The name without the prefix and suffix; nullopt when it lacks one of them.
std::optional<std::string_view> Strip(std::string_view aName,
                                      std::string_view aPrefix,
                                      std::string_view aSuffix)
{
  if (aName.size() < aPrefix.size() + aSuffix.size() ||
      !aName.starts_with(aPrefix) || !aName.ends_with(aSuffix)) {
    return std::nullopt;
  }
  aName.remove_prefix(aPrefix.size());
  aName.remove_suffix(aSuffix.size());
  return aName;
}

uint64_t BatchHash(uint64_t aSalt, uint64_t aNumber, std::string_view aPayload)
{
  Writer hashed;
  hashed.U64(aSalt);
  hashed.U64(aNumber);
  hashed.U64(Hash64(aPayload));
  return Hash64(hashed.Get());
}

// Appends the hash of the written bytes and returns all bytes.
std::string AppendChecksum(Writer& aWriter)
{
  aWriter.U64(Hash64(aWriter.Get()));
  return aWriter.Get();
}

// The content without the hash at its end; nullopt when the hash differs.
std::optional<std::string_view> VerifyChecksum(std::string_view aBytes)
{
  if (aBytes.size() < 8) {
    return std::nullopt;
  }
  const std::string_view content = aBytes.substr(0, aBytes.size() - 8);
  Reader hash(aBytes.substr(content.size()));
  if (hash.U64() != Hash64(content)) {
    return std::nullopt;
  }
  return content;
}

} // namespace

// ---- Names -----------------------------------------------------------------

std::string SegmentName(uint64_t aSequence)
{
  return "log-" + Hex(aSequence) + ".wal";
}

std::optional<uint64_t> ParseSegmentName(std::string_view aName)
{
  const auto middle = Strip(aName, "log-", ".wal");
  return middle ? ParseHex(*middle) : std::nullopt;
}

std::string ToFileName(const SnapshotName& aName)
{
  return "snapshot-" + Hex(static_cast<uint64_t>(aName.m_index)) + "-" +
         Hex(static_cast<uint64_t>(aName.m_term)) + ".snap";
}

std::optional<SnapshotName> ParseSnapshotName(std::string_view aName)
{
  const auto middle = Strip(aName, "snapshot-", ".snap");
  if (!middle || middle->size() != 33 || (*middle)[16] != '-') {
    return std::nullopt;
  }
  const auto index = ParseHex(middle->substr(0, 16));
  const auto term = ParseHex(middle->substr(17));
  if (!index || !term) {
    return std::nullopt;
  }
  return SnapshotName{ static_cast<int64_t>(*index),
                       static_cast<int64_t>(*term) };
}

// ---- Log segments ----------------------------------------------------------

std::string EncodeHeader(const SegmentHeader& aHeader)
{
  Writer writer;
  writer.U64(kSegmentMagic);
  writer.U64(aHeader.m_sequence);
  writer.U64(aHeader.m_salt);
  writer.U64(aHeader.m_firstBatch);
  writer.I64(aHeader.m_baseIndex);
  writer.I64(aHeader.m_baseTerm);
  writer.I64(aHeader.m_hardState.m_term);
  writer.I64(aHeader.m_hardState.m_vote);
  writer.I64(aHeader.m_hardState.m_commit);
  return AppendChecksum(writer);
}

std::optional<SegmentHeader> DecodeHeader(std::string_view aBytes)
{
  const auto content = VerifyChecksum(aBytes.substr(0, kSegmentHeaderBytes));
  if (!content) {
    return std::nullopt;
  }
  Reader reader(*content);
  const uint64_t magic = reader.U64();
  SegmentHeader header;
  header.m_sequence = reader.U64();
  header.m_salt = reader.U64();
  header.m_firstBatch = reader.U64();
  header.m_baseIndex = reader.I64();
  header.m_baseTerm = reader.I64();
  header.m_hardState.m_term = reader.I64();
  header.m_hardState.m_vote = reader.I64();
  header.m_hardState.m_commit = reader.I64();
  if (magic != kSegmentMagic || !reader.AtEnd()) {
    return std::nullopt;
  }
  return header;
}

std::string EncodeBatch(const SegmentHeader& aHeader,
                        uint64_t aNumber,
                        const StoredBatch& aBatch)
{
  const Batch& batch = aBatch.m_batch;
  Writer payload;
  payload.U8((batch.m_hardState ? kHasHardState : 0) |
             (aBatch.m_reset ? kIsReset : 0));
  if (batch.m_hardState) {
    payload.I64(batch.m_hardState->m_term);
    payload.I64(batch.m_hardState->m_vote);
    payload.I64(batch.m_hardState->m_commit);
  }
  if (aBatch.m_reset) {
    payload.I64(aBatch.m_resetIndex);
    payload.I64(aBatch.m_resetTerm);
  }
  payload.I64(batch.m_truncateFrom);
  payload.U32(static_cast<uint32_t>(batch.m_append.size()));
  for (const LogRecord& record : batch.m_append) {
    payload.I64(record.m_index);
    payload.I64(record.m_term);
    payload.Bytes(record.m_data);
  }
  Writer writer;
  writer.U32(kBatchMagic);
  writer.U32(static_cast<uint32_t>(payload.Get().size()));
  writer.U64(BatchHash(aHeader.m_salt, aNumber, payload.Get()));
  writer.U64(aNumber);
  writer.Raw(payload.Get());
  return writer.Get();
}

std::optional<size_t> CheckBatch(const SegmentHeader& aHeader,
                                 std::string_view aBytes,
                                 uint64_t& aNumber)
{
  Reader reader(aBytes);
  const uint32_t magic = reader.U32();
  const uint32_t length = reader.U32();
  const uint64_t hash = reader.U64();
  const uint64_t number = reader.U64();
  if (magic != kBatchMagic || !reader.Good() || length > kMaxBatchBytes) {
    return std::nullopt;
  }
  const std::string_view payload = reader.Raw(length);
  if (!reader.Good() || hash != BatchHash(aHeader.m_salt, number, payload)) {
    return std::nullopt;
  }
  aNumber = number;
  return kBatchHeaderBytes + length;
}

std::optional<StoredBatch> DecodeBatch(std::string_view aBytes, size_t aSize)
{
  Reader reader(aBytes.substr(kBatchHeaderBytes, aSize - kBatchHeaderBytes));
  StoredBatch stored;
  const uint8_t flags = reader.U8();
  if ((flags & kHasHardState) != 0) {
    HardState hard;
    hard.m_term = reader.I64();
    hard.m_vote = reader.I64();
    hard.m_commit = reader.I64();
    stored.m_batch.m_hardState = hard;
  }
  stored.m_reset = (flags & kIsReset) != 0;
  if (stored.m_reset) {
    stored.m_resetIndex = reader.I64();
    stored.m_resetTerm = reader.I64();
  }
  stored.m_batch.m_truncateFrom = reader.I64();
  const uint32_t count = reader.U32();
  for (uint32_t i = 0; i < count && reader.Good(); ++i) {
    LogRecord record;
    record.m_index = reader.I64();
    record.m_term = reader.I64();
    record.m_data = reader.Bytes();
    stored.m_batch.m_append.push_back(std::move(record));
  }
  if (!reader.AtEnd()) {
    return std::nullopt;
  }
  return stored;
}

bool ContainsBatch(const SegmentHeader& aHeader, std::string_view aBytes)
{
  Writer magic;
  magic.U32(kBatchMagic);
  uint64_t number = 0;
  for (size_t at = aBytes.find(magic.Get()); at != std::string_view::npos;
       at = aBytes.find(magic.Get(), at + 1)) {
    if (CheckBatch(aHeader, aBytes.substr(at), number)) {
      return true;
    }
  }
  return false;
}

// ---- Other files -----------------------------------------------------------

std::string EncodeFolderState(const FolderState& aState)
{
  Writer writer;
  writer.U64(kIdentityMagic);
  writer.I64(aState.m_identity.m_memberId);
  writer.I64(aState.m_identity.m_clusterId);
  writer.U64(aState.m_firstSegment);
  writer.U64(aState.m_lastSegment);
  return AppendChecksum(writer);
}

std::optional<FolderState> DecodeFolderState(std::string_view aBytes)
{
  const auto content = VerifyChecksum(aBytes);
  if (!content) {
    return std::nullopt;
  }
  Reader reader(*content);
  const uint64_t magic = reader.U64();
  FolderState state;
  state.m_identity.m_memberId = reader.I64();
  state.m_identity.m_clusterId = reader.I64();
  state.m_firstSegment = reader.U64();
  state.m_lastSegment = reader.U64();
  if (magic != kIdentityMagic || !reader.AtEnd() ||
      state.m_identity.m_memberId <= 0 ||
      state.m_firstSegment > state.m_lastSegment) {
    return std::nullopt;
  }
  return state;
}

std::string EncodeSnapshot(const Snapshot& aSnapshot)
{
  Writer writer;
  writer.U64(kSnapshotMagic);
  writer.I64(aSnapshot.m_index);
  writer.I64(aSnapshot.m_term);
  writer.Raw(aSnapshot.m_data);
  return AppendChecksum(writer);
}

std::optional<Snapshot> DecodeSnapshot(std::string_view aBytes)
{
  const auto content = VerifyChecksum(aBytes);
  if (!content) {
    return std::nullopt;
  }
  Reader reader(*content);
  const uint64_t magic = reader.U64();
  Snapshot snapshot;
  snapshot.m_index = reader.I64();
  snapshot.m_term = reader.I64();
  if (magic != kSnapshotMagic || !reader.Good()) {
    return std::nullopt;
  }
  snapshot.m_data = content->substr(3 * 8);
  return snapshot;
}

} // namespace wigeonfold::storage
