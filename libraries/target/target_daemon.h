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
/// The process beside each target: records what it starts, and starts nothing twice or on
/// configuration that may be out of date.

namespace wagtail {

struct target_daemon_options {
  std::string target;  ///< name of the target, stable over restarts
  std::string failure_domain;
  std::string rpc_address = "127.0.0.1";
  uint16_t rpc_port = 0;  ///< 0 takes an ephemeral port
  /// Where entries are told to connect, if not to the two above: behind a forwarded address.
  std::string announced_rpc_address;  ///< empty: rpc_address
  uint16_t announced_rpc_port = 0;    ///< 0: the port that is listened on
  std::string cluster_key;            ///< shared by all processes of the system
  uint32_t queue_limit = 4;           ///< tasks accepted beyond the target's slots
  duration id_lifetime = std::chrono::minutes(5);
  freshness_settings freshness;
  duration announce_retry = std::chrono::milliseconds(500);
  duration stop_limit = std::chrono::seconds(15);  ///< for running tasks to finish
};

/// What the target says of itself.
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
  bool ready = false;  ///< would start a task now
  target_incarnation self;
  target_load load;
  uint64_t configuration_version = 0;
  uint64_t entries = 0;  ///< linked entries
  start_ledger_counters counters;
  size_t records = 0;
};

/// Owns the parts of the daemon and the thread that they run on.
class target_daemon {
 public:
  /// @param table outlives the daemon
  target_daemon(target_daemon_options options, table& table);
  ~target_daemon();
  target_daemon(const target_daemon&) = delete;
  target_daemon& operator=(const target_daemon&) = delete;

  /// Listens for entries.
  absl::Status Listen();
  /// The target announces itself; the table is told in the background until it has taken it.
  /// @return kAlreadyExists when it announced itself differently before
  absl::Status Announce(const target_announcement& announcement);
  target_daemon_status Status();
  /// Gives back what has not started, lets running tasks finish within the stop limit, and records
  /// the end of this incarnation.
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
  refusal JudgeStart(instant now) const;
  target_load Load() const;
  target_gate_hooks MakeHooks();

  target_daemon_options options_;
  table& table_;
  uint16_t rpc_port_ = 0;
  std::mutex announce_mutex_;
  std::condition_variable stop_requested_;
  std::optional<target_announcement> told_;
  bool stopping_ = false;
  std::thread announcer_;
  target_gate_hooks hooks_;
  event_loop loop_;
  // What follows is used on the loop's thread only.
  start_gate gate_;
  entry_sessions sessions_;
  std::optional<recorded_target_row> announced_;
  std::optional<start_ledger> ledger_;
  std::unique_ptr<task_runner> runner_;
  std::unique_ptr<rpc_server> server_;
};

}  // namespace wagtail
