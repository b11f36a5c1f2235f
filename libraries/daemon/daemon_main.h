#pragma once

#include <functional>
#include <string>

#include "absl/status/status.h"

/// @file
/// What the daemons' programs have in common.

namespace wagtail {

/// What a program does with its settings.
enum class settings_use {
  kCheck,  ///< read them, say what is wrong, end
  kServe,  ///< read them and run until asked to stop
};

/// Runs one daemon.
/// @param path of the settings file
using daemon_run = std::function<absl::Status(const std::string& path, settings_use use)>;

/// Parses --settings, --check-settings, --version and --help, and runs the daemon.
/// @return exit code: 0 done, 1 refused or failed, 2 wrong usage
int RunDaemonMain(int argc, char** argv, const std::string& description, const daemon_run& run);

}  // namespace wagtail
