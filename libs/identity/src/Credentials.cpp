#include "wigeonfold/identity/Credentials.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace wigeonfold::identity {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kSpace = " \t";

bool IsVisible(char aByte)
{
  return aByte > ' ' && aByte <= '~';
}

std::string_view Trim(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

} // namespace

Credentials ReadCredentials(const std::vector<std::string_view>& aValues)
{
  if (aValues.empty()) {
    return {};
  }
  const std::string_view value = Trim(aValues.front());
  const size_t end = value.find_first_of(kSpace);
  if (aValues.size() > 1 || end == std::string_view::npos ||
      !boost::iequals(value.substr(0, end), kScheme)) {
    return { KeyForm::Malformed, "" };
  }
  const std::string_view token = Trim(value.substr(end));
  if (!std::all_of(token.begin(), token.end(), IsVisible)) {
    return { KeyForm::Malformed, "" };
  }
  return { KeyForm::Present, std::string(token) };
}

} // namespace wigeonfold::identity
