#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "review/stand_ins_2/fault_soak/heartbeat_relay.h"
#include "review/stand_ins_2/fault_soak/silent_address.h"
#include "tests/fault_soak/run_checker.h"
#include "tests/fault_soak/soak_store.h"
#include "tests/fault_soak/soak_target.h"
#include "tests/process/child_process.h"

namespace wagtail::review {

struct deployment_options {
  size_t entries = 3;
  size_t agents = 2;
  duration run_time = std::chrono::milliseconds(60);  ///< of every task
};

/// Answer to a request of a client.
struct client_answer {
  int status = 0;  ///< 0: no answer
  std::string body{};
};

/// Entries and agents as processes on loopback addresses of their own, with a store and targets.
class small_deployment {
 public:
  explicit small_deployment(const deployment_options& options);
  ~small_deployment();
  small_deployment(const small_deployment&) = delete;
  small_deployment& operator=(const small_deployment&) = delete;

  /// Waits until a job has completed.
  /// @return whether that happened in time
  bool WaitServing();
  /// Kills the oldest entry for good, and starts one at a new address.
  /// @return false if the new one does not listen in time
  bool ReplaceOldestEntry();
  /// Kills all entries and agents.
  void PowerOff();
  /// Starts the entries that were not replaced, and all agents.
  void PowerOn();

  /// @return IP:PORT of the entries in use, for clients
  std::vector<loopback_address> Fronts() const;
  /// @return lines of the agent's log that hold this text
  size_t CountInLog(size_t agent, const std::string& text) const;
  size_t agents() const { return agents_.size(); }
  size_t replaced() const { return gone_.size(); }
  leased::run_checker& checker() { return checker_; }
  /// @return the target on the VM of an agent
  leased::soak_target& target(size_t agent) { return *agents_[agent]->target; }
  heartbeat_relay& heartbeats(size_t agent) { return *agents_[agent]->heartbeats; }
  /// @return runs that began on the target of an agent so far
  unsigned RunsAt(size_t agent) const;
  /// @return IP:PORT that takes heartbeats
  std::string ControlOf(size_t agent) const;

 private:
  struct vm {
    std::string name;
    std::string ip;
    std::string domain;
    std::unique_ptr<child_process> process;
    std::unique_ptr<heartbeat_relay> heartbeats;  ///< on the VM of an agent
    std::unique_ptr<leased::soak_target> target;  ///< on the VM of an agent
  };

  void AddEntry();
  void Start(vm& started);
  std::string SettingsOf(const vm& about) const;
  static bool Listens(const loopback_address& address);

  std::string prefix_;  ///< of all addresses, "127.N."
  std::string seeds_;   ///< the first entries
  std::filesystem::path folder_;
  leased::run_checker checker_;
  std::unique_ptr<leased::soak_store> store_;
  std::vector<std::unique_ptr<vm>> entries_;
  std::vector<std::unique_ptr<vm>> agents_;
  std::vector<std::unique_ptr<silent_address>> gone_;
  size_t next_entry_ = 0;
};

/// Sends a job of some tasks, as a client on a connection of its own.
client_answer Submit(const loopback_address& front, const std::string& job, unsigned tasks);
/// Cancels a job.
client_answer Cancel(const loopback_address& front, const std::string& job);
/// @return a job id that differs for each number
std::string JobId(unsigned number);
/// @return the same for a job whose tasks run for 1.7 s
std::string LongJobId(unsigned number);

}  // namespace wagtail::review
