#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "entry/entry_daemon.h"
#include "logging/logging.h"

namespace wagtail {

/// Settings file of an entry; docs/SETTINGS.md lists every key.
struct entryd_settings {
  entry_daemon_options daemon;
  std::string table_url;  ///< base URL of the platform's table service
  logging_options logging;
};

/// @param path of a file of JSON with comments
/// @return the settings, or an error naming every problem
absl::StatusOr<entryd_settings> ReadEntrydSettings(const std::string& path);

}  // namespace wagtail
