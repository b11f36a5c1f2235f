#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "absl/status/statusor.h"
#include "freshness/freshness_settings.h"
#include "freshness/start_gate.h"
#include "ledger/start_ledger.h"
#include "placement/placement.h"
#include "rpc/event_loop.h"
#include "rpc/rpc_server.h"
#include "table/table.h"
#include "target/announcer.h"
#include "target/entry_sessions.h"
#include "target/target_gate.h"
#include "target/task_runner.h"

/// @file
/// Daemon that runs next to each target. It records every task that it starts, and starts no task
/// twice and none on a configuration that may be stale.

namespace wagtail {

struct target_daemon_options {
  std::string target;  ///< name of the target, stable across restarts
  std::string failure_domain;
  std::string rpc_address = "127.0.0.1";
  uint16_t rpc_port = 0;  ///< 0 takes an ephemeral port
  /// Address published to entries where it differs from the two above (port forwarding).
  std::string announced_rpc_address;  ///< empty: rpc_address
  uint16_t announced_rpc_port = 0;    ///< 0: the listening port
  std::string cluster_key;            ///< shared by all processes of the system
  uint32_t queue_limit = 4;           ///< tasks accepted beyond the target's slots
  duration id_lifetime = std::chrono::minutes(5);
  freshness_settings freshness;
  duration announce_retry = std::chrono::milliseconds(500);
  duration stop_timeout = std::chrono::seconds(15);  ///< for running tasks to finish
};

/// Properties with which a target announces itself to its daemon.
struct target_announcement {
  std::string service;
  std::string url;  ///< base URL of the target's HTTP endpoint
  uint32_t slots = 1;
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;
  bool operator==(const target_announcement&) const = default;
};

struct target_daemon_status {
  bool announced = false;
  bool ready = false;  ///< a task would be started now
  target_incarnation self;
  target_load load;
  uint64_t configuration_version = 0;
  uint64_t entries = 0;  ///< connected entries
  start_ledger_counters counters;
  size_t records = 0;
};

/// Owns the components of the daemon and the thread that they run on.
class target_daemon {
 public:
  /// @param table outlives the daemon
  target_daemon(target_daemon_options options, table& table);
  ~target_daemon();
  target_daemon(const target_daemon&) = delete;
  target_daemon& operator=(const target_daemon&) = delete;

  /// Listens for entries.
  absl::Status Listen();
  /// Accepts the target's announcement; a background thread writes it to the table, with retries.
  /// @return kAlreadyExists if the target has announced different properties before
  absl::Status Announce(const target_announcement& announcement);
  target_daemon_status Status();
  /// Returns queued tasks to their entries, waits up to the stop timeout for running ones, and
  /// records the end of this incarnation.
  void Stop();
  uint16_t rpc_port() const { return rpc_port_; }
  const std::string& target() const { return options_.target; }

 private:
  void AnnounceMain(const target_announcement& target);
  std::string AnnouncedAddress() const;
  void BeginWork(recorded_target_row announced, const target_announcement& target);
  void Accepting(kj::Own<kj::ConnectionReceiver> receiver);
  void Pump();
  void OnFinished(task_result result);
  void Heartbeat();
  void OnPolicy(const policy_answer& answer);
  refusal CheckStart(instant now) const;
  target_load Load() const;
  target_gate_hooks MakeHooks();

  target_daemon_options options_;
  table& table_;
  uint16_t rpc_port_ = 0;
  std::mutex announce_mutex_;
  std::condition_variable stop_requested_;
  std::optional<target_announcement> announcement_;
  bool stopping_ = false;
  std::thread announcer_;
  target_gate_hooks hooks_;
  event_loop loop_;
  // The members below are used on the loop's thread only.
  start_gate gate_;
  entry_sessions sessions_;
  std::optional<recorded_target_row> announced_;
  std::optional<start_ledger> ledger_;
  std::unique_ptr<task_runner> runner_;
  std::unique_ptr<rpc_server> server_;
};

}  // namespace wagtail
