#pragma once

#include <filesystem>
#include <memory>
#include <string>

#include "tests/fault_soak/run_checker.h"
#include "tests/fault_soak/soak_store.h"
#include "tests/fault_soak/soak_target.h"
#include "tests/process/child_process.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::leased {

/// Limits of a process, as its settings file names them.
struct process_limits {
  size_t memory_mb = 0;
  size_t max_fds = 0;
};

struct small_cluster_options {
  process_limits entry{};
  process_limits agent{};
  size_t max_body_bytes = 0;  ///< of callers' requests
};

/// One entry and one agent as real processes on loopback, with a fake store and a fake target.
class small_cluster {
 public:
  explicit small_cluster(const small_cluster_options& options);
  ~small_cluster();
  small_cluster(const small_cluster&) = delete;
  small_cluster& operator=(const small_cluster&) = delete;

  /// Waits until a job and a heartbeat are answered 200.
  bool WaitUntilServing();
  /// Sends one small job over a connection of its own.
  /// @return whether it was answered 200
  bool SubmitJob();
  /// Sends one heartbeat of the target to the agent.
  /// @return whether it was answered 200
  bool SendHeartbeat();
  loopback_address front() const;
  loopback_address control() const;
  child_process& entry() { return *entry_; }
  child_process& agent() { return *agent_; }
  soak_target& target() { return *target_; }

 private:
  std::string SettingsOf(const std::string& name, const std::string& ip,
                         const process_limits& limits) const;

  std::string prefix_;  ///< of all addresses, "127.N."
  std::filesystem::path folder_;
  run_checker checker_;
  std::unique_ptr<soak_store> store_;
  std::unique_ptr<child_process> entry_;
  std::unique_ptr<child_process> agent_;
  std::unique_ptr<soak_target> target_;
  unsigned jobs_ = 0;
};

/// Sends one request over a connection of its own.
/// @return whether it was answered 200
bool IsAnsweredOk(const loopback_address& to, const std::string& request);

}  // namespace wagtail::leased
