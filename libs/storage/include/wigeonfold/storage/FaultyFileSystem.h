// Injects disk faults into a whole process, for tests.
#pragma once

#include "wigeonfold/storage/FileSystem.h"

#include "wigeonfold/base/Time.h"

namespace wigeonfold::storage {

enum class DiskState
{
  Healthy,
  Slow,    // each write and sync is delayed
  Stalled, // no write or sync completes
  Full,    // no write or sync succeeds
};

struct DiskRule
{
  DiskState m_state = DiskState::Healthy;
  Duration m_delay{}; // of each call, for Slow
};

// Parses "slow MILLISECONDS" (1 to 60000), "stalled" or "full"; an empty text
// is a healthy disk. Fails with InvalidArgument, quoting the text. Thread safe.
Result<DiskRule> ParseDiskRule(const std::string& aText);

// Forwards calls to aFiles. Opening, appending, syncing and renaming are
// delayed or rejected by the rule in aRulesFile, which is read again before
// each call. A missing or malformed file is a healthy disk. While the disk is
// stalled or full, aOnFault is called on the thread of the call: true reads the
// rule again, false fails the call with Io. aOnFault should wait for a moment,
// as it is called in a loop.
//
// Precondition: aFiles outlives the result. Not thread safe.
std::unique_ptr<FileSystem> MakeFaultyFileSystem(
  FileSystem& aFiles,
  std::string aRulesFile,
  std::function<bool(const Error&)> aOnFault);

} // namespace wigeonfold::storage
