// Record of the requests that a target executed.
#pragma once

#include "wigeonfold/base/Error.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace wigeonfold::target {

// Counts executions per request id. With a file, each execution is appended
// and flushed as it begins, so that the record survives when the process is
// killed. Not thread safe.
class ExecutionRecord
{
public:
  // Opens the file at aPath for appending; with an empty path the record is
  // kept in memory only. Fails with Io when the file can't be opened.
  static Result<ExecutionRecord> Open(const std::string& aPath);

  // Call it when the execution of a request begins.
  void Add(const std::string& aId, const std::string& aMethod);

  // One JSON object per line and request id, with the keys id, count and
  // method.
  std::string ToJsonLines() const;

private:
  struct Entry
  {
    uint64_t m_count = 0;
    std::string m_method;
  };

  std::map<std::string, Entry> m_entries;
  std::ofstream m_file;
};

} // namespace wigeonfold::target
