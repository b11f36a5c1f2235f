#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "jobs/task.h"

namespace wagtail {

/// Runs tasks on the target beside this daemon, one thread per slot.
class task_runner {
 public:
  /// Receives the end of each task, on a thread of the runner.
  using result_hook = std::function<void(task_result)>;

  /// @param slots tasks that run at once
  /// @param target_url base URL of the target's HTTP endpoint
  task_runner(uint32_t slots, std::string target_url, result_hook on_result);
  /// Waits for nothing: results of tasks that still run are dropped, and their threads end by
  /// themselves, each within its task's timeout.
  ~task_runner();
  task_runner(const task_runner&) = delete;
  task_runner& operator=(const task_runner&) = delete;

  /// Starts the task on a free thread; the caller hands over no more than `slots` at once.
  void Start(start_request request);

 private:
  /// Shared with the threads, which may outlive the runner.
  struct state {
    std::string target_url;
    result_hook on_result;  ///< empty once the runner is gone
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
