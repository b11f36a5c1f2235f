#pragma once

#include <cstdint>
#include <string>

#include "logging/logging.h"
#include "settings/object_reader.h"

/// @file
/// Settings common to every daemon.

namespace wagtail {

struct listen_settings {
  std::string http_address = "127.0.0.1";
  uint16_t http_port = 0;  ///< 0 takes an ephemeral port
  std::string rpc_address = "127.0.0.1";
  uint16_t rpc_port = 0;
};

struct daemon_settings {
  listen_settings listen;
  std::string cluster_key;  ///< shared by all processes of the system
  std::string table_url;    ///< base URL of the platform's table service
  logging_options logging;
};

/// Reads every key of `daemon_settings` from `file`.
daemon_settings ReadDaemonSettings(object_reader& file);

/// Reads a port; 0 if the key is absent.
uint16_t ReadPort(object_reader& file, std::string_view key);

}  // namespace wagtail
