// Text that is shown to people or sent as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace wigeonfold {

// The first bytes of aText, at most aMaxBytes, without a UTF-8 character that
// is cut at the end. Thread safe.
std::string TruncateUtf8(std::string_view aText, size_t aMaxBytes);

// aBytes with each byte that is not printable ASCII, and each backslash, as
// \xNN. Thread safe.
std::string EscapeBytes(std::string_view aBytes);

// The text of aJson. Bytes that are not valid UTF-8 are replaced: a text from
// outside must not keep an answer from being written. aIndent is the number of
// spaces a level, -1 for a single line. Thread safe.
template<class Json>
std::string DumpJson(const Json& aJson, int aIndent = -1)
{
  return aJson.dump(aIndent, ' ', false, Json::error_handler_t::replace);
}

} // namespace wigeonfold
