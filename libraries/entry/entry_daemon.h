#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "base/time.h"
#include "dispatch/dispatcher.h"
#include "freshness/freshness_settings.h"
#include "metrics/metrics_registry.h"
#include "placement/target_pool.h"
#include "table/table.h"

/// @file
/// The entry process, which serves callers and operators.

namespace wagtail {

struct entry_daemon_options {
  std::string name;
  std::string failure_domain;
  std::string http_address = "127.0.0.1";
  uint16_t http_port = 0;  ///< 0 selects an ephemeral port
  std::string rpc_address = "127.0.0.1";
  uint16_t rpc_port = 0;
  std::string cluster_key;
  std::string bootstrap_token_digest;  ///< operator token before the first configuration
  dispatcher_options dispatcher;
  placement_options placement;
  freshness_settings freshness;
  duration table_interval = std::chrono::milliseconds(500);
  duration stop_timeout = std::chrono::seconds(20);
};

/// Owns the parts of an entry and its threads.
class entry_daemon {
 public:
  /// @param table must outlive the daemon
  entry_daemon(entry_daemon_options options, table& table);
  ~entry_daemon();
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  /// Listens for other entries, callers and operators.
  absl::Status Start();
  /// Accepts no more work, fails jobs of which nothing started, waits for the others up to the stop
  /// timeout, and shuts down.
  void Stop();
  uint16_t http_port() const;
  uint16_t rpc_port() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace wagtail
