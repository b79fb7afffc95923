// Tells a daemon when to reload its settings file.
#pragma once

#include "wigeonfold/base/Time.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace wigeonfold::net {

enum class ReloadCause
{
  Hangup, // SIGHUP arrived
  Period, // regular check: the file may have changed without a signal
};

// Active until destroyed. Runs on the thread of the io_context.
class ReloadWatch
{
public:
  virtual ~ReloadWatch() = default;
};

// Calls aOnReload at each SIGHUP and once every aPeriod.
std::unique_ptr<ReloadWatch> WatchForReload(
  boost::asio::io_context& aIo,
  Duration aPeriod,
  std::function<void(ReloadCause)> aOnReload);

} // namespace wigeonfold::net
