#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include "base/time.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

/// @param socket of a caller's connection, or -1 if it is not known
/// @return whether the caller has closed or lost its end
bool IsCallerGone(int socket);

/// Lets the thread of a caller's connection wait for the answer of a job, and notices when the
/// caller is gone. One thread waits, any thread answers.
class pending_answer {
 public:
  pending_answer();
  ~pending_answer();
  pending_answer(const pending_answer&) = delete;
  pending_answer& operator=(const pending_answer&) = delete;

  /// The job has reached the board.
  /// @param queued since the request arrived
  void Admitted(duration queued) { queued_ = queued; }
  void Answer(job_answer answer);

  /// @param socket of the caller's connection, or -1
  /// @param limit after which waiting ends in any case
  /// @return the answer, or nothing if the caller is gone or the limit has passed
  std::optional<job_answer> Wait(int socket, duration limit);

  /// @return how long the request waited for its admission; zero if it was not admitted
  duration queued() const { return queued_; }

 private:
  std::optional<job_answer> Take();

  int wake_ = -1;
  std::atomic<duration> queued_ = duration::zero();
  std::mutex mutex_;
  std::optional<job_answer> answer_;
};

}  // namespace wagtail::leased
