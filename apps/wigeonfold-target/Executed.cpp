#include "Executed.h"

#include <nlohmann/json.hpp>

namespace wigeonfold::target {

namespace {

std::string ToLine(const std::string& aId,
                   uint64_t aCount,
                   const std::string& aMethod)
{
  // A request id is a caller's bytes and need not be UTF-8.
  return nlohmann::json{
    { "id", aId }, { "count", aCount }, { "method", aMethod }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

} // namespace

Result<Executed> Executed::Open(const std::string& aPath)
{
  Executed executed;
  if (!aPath.empty()) {
    executed.m_file.open(aPath, std::ios::app);
    if (!executed.m_file) {
      return Error{
        ErrorCode::Io, "open executed-file", aPath, "cannot write"
      };
    }
  }
  return executed;
}

void Executed::Add(const std::string& aId, const std::string& aMethod)
{
  Entry& entry = m_entries[aId];
  ++entry.m_count;
  entry.m_method = aMethod;
  if (m_file.is_open()) {
    m_file << ToLine(aId, 1, aMethod) << std::flush;
  }
}

std::string Executed::ToJsonLines() const
{
  std::string lines;
  for (const auto& [id, entry] : m_entries) {
    lines += ToLine(id, entry.m_count, entry.m_method);
  }
  return lines;
}

} // namespace wigeonfold::target
