#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "jobs/task.h"

namespace wagtail {

/// Runs tasks on this daemon's target, one thread per slot.
class task_runner {
 public:
  /// Receives the result of each task, on a thread of the runner.
  using result_hook = std::function<void(task_result)>;

  /// @param slots maximum number of concurrent tasks
  /// @param target_url base URL of the target's HTTP endpoint
  task_runner(uint32_t slots, std::string target_url, result_hook on_result);
  /// Does not block: results of tasks that still run are dropped, and their detached threads end
  /// within the timeout of their task.
  ~task_runner();
  task_runner(const task_runner&) = delete;
  task_runner& operator=(const task_runner&) = delete;

  /// Starts the task on a free thread; the caller must not exceed `slots` concurrent tasks.
  void Start(start_request request);

 private:
  /// State shared with the threads, which may outlive the runner.
  struct state {
    std::string target_url;
    result_hook on_result;  ///< empty once the runner is destroyed
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<start_request> pending;
    bool stopping = false;
  };

  static void ThreadMain(const std::shared_ptr<state>& shared);
  static task_result RunTask(const std::string& target_url, const start_request& request);

  std::shared_ptr<state> state_;
};

}  // namespace wagtail
