// The key that a caller's request carries.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wigeonfold::identity {

enum class KeyForm
{
  Missing,   // no Authorization field
  Malformed, // several fields, or one that is not "Bearer" and one token
  Present,
};

// m_key must not reach logs, metrics or messages.
struct Credentials
{
  KeyForm m_form = KeyForm::Missing;
  std::string m_key; // set if the form is Present
};

// Reads the values of a request's Authorization fields. Thread safe.
Credentials ReadCredentials(const std::vector<std::string_view>& aValues);

} // namespace wigeonfold::identity
