#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "admission/fair_queue.h"
#include "admission/overload_guard.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "configuration/configuration.h"
#include "jobs/job.h"

namespace wagtail {

struct waiting_tasks_options {
  size_t max_tasks = 50'000;  ///< of all services together
  overload_options overload;  ///< when a job is refused rather than queued
  duration retry_after = std::chrono::milliseconds(500);  ///< told when the queues are full
};

/// What became of one offer of a task to the targets.
enum class offer_result {
  kSent,      ///< handed over; the task waits no more
  kNoTarget,  ///< no target has room: the service's other tasks need not be offered now
  kPassOver,  ///< this task can't go now; others of the service may
  kEnded,     ///< the task's job has ended over it
};

/// The tasks that wait for a target, one queue per service, shared fairly between teams. Tasks of
/// ended jobs are dropped when they are met.
class waiting_tasks {
 public:
  /// What the queues ask about tasks.
  struct hooks {
    std::function<bool(const task_key&)> is_waiting;
    std::function<std::string(const task_key&)> team_of;  ///< asked of waiting tasks only
    /// A round of offers begins with this many tasks of the service.
    std::function<void(std::string_view service, uint32_t tasks)> on_round;
    std::function<offer_result(std::string_view service, const target_requirements& requirements,
                               const task_key& key, instant now)>
        offer;
  };

  waiting_tasks(const waiting_tasks_options& options, hooks hooks);

  /// @return OK, or why the job's tasks had better not wait here
  absl::Status CheckLoad(const job_submission& submission, instant now);
  void Push(const std::string& service, const target_requirements& requirements,
            std::string_view team, const task_key& key);
  /// Puts back a task that was sent and refused, ahead of its team's others.
  void PutBack(const std::string& service, std::string_view team, const task_key& key);
  /// A waiting task's job has ended.
  void Forget(const std::string& service);
  /// Offers waiting tasks to the targets, in the order of the teams' shares.
  void OfferAll(instant now);

  /// @return tasks that wait, those of ended jobs not counted
  size_t size() const { return size_; }

 private:
  struct queue {
    explicit queue(const overload_options& overload) : guard(overload) {}

    target_requirements requirements;
    fair_queue<task_key> tasks{SIZE_MAX};  ///< by team; tasks of ended jobs among them
    overload_guard guard;
    uint32_t waiting = 0;  ///< tasks that really wait
  };

  queue& QueueOf(const std::string& service);
  void OfferQueue(std::string_view service, queue& queue, instant now);
  void DropStale(queue& queue);
  void NoLongerWaiting(queue& queue);

  waiting_tasks_options options_;
  hooks hooks_;
  std::map<std::string, queue, std::less<>> queues_;
  size_t size_ = 0;
};

}  // namespace wagtail
