#pragma once

#include <functional>
#include <string>

#include "absl/status/status.h"

/// @file
/// Command line shared by all daemons.

namespace wagtail {

/// What a program does with its settings file.
enum class settings_use {
  kCheck,  ///< read them, report problems and exit
  kServe,  ///< read them and run until a stop signal
};

/// Runs one daemon.
/// @param path of the settings file
using daemon_run = std::function<absl::Status(const std::string& path, settings_use use)>;

/// Parses --settings, --check-settings, --version and --help, and runs the daemon.
/// @return exit code: 0 success, 1 invalid settings or failure, 2 usage error
int RunDaemonMain(int argc, char** argv, const std::string& description, const daemon_run& run);

}  // namespace wagtail
