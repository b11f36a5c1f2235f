#pragma once

#include <filesystem>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"
#include "tests/process/child_process.h"
#include "tests/support/tcp_relay.h"

/// @file
/// A complete deployment as child processes on loopback.

namespace wagtail {

inline constexpr std::string_view kClubToken = "club-token";
inline constexpr std::string_view kOrchardToken = "orchard-token";
inline constexpr std::string_view kOperatorToken = "operator-token";
inline constexpr std::string_view kClusterKey = "a-cluster-key-for-process-tests";
inline constexpr std::string_view kService = "court-control";
/// A configured service that no target offers.
inline constexpr std::string_view kUnofferedService = "swarm-dispatch";

enum class link_path {
  kDirect,
  kRelayed,  ///< entries reach the daemon through a relay
};

struct target_spec {
  std::string name{};
  std::string failure_domain = "kandy-1";
  unsigned slots = 8;
  unsigned base_ms = 50;
  link_path path = link_path::kDirect;
};

struct cluster_spec {
  size_t entries = 2;
  std::vector<target_spec> targets;
  unsigned job_deadline_ms = 30'000;
};

/// @return `count` targets court-1, court-2, ... in failure domains kandy-1, kandy-2, ...
std::vector<target_spec> Courts(size_t count, const target_spec& like = {});

/// The final answer to a caller about a job.
struct final_answer {
  std::string id;  ///< of the job, as minted
  size_t tasks = 0;
  int status = 0;  ///< of HTTP; 0: no answer
  std::string body;
  nlohmann::json json;

  std::string outcome() const { return json.is_object() ? json.value("outcome", "") : ""; }
  std::string reason() const { return json.is_object() ? json.value("reason", "") : ""; }
};

/// Platform stand-in, entries, targets with their daemons, and an initial configuration.
class test_cluster {
 public:
  explicit test_cluster(cluster_spec spec);
  ~test_cluster();
  test_cluster(const test_cluster&) = delete;
  test_cluster& operator=(const test_cluster&) = delete;

  /// Starts everything and waits until every entry can use every target.
  /// @return the error, or nothing
  std::string Start();

  child_process& entry(size_t index) { return *entries_.at(index).process; }
  child_process& daemon(size_t index) { return *targets_.at(index).daemon; }
  child_process& target(size_t index) { return *targets_.at(index).target; }
  child_process& platform() { return *platform_; }
  tcp_relay& relay(size_t index) { return *targets_.at(index).relay; }
  child_ports entry_ports(size_t index) const { return entries_.at(index).ports; }
  child_ports daemon_ports(size_t index) const { return targets_.at(index).daemon_ports; }
  std::string EntryUrl(size_t index) const;

  /// Kills the process if it still runs, and starts a new incarnation on the same ports.
  bool RestartEntry(size_t index);
  bool RestartDaemon(size_t index);

  /// @return whether every running entry eventually reports exactly `ready` targets as ready
  bool WaitReady(size_t ready);
  /// @return names of the targets that the entry reports in `state`
  std::vector<std::string> TargetsIn(size_t entry, std::string_view state);

  http_response Operator(size_t entry, const std::string& method, const std::string& path,
                         const std::string& body = "");
  /// Submits a change; see POST /v1/operator/changes.
  http_response Change(size_t entry, const std::string& change_id, uint64_t base_version,
                       const std::string& kind, const std::string& subject);
  bool WaitInForce(size_t entry, uint64_t version);
  uint64_t Version(size_t entry);

  nlohmann::json TargetCounters(size_t index);
  uint64_t Starts(size_t index) { return TargetCounters(index).value("starts", uint64_t{0}); }
  uint64_t Running(size_t index) { return TargetCounters(index).value("running_now", uint64_t{0}); }
  uint64_t TotalStarts();
  void ControlTarget(size_t index, const nlohmann::json& behaviour);
  void ControlPlatform(const nlohmann::json& behaviour);

  /// Records an answer for FindViolation(). Safe to call from several threads.
  void Record(const final_answer& answer);
  /// Resumes all paused processes, then checks every recorded answer against the starts of the
  /// targets: no task started twice, no start for "not run", one start per task for a complete
  /// answer. Also checks that no process exited unless the test signalled it.
  /// @return the first violation, or nothing
  std::string FindViolation();

 private:
  struct entry_processes {
    std::unique_ptr<child_process> process;
    child_ports ports;
  };
  struct target_processes {
    std::unique_ptr<child_process> daemon;
    child_ports daemon_ports;
    std::unique_ptr<child_process> target;
    child_ports target_ports;
    std::unique_ptr<tcp_relay> relay;
  };

  bool StartEntry(size_t index);
  bool StartDaemon(size_t index);
  bool StartTarget(size_t index);
  std::string ConfigurationText() const;
  std::string TableUrl() const;
  std::string FindEndedProcess();

  cluster_spec spec_;
  std::filesystem::path folder_;
  std::unique_ptr<child_process> platform_;
  child_ports platform_ports_;
  std::vector<entry_processes> entries_;
  std::vector<target_processes> targets_;
  std::mutex answers_mutex_;
  std::vector<final_answer> answers_;
};

}  // namespace wagtail
