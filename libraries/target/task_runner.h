#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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
  /// Waits for the running tasks, each bounded by its timeout.
  ~task_runner();
  task_runner(const task_runner&) = delete;
  task_runner& operator=(const task_runner&) = delete;

  /// Starts the task on a free thread; the caller hands over no more than `slots` at once.
  void Start(start_request request);

 private:
  void ThreadMain();
  task_result RunTask(const start_request& request) const;

  std::string target_url_;
  result_hook on_result_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<start_request> pending_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace wagtail
