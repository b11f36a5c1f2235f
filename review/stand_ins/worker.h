#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

struct worker_options {
  std::string id{};
  std::string address{};  ///< IP:PORT
  std::string control{};  ///< of the agent on its machine
  std::string zone{};
  std::string service{};
  int64_t cpu = 64000;
  int64_t mem_mb = 131072;
  milliseconds heartbeat{1500};
};

/// What becomes of a call to a worker.
enum class fate {
  kAnswer,
  kLoseAnswer,  ///< carried out now, but not answered
  kHoldBack,    ///< kept for CarryOutHeldBack, not answered
  kDrop,        ///< not carried out, not answered
};

/// Stand-in of a worker (executor). A task lasts as many milliseconds as the first number of its
/// job's `job_spec` says.
class worker {
 public:
  using fate_hook = std::function<fate(const http_message&)>;

  worker(worker_options options, record& notes);
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Begins a life, with a clock and fences of its own, and announces itself.
  /// @return whether it listens at its address
  bool Start();
  /// Ends this life at once: nothing runs any more, connections break.
  void Crash();
  /// Ends this life at once, and the machine stays silent: connections neither break nor answer.
  void GoDark();
  /// Decides what becomes of each call; to be set before Start, or while no call is in progress.
  void SetFate(fate_hook decide);
  /// Carries out the calls that were held back.
  void CarryOutHeldBack();
  /// Sends a heartbeat now.
  /// @return whether it was acknowledged
  bool SendHeartbeat();
  /// Whether heartbeats are sent at intervals.
  void SetHeartbeats(bool sent) { beats_ = sent; }
  /// Changes the state that heartbeats give.
  void SetState(const std::string& state);
  size_t Running();
  const worker_options& options() const { return options_; }
  void SetAddress(const std::string& address) { options_.address = address; }
  /// @return the body of a heartbeat
  nlohmann::json Announcement();

 private:
  struct run {
    std::string task{};
    uint32_t number = 0;
    int64_t end_ms = 0;  ///< on the clock of this life
    std::optional<int64_t> stops_at_ms{};
  };

  std::optional<http_message> Answer(const http_message& request);
  std::optional<http_message> CarryOut(const http_message& request);
  http_message StartRun(const nlohmann::json& order);
  http_message StopRun(const nlohmann::json& order);
  http_message Hold(const nlohmann::json& order);
  http_message Reply(int status, nlohmann::json body) const;
  std::optional<http_message> CheckFence(const nlohmann::json& order);
  void TakeLease(const nlohmann::json& order);
  void End(const run& ended, const std::string& how);
  void Advance();
  void Beat();
  int64_t ClockMs() const;

  worker_options options_;
  record& notes_;
  fate_hook decide_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  bool dark_ = false;
  bool ending_ = false;
  std::atomic<bool> beats_ = true;
  std::string state_ = "ready";
  int64_t began_ = 0;
  int64_t born_ = 0;
  int64_t sequence_ = 0;
  int64_t fence_ = 0;
  int64_t lease_ms_ = 0;
  int64_t next_end_ = 1;
  std::vector<run> runs_;
  std::map<std::string, uint32_t> highest_ended_;
  std::vector<nlohmann::json> ends_;
  std::vector<http_message> held_back_;
  std::unique_ptr<http_server> server_;
  std::thread advancing_;
  std::thread beating_;
};

}  // namespace review
