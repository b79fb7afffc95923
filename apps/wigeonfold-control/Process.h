// Threads of the control process and their graceful shutdown.
#pragma once

#include "ControlSettings.h"

#include "wigeonfold/base/CommandLine.h"

namespace wigeonfold::control {

// Runs until SIGTERM or SIGINT, or until the data folder fails. Blocks.
// aPath is the settings file; SIGHUP reads the seeds in it again.
ExitStatus RunControl(const ControlSettings& aSettings,
                      const std::string& aPath);

} // namespace wigeonfold::control
