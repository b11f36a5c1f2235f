#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/fault_soak/open_connection.h"
#include "tests/fault_soak/run_checker.h"

namespace wagtail::leased {

inline constexpr const char* kSoakHost = "lights.example";
inline constexpr const char* kSoakPath = "/on/";
inline constexpr int kSoakTaskCpu = 6000;  ///< thousandths of a core

/// @return the HTTP request with which a caller submits a job
std::string JobRequest(const std::string& job, uint32_t tasks);

/// Caller on its own thread: submits one job after the other and resends an unanswered job to any
/// entry, as the platform's callers do.
class soak_caller {
 public:
  soak_caller(uint64_t seed, const std::vector<loopback_address>& entries, run_checker& checker);

  /// Submits one job and resends it until it ends or the attempts are used up.
  /// @param until_answered never disconnects early
  /// @return whether the job completed
  bool SubmitJob(bool until_answered);
  /// Submits jobs on a thread until stopped.
  void RunOnThread();
  /// Makes the thread submit no further job; does not wait for it.
  void RequestStop() { stopping_ = true; }
  void Stop();

 private:
  /// Result of one request.
  enum class attempt_result { kEnded, kRefused, kNoAnswer };
  attempt_result Send(const std::string& job, uint32_t tasks, bool until_answered, bool& completed);

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<open_connection>> entries_;
  run_checker& checker_;
  std::atomic<bool> stopping_ = false;
  std::jthread thread_;
};

}  // namespace wagtail::leased
