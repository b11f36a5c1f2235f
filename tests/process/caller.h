#pragma once

#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "tests/process/test_cluster.h"

namespace wagtail {

/// @return the body of a job of `count` tasks that each run `run_ms`
std::string JobOf(size_t count, unsigned run_ms, std::string_view service = kService);

/// Sends jobs to the entries of a cluster and records the answers.
class caller {
 public:
  explicit caller(test_cluster& cluster, std::string_view token = kClubToken)
      : cluster_(cluster), token_(token) {}

  /// @return a minted id; empty if the entry refuses
  std::string Mint(size_t entry);
  std::vector<std::string> Mint(size_t entry, size_t count);
  /// Waits for the answer.
  final_answer Submit(size_t entry, const std::string& id, const std::string& body);
  /// Submits on a separate thread.
  std::future<final_answer> SubmitLater(size_t entry, const std::string& id,
                                        const std::string& body);
  http_response Cancel(size_t entry, const std::string& id);

  /// Submits a job with retries: at each entry in turn, with a new id after the answer "not run",
  /// and with the same id while there is no answer.
  /// @return the first other answer, or the last one at the timeout
  final_answer SubmitUntilAnswered(size_t entries, const std::string& body);

 private:
  http_response Call(size_t entry, const std::string& method, const std::string& path,
                     const std::string& body);

  test_cluster& cluster_;
  std::string token_;
};

}  // namespace wagtail
