// Disk faults for tests of whole processes.
#pragma once

#include "wigeonfold/storage/FileSystem.h"

#include "wigeonfold/base/Time.h"

namespace wigeonfold::storage {

enum class DiskState
{
  Healthy,
  Slow,    // each write and sync takes a time longer
  Stalled, // no write or sync ends
  Full,    // no write succeeds
};

struct DiskRule
{
  DiskState m_state = DiskState::Healthy;
  Duration m_delay{}; // of a slow disk
};

// One rule: "slow MILLISECONDS", "stalled" or "full"; an empty text is a
// healthy disk. Fails with InvalidArgument and the text. Thread safe.
Result<DiskRule> ParseDiskRule(const std::string& aText);

// Passes calls on to aFiles and delays or refuses writes and syncs as the rule
// in aRulesFile says, which is read again before each of them. A missing or
// malformed file is a healthy disk. aOnFault is called on the thread of the
// call while a disk is stalled or full; true looks at the rule again, and false
// fails the call with Io. It is expected to wait for a moment.
//
// Precondition: aFiles outlives the result. Not thread safe.
std::unique_ptr<FileSystem> MakeFaultyFileSystem(
  FileSystem& aFiles,
  std::string aRulesFile,
  std::function<bool(const Error&)> aOnFault);

} // namespace wigeonfold::storage
