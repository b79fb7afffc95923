// Binary format of the files in the data folder. All integers are little
// endian; every part carries a Hash64 over its content.
#pragma once

#include "wigeonfold/storage/Storage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace wigeonfold::storage {

// ---- Names -----------------------------------------------------------------

inline constexpr const char* kIdentityName = "identity";
inline constexpr const char* kLockName = "lock";
inline constexpr const char* kTemporarySuffix = ".tmp";

std::string SegmentName(uint64_t aSequence);
std::optional<uint64_t> ParseSegmentName(std::string_view aName);

struct SnapshotName
{
  int64_t m_index = 0;
  int64_t m_term = 0;

  bool operator==(const SnapshotName&) const = default;
  bool operator<(const SnapshotName& aOther) const
  {
    return std::tie(m_index, m_term) < std::tie(aOther.m_index, aOther.m_term);
  }
};

std::string ToFileName(const SnapshotName& aName);
std::optional<SnapshotName> ParseSnapshotName(std::string_view aName);

// ---- Log segments ----------------------------------------------------------

// First part of a segment: the state before its first batch, so that earlier
// segments may be removed.
struct SegmentHeader
{
  uint64_t m_sequence = 0;
  // Mixed into the hashes of the segment's batches: bytes inside a record's
  // data can then never look like a valid batch of this segment.
  uint64_t m_salt = 0;
  uint64_t m_firstBatch = 0;
  int64_t m_baseIndex = 0;
  int64_t m_baseTerm = 0;
  HardState m_hardState;
};

inline constexpr size_t kSegmentHeaderBytes = 10 * 8;
// Magic number, payload length, hash and batch number.
inline constexpr size_t kBatchHeaderBytes = 4 + 4 + 8 + 8;
inline constexpr size_t kMaxBatchBytes = size_t{ 1 } << 30;

// A batch as stored in a segment. A reset removes all records; the log
// continues after m_resetIndex, the last index that a snapshot covers.
struct StoredBatch
{
  Batch m_batch;
  bool m_reset = false;
  int64_t m_resetIndex = 0;
  int64_t m_resetTerm = 0;
};

std::string EncodeHeader(const SegmentHeader& aHeader);
std::optional<SegmentHeader> DecodeHeader(std::string_view aBytes);

std::string EncodeBatch(const SegmentHeader& aHeader,
                        uint64_t aNumber,
                        const StoredBatch& aBatch);

// Size in bytes, with its header, of the valid batch at the start of aBytes;
// nullopt when there is none. Sets aNumber to the number of the batch.
std::optional<size_t> CheckBatch(const SegmentHeader& aHeader,
                                 std::string_view aBytes,
                                 uint64_t& aNumber);
// Decodes the batch at the start of aBytes; nullopt when the payload is
// malformed. Precondition: CheckBatch returned aSize.
std::optional<StoredBatch> DecodeBatch(std::string_view aBytes, size_t aSize);

// True when a valid batch starts at any position in aBytes.
bool ContainsBatch(const SegmentHeader& aHeader, std::string_view aBytes);

// ---- Other files -----------------------------------------------------------

// Content of the identity file. It names the first and the last segment and is
// replaced atomically when one is added or removed, so that a missing segment
// is always detected.
struct FolderState
{
  Identity m_identity;
  uint64_t m_firstSegment = 1;
  uint64_t m_lastSegment = 1;
};

std::string EncodeFolderState(const FolderState& aState);
std::optional<FolderState> DecodeFolderState(std::string_view aBytes);

std::string EncodeSnapshot(const Snapshot& aSnapshot);
std::optional<Snapshot> DecodeSnapshot(std::string_view aBytes);

} // namespace wigeonfold::storage
