#include "wigeonfold/base/Error.h"

namespace wigeonfold {

const char* ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidArgument:
      return "invalid-argument";
    case ErrorCode::NotFound:
      return "not-found";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Timeout:
      return "timeout";
    case ErrorCode::Protocol:
      return "protocol";
    case ErrorCode::Corrupt:
      return "corrupt";
    case ErrorCode::Io:
      return "io";
    case ErrorCode::Exhausted:
      return "exhausted";
    case ErrorCode::Internal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const
{
  std::string text = wigeonfold::ToString(m_code);
  text += " in " + m_step;
  if (!m_peer.empty()) {
    text += " at " + m_peer;
  }
  if (!m_detail.empty()) {
    text += ": " + m_detail;
  }
  return text;
}

} // namespace wigeonfold
