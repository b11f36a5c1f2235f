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

/// @return a request that hands in a job, as a caller sends it
std::string JobRequest(const std::string& job, uint32_t tasks);

/// A caller on a thread of its own: hands in one job after the other, and sends a job without an
/// answer again, to any entry, as the platform's callers do.
class soak_caller {
 public:
  soak_caller(uint64_t seed, const std::vector<loopback_address>& entries, run_checker& watch);

  /// Hands in one job and sees it through.
  /// @param patient never turns away before the answer
  /// @return whether it was completed
  bool HandIn(bool patient);
  /// Hands in jobs until the end of the object.
  void RunOnThread();
  /// Has the thread take no further job.
  void BeginEnd() { ending_ = true; }
  void End();

 private:
  /// What became of one sending.
  enum class sending { kEnded, kRefused, kNoAnswer };
  sending Send(const std::string& job, uint32_t tasks, bool patient, bool& completed);

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<open_connection>> entries_;
  run_checker& watch_;
  std::atomic<bool> ending_ = false;
  std::jthread thread_;
};

}  // namespace wagtail::leased
