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
  size_t max_tasks = 50'000;  ///< across all services
  overload_options overload;  ///< thresholds for refusing a job instead of queueing it
  duration retry_after = std::chrono::milliseconds(500);  ///< sent when the queues are full
};

/// Result of offering a task to the targets.
enum class offer_result {
  kSent,      ///< handed over; no longer waiting
  kNoTarget,  ///< no target has capacity; the service's other tasks need not be offered now
  kSkipped,   ///< this task can't be sent now; others of the service may
  kJobEnded,  ///< the offer ended the task's job
};

/// Tasks that wait for a target, in one queue per service shared fairly between teams. Tasks of
/// ended jobs are removed lazily.
class waiting_tasks {
 public:
  /// Callbacks into the owner of the tasks.
  struct hooks {
    std::function<bool(const task_key&)> is_waiting;
    std::function<std::string(const task_key&)> team_of;  ///< called for waiting tasks only
    /// Called at the start of a round of offers with the number of the service's waiting tasks.
    std::function<void(std::string_view service, uint32_t tasks)> on_round;
    std::function<offer_result(std::string_view service, const target_requirements& requirements,
                               const task_key& key, instant now)>
        offer;
  };

  waiting_tasks(const waiting_tasks_options& options, hooks hooks);

  /// @return OK, or the reason to refuse the job instead of queueing its tasks
  absl::Status CheckLoad(const job_submission& submission, instant now);
  void Push(const std::string& service, const target_requirements& requirements,
            std::string_view team, const task_key& key);
  /// Requeues a task that was sent and refused, ahead of its team's other tasks.
  void PutBack(const std::string& service, std::string_view team, const task_key& key);
  /// Stops counting a waiting task whose job has ended.
  void OnTaskDropped(const std::string& service);
  /// Offers waiting tasks to the targets, in the order of the teams' shares.
  void OfferAll(instant now);

  /// @return number of waiting tasks, excluding those of ended jobs
  size_t size() const { return size_; }

 private:
  struct queue {
    explicit queue(const overload_options& overload) : guard(overload) {}

    target_requirements requirements;
    fair_queue<task_key> tasks{SIZE_MAX};  ///< by team; may include tasks of ended jobs
    overload_guard guard;
    uint32_t waiting = 0;  ///< excludes tasks of ended jobs
  };

  queue& QueueOf(const std::string& service);
  void OfferQueue(std::string_view service, queue& queue, instant now);
  void RemoveStaleTasks(queue& queue);
  void DecrementWaiting(queue& queue);

  waiting_tasks_options options_;
  hooks hooks_;
  std::map<std::string, queue, std::less<>> queues_;
  size_t size_ = 0;
};

}  // namespace wagtail
