#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include "base/time.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

/// @param socket of a caller's connection, or -1 if unknown
/// @return whether the caller has closed the connection or the connection is broken
bool IsCallerGone(int socket);

/// Answer to a job that the thread of the caller's connection waits for, until the answer is set or
/// the caller disconnects. One thread waits, any thread may set the answer.
class pending_answer {
 public:
  pending_answer();
  ~pending_answer();
  pending_answer(const pending_answer&) = delete;
  pending_answer& operator=(const pending_answer&) = delete;

  /// The job was passed to the scheduler.
  /// @param queued time since the request arrived
  void OnAdmitted(duration queued) { queued_ = queued; }
  void SetAnswer(job_answer answer);

  /// @param socket of the caller's connection, or -1
  /// @param timeout maximum time to wait
  /// @return the answer, or nothing if the caller disconnected or the timeout expired
  std::optional<job_answer> Wait(int socket, duration timeout);

  /// @return how long the request waited for admission; zero if it was not admitted
  duration queued() const { return queued_; }

 private:
  std::optional<job_answer> TakeAnswer();

  int event_fd_ = -1;
  std::atomic<duration> queued_ = duration::zero();
  std::mutex mutex_;
  std::optional<job_answer> answer_;
};

}  // namespace wagtail::leased
