#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// @return milliseconds since the first call
int64_t NowMs();

/// Writes what was sent, answered and run, a line each, and checks that no task runs twice at the
/// same time.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}

  void Write(const std::string& line);
  void OnRunStarted(const std::string& task, uint32_t run, const std::string& worker,
                    const std::string& job_spec);
  void OnRunEnded(const std::string& task, uint32_t run, const std::string& worker,
                  const std::string& how);
  /// Notes that a rule was broken.
  void Break(const std::string& line);
  bool IsBroken();
  /// @return number of runs of a task that have begun
  size_t Starts(const std::string& task);

 private:
  struct running {
    uint32_t run = 0;
    std::string worker{};
    int64_t since = 0;
  };

  void WriteLocked(const std::string& line);

  std::mutex mutex_;
  std::ofstream file_;
  std::map<std::string, std::vector<running>> running_;
  std::map<std::string, size_t> starts_;
  bool broken_ = false;
};

}  // namespace review
