// Starts and stops the threads of the control process.
#pragma once

#include "ControlSettings.h"

#include "wigeonfold/base/CommandLine.h"

namespace wigeonfold::control {

// Blocks until SIGTERM or SIGINT has ended the process gracefully, or until the
// start, the data folder or the replicated state fails. aPath is the settings
// file; its seeds are read again at SIGHUP and periodically.
ExitStatus RunControl(const ControlSettings& aSettings,
                      const std::string& aPath);

} // namespace wigeonfold::control
