#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "logging/logging.h"
#include "target/target_daemon.h"

namespace wagtail {

/// Settings file of a target daemon; docs/SETTINGS.md lists every key.
struct targetd_settings {
  target_daemon_options daemon;
  std::string http_address = "127.0.0.1";  ///< address at which the target announces itself
  uint16_t http_port = 0;
  std::string table_url;  ///< base URL of the platform's table service
  logging_options logging;
};

/// @param path of a file of JSON with comments
/// @return the settings, or an error naming every problem
absl::StatusOr<targetd_settings> ReadTargetdSettings(const std::string& path);

}  // namespace wagtail
