#pragma once

#include <capnp/rpc-twoparty.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "jobs/task.h"
#include "placement/placement.h"
#include "rpc/event_loop.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

/// What a target's daemon reports with each heartbeat.
struct target_report {
  target_load load;
  uint64_t enforced_version = 0;
  bool ready = false;
};

/// What the entry answers to a heartbeat.
struct target_policy {
  uint64_t configuration_version = 0;
  bool admitted = false;
};

struct refused_task {
  task_key key;
  refusal reason = refusal::kNone;
};

/// Events of a link, raised on the loop's thread.
struct target_link_hooks {
  std::function<std::vector<start_request>()> unsettled;  ///< asked when a fresh link stands
  std::function<void(const task_record&)> on_settled;
  std::function<void()> on_up;  ///< everything unsettled has been told
  std::function<void()> on_down;
  std::function<void(task_result, const target_load&)> on_result;
  std::function<void(const refused_task&, const target_load&)> on_refused;
  std::function<void()> after_batch;  ///< after the events of one message
  std::function<target_policy(const target_report&)> on_heartbeat;
  std::function<uint64_t()> uptime_ms;
};

struct target_link_options {
  target_incarnation target;
  std::string address;  ///< IP:PORT of the daemon
  std::string cluster_key;
  entry_incarnation self;
  std::string self_name;
  duration connect_timeout = std::chrono::seconds(2);
  duration reconnect_delay = std::chrono::milliseconds(200);
  duration heartbeat_timeout = std::chrono::seconds(3);  ///< without a heartbeat before a fresh
                                                         ///< connection is made
};

/// Keeps a connection to one target's daemon. A connection that breaks or falls silent is replaced
/// by a fresh one, on which the outcome of everything handed over is asked for before new work.
class target_link {
 public:
  target_link(event_loop& loop, target_link_options options, target_link_hooks hooks);
  ~target_link();
  target_link(const target_link&) = delete;
  target_link& operator=(const target_link&) = delete;

  bool is_up() const { return is_up_; }
  const target_link_options& options() const { return options_; }
  const target_report& last_report() const { return last_report_; }
  instant last_heartbeat() const { return last_heartbeat_; }

  /// Hands tasks over, with others of the same turn of the loop; refusals and results come back
  /// through the hooks.
  void Start(const std::vector<start_request>& tasks);
  /// Takes tasks back if they have not started.
  void Withdraw(const std::vector<start_request>& tasks);
  /// Fences a job. @return what was started of it; fails when the daemon can't be asked
  kj::Promise<fence_report> Fence(const job_key& job, uint64_t minted_uptime_ms);

 private:
  class listener;
  struct connection;

  void Connect();
  kj::Promise<void> Enter();
  kj::Promise<void> SettleAll();
  void OnBroken(uint64_t generation);
  void WatchSilence();
  void SendStarts();
  void OnRecords(capnp::List<wire::TaskRecord>::Reader records);

  event_loop& loop_;
  target_link_options options_;
  target_link_hooks hooks_;
  std::shared_ptr<bool> alive_;  ///< guards callbacks that outlive this object
  std::unique_ptr<connection> connection_;
  kj::Canceler canceler_;  ///< ends an attempt to connect together with this object
  uint64_t generation_ = 0;
  bool is_up_ = false;
  std::vector<start_request> starting_;  ///< leave at the end of the turn
  target_report last_report_;
  instant last_heartbeat_{};
};

}  // namespace wagtail
