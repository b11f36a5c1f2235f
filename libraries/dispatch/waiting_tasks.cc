#include "dispatch/waiting_tasks.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/admission_error.h"
#include "base/try.h"
#include "base/verify.h"

namespace wagtail {

namespace {

// Tasks of ended jobs, beyond the number of waiting ones, that a queue holds before removing them.
constexpr size_t kStaleTaskSlack = 1000;

// Waiting tasks that one round of offers may skip because some targets refuse only these tasks.
constexpr size_t kMaxSkippedTasks = 64;

}  // namespace

waiting_tasks::waiting_tasks(const waiting_tasks_options& options, hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {
  options_.overload.max_queued_tasks = static_cast<uint32_t>(options_.max_tasks);
}

absl::Status waiting_tasks::CheckLoad(const job_submission& submission, instant now) {
  if (size_ + submission.tasks.size() > options_.max_tasks) {
    return MakeRefusal(admission_error::kQueueFull, "the entry's queue is full",
                       options_.retry_after);
  }
  std::map<std::string, uint32_t> tasks_of;
  for (const task_spec& task : submission.tasks) {
    ++tasks_of[task.service];
  }
  for (const auto& [service, tasks] : tasks_of) {
    queue& queue = QueueOf(service);
    TRY(queue.guard.Check(tasks, queue.waiting, submission.deadline - now, now));
  }
  return absl::OkStatus();
}

waiting_tasks::queue& waiting_tasks::QueueOf(const std::string& service) {
  return queues_.try_emplace(service, options_.overload).first->second;
}

void waiting_tasks::Push(const std::string& service, const target_requirements& requirements,
                         std::string_view team, const task_key& key) {
  queue& queue = QueueOf(service);
  queue.requirements = requirements;
  bool is_queued = queue.tasks.Push(team, key);
  VERIFY(is_queued);
  ++queue.waiting;
  ++size_;
}

void waiting_tasks::PutBack(const std::string& service, std::string_view team,
                            const task_key& key) {
  queue& queue = QueueOf(service);
  queue.tasks.PutBack(team, key);
  ++queue.waiting;
  ++size_;
}

void waiting_tasks::OnTaskDropped(const std::string& service) {
  DecrementWaiting(QueueOf(service));
}

void waiting_tasks::DecrementWaiting(queue& queue) {
  VERIFY(queue.waiting > 0 && size_ > 0);
  --queue.waiting;
  --size_;
}

void waiting_tasks::RemoveStaleTasks(queue& queue) {
  if (queue.tasks.size() > 2 * size_t{queue.waiting} + kStaleTaskSlack) {
    queue.tasks.RemoveIf([this](const task_key& key) { return !hooks_.is_waiting(key); });
  }
}

void waiting_tasks::OfferAll(instant now) {
  for (auto& [service, queue] : queues_) {
    OfferQueue(service, queue, now);
  }
}

void waiting_tasks::OfferQueue(std::string_view service, queue& queue, instant now) {
  RemoveStaleTasks(queue);
  hooks_.on_round(service, queue.waiting);
  std::vector<task_key> skipped;
  while (skipped.size() < kMaxSkippedTasks) {
    std::optional<task_key> key = queue.tasks.Pop();
    if (!key.has_value()) {
      break;
    }
    if (!hooks_.is_waiting(*key)) {
      continue;
    }
    offer_result result = hooks_.offer(service, queue.requirements, *key, now);
    if (result == offer_result::kNoTarget) {
      queue.tasks.PutBack(hooks_.team_of(*key), *key);
      break;
    }
    if (result == offer_result::kSent) {
      DecrementWaiting(queue);
      queue.guard.OnSent(now);
    } else if (result == offer_result::kSkipped) {
      skipped.push_back(*key);
    }
  }
  std::ranges::reverse(skipped);
  for (const task_key& key : skipped) {
    if (hooks_.is_waiting(key)) {
      queue.tasks.PutBack(hooks_.team_of(key), key);
    }
  }
}

}  // namespace wagtail
