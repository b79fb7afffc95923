#include "Executed.h"

#include "wigeonfold/base/Text.h"

#include <nlohmann/json.hpp>

namespace wigeonfold::target {

namespace {

std::string ToLine(const std::string& aId,
                   uint64_t aCount,
                   const std::string& aMethod)
{
  // The request id comes from the caller and may not be valid UTF-8; invalid
  // bytes are replaced.
  return DumpJson(nlohmann::json{
           { "id", aId }, { "count", aCount }, { "method", aMethod } }) +
         "\n";
}

} // namespace

Result<ExecutionRecord> ExecutionRecord::Open(const std::string& aPath)
{
  ExecutionRecord executed;
  if (!aPath.empty()) {
    executed.m_file.open(aPath, std::ios::app);
    if (!executed.m_file) {
      return Error{
        ErrorCode::Io, "open executed-file", aPath, "cannot open for appending"
      };
    }
  }
  return executed;
}

void ExecutionRecord::Add(const std::string& aId, const std::string& aMethod)
{
  Entry& entry = m_entries[aId];
  ++entry.m_count;
  entry.m_method = aMethod;
  if (m_file.is_open()) {
    m_file << ToLine(aId, 1, aMethod) << std::flush;
  }
}

std::string ExecutionRecord::ToJsonLines() const
{
  std::string lines;
  for (const auto& [id, entry] : m_entries) {
    lines += ToLine(id, entry.m_count, entry.m_method);
  }
  return lines;
}

} // namespace wigeonfold::target
