// Errors and results shared by all modules.
#pragma once

#include <boost/outcome.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace wigeonfold {

enum class ErrorCode
{
  InvalidArgument, // bad input from a caller, an operator or a settings file
  NotFound,        // the thing named does not exist
  Conflict,        // compare-and-set on an outdated base
  Unavailable,     // no quorum, no leader, no connection; retry
  Timeout,         // no answer before the deadline
  Protocol,        // malformed or unexpected message from a peer
  Corrupt,         // stored data fails its checksum
  Io,              // system call on a file or socket failed
  Exhausted,       // a limit was reached (queue, size, disk)
  Internal,        // an error that no other code describes
};

// Name of the code in lower case, for logs and JSON. Thread safe.
const char* ToString(ErrorCode aCode);

// An error with the step that failed and the peer (address, file or member)
// at which it arose. The peer is empty for purely local steps.
struct Error
{
  ErrorCode m_code = ErrorCode::Internal;
  std::string m_step;
  std::string m_peer;
  std::string m_detail;

  // One line: "<code> in <step> at <peer>: <detail>".
  std::string ToString() const;
};

// Either a value or an Error. Accessing the one that is not there
// terminates the process.
template<class T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Result of an operation without a value; return Ok() on success.
using Status = Result<void>;

inline Status Ok()
{
  return boost::outcome_v2::success();
}

} // namespace wigeonfold
