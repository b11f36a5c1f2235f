#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace wagtail {

/// Runs blocking work in order on a dedicated thread.
class background_worker {
 public:
  using work = std::function<void()>;

  background_worker();
  /// Waits for the current item and discards the queued ones.
  ~background_worker();
  background_worker(const background_worker&) = delete;
  background_worker& operator=(const background_worker&) = delete;

  void Post(work item);

 private:
  void ThreadMain();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<work> items_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtail
