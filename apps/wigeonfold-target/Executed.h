// Record of the requests that a target executed.
#pragma once

#include "wigeonfold/base/Error.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace wigeonfold::target {

// Counts executions per request id. With a file, each execution is appended
// to it as it begins, so that the record outlives a killed process. Not thread
// safe.
class Executed
{
public:
  // Fails with Io when the file can't be opened; an empty path means none.
  static Result<Executed> Open(const std::string& aPath);

  void Add(const std::string& aId, const std::string& aMethod);

  // One JSON object a line: id, count, method.
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
