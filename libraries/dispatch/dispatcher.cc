#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "admission/admission_error.h"
#include "base/verify.h"

/// @file
/// Submission and end of jobs.

namespace wagtail {

dispatcher::dispatcher(dispatcher_options options, std::unique_ptr<placement> placement)
    : options_(options),
      placement_(std::move(placement)),
      jobs_(options.jobs),
      retries_(options.retries),
      waiting_(options.waiting, WaitingHooks()) {}

submit_outcome dispatcher::Submit(job_submission submission, answer_hook hook, uint64_t uptime_ms,
                                  instant now) {
  VERIFY(!submission.tasks.empty());
  if (owned_job* known = jobs_.Find(submission.key); known != nullptr) {
    if (known->submission.digest != submission.digest) {
      return submit_outcome::kDifferentBody;
    }
    ++counters_.jobs_joined;
    if (known->has_ended()) {
      actions_.emplace_back(answer_action{submission.key, {std::move(hook)}, *known->answer});
    } else {
      known->waiting.push_back(std::move(hook));
    }
    return submit_outcome::kJoined;
  }
  auto lifetime_ms = static_cast<uint64_t>(ToMilliseconds(options_.jobs.id_lifetime));
  if (uptime_ms > submission.minted_uptime_ms + lifetime_ms) {
    return submit_outcome::kExpired;
  }
  std::optional<std::string> impossible = ImpossibleReason(submission);
  job_key key = submission.key;
  instant deadline = submission.deadline;
  absl::Status load = waiting_.CheckLoad(submission, now);
  owned_job* job = jobs_.Insert(std::move(submission), uptime_ms);
  if (job == nullptr) {
    // The id is not recorded, so a resubmission is treated as new and "not run" stays true.
    actions_.emplace_back(answer_action{
        key,
        {std::move(hook)},
        {.reason = "job_table_full", .retry_after = options_.overload_retry_after, .results = {}}});
    return submit_outcome::kAccepted;
  }
  ++counters_.jobs_accepted;
  job->waiting.push_back(std::move(hook));
  if (impossible.has_value()) {
    FailJob(*job, *impossible);
    return submit_outcome::kAccepted;
  }
  if (!load.ok() || stopping_) {
    duration retry_after = RetryAfterOf(load).value_or(options_.overload_retry_after);
    FailJob(*job, stopping_ ? "stopping" : "overloaded", retry_after);
    return submit_outcome::kAccepted;
  }
  deadlines_.push({deadline, key});
  OpenStage(*job);
  OfferWaitingTasks(now);
  return submit_outcome::kAccepted;
}

std::optional<std::string> dispatcher::ImpossibleReason(const job_submission& submission) const {
  auto unmet = std::ranges::find_if(submission.needs, [&](const service_need& need) {
    return !placement_->CanEverRun(need.service, need.requirements);
  });
  if (unmet == submission.needs.end()) {
    return std::nullopt;
  }
  return "no_target_for_service:" + unmet->service;
}

bool dispatcher::Cancel(const job_key& key, instant now) {
  owned_job* job = jobs_.Find(key);
  if (job == nullptr || job->has_ended()) {
    return false;
  }
  FailJob(*job, "cancelled");
  OfferWaitingTasks(now);
  return true;
}

void dispatcher::CompleteJob(owned_job& job) {
  VERIFY(job.handed_over == 0);
  job_answer answer{.outcome = job_outcome::kComplete, .reason = "", .results = {}};
  answer.started = static_cast<uint32_t>(job.tasks.size());
  answer.run_time = job.run_time;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    owned_task& task = job.tasks[index];
    VERIFY(task.progress == task_progress::kCompleted);
    answer.results.push_back(
        {.index = index, .target = task.target.target, .body = std::move(task.body)});
  }
  VERIFY(answer.results.size() == job.submission.tasks.size());
  ++counters_.jobs_complete;
  SetFinalAnswer(job, std::move(answer));
}

void dispatcher::FailJob(owned_job& job, std::string_view reason, duration retry_after) {
  VERIFY(!job.has_ended());
  job_answer answer{.reason = std::string(reason), .retry_after = retry_after, .results = {}};
  answer.started =
      static_cast<uint32_t>(std::ranges::count_if(job.tasks, &owned_task::IsKnownStarted));
  bool may_have_run = answer.started > 0 || job.handed_over > 0;
  answer.outcome = may_have_run ? job_outcome::kFailedMayHaveRun : job_outcome::kFailedNotRun;
  ++(may_have_run ? counters_.jobs_failed_may_have_run : counters_.jobs_failed_not_run);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    owned_task& task = job.tasks[index];
    if (task.progress == task_progress::kSent) {
      actions_.emplace_back(withdraw_action{task.target, RequestFor(job, index)});
    } else if (!task.IsHandedOver() && !task.IsKnownStarted()) {
      if (task.progress == task_progress::kWaiting) {
        waiting_.OnTaskDropped(job.submission.tasks[index].service);
      }
      task.progress = task_progress::kDropped;
    }
    task.body.clear();
  }
  SetFinalAnswer(job, std::move(answer));
}

void dispatcher::SetFinalAnswer(owned_job& job, job_answer answer) {
  job_key key = job.submission.key;
  actions_.emplace_back(answer_action{key, std::move(job.waiting), answer});
  job.waiting.clear();
  jobs_.SetAnswer(key, std::move(answer));
}

void dispatcher::Tick(uint64_t uptime_ms, instant now) {
  FailOverdueJobs(now);
  FailUnsettledJobs(now);
  jobs_.Expire(uptime_ms);
  OfferWaitingTasks(now);
}

void dispatcher::FailOverdueJobs(instant now) {
  while (!deadlines_.empty() && deadlines_.top().at <= now) {
    owned_job* job = jobs_.Find(deadlines_.top().job);
    deadlines_.pop();
    if (job != nullptr && !job->has_ended()) {
      FailJob(*job, "deadline_exceeded", options_.overload_retry_after);
    }
  }
}

void dispatcher::FailUnsettledJobs(instant now) {
  while (!unsettled_.empty() && unsettled_.front().first <= now) {
    task_key key = unsettled_.front().second;
    unsettled_.pop_front();
    owned_job* job = jobs_.Find(key.job);
    if (job == nullptr || job->has_ended()) {
      continue;
    }
    if (job->tasks.at(key.index).progress == task_progress::kUnsettled) {
      FailJob(*job, "target_unreachable");
    }
  }
}

std::optional<instant> dispatcher::NextWake(instant now) const {
  std::optional<instant> wake;
  auto consider = [&wake](instant at) { wake = wake.has_value() ? std::min(*wake, at) : at; };
  if (!deadlines_.empty()) {
    consider(deadlines_.top().at);
  }
  if (!unsettled_.empty()) {
    consider(unsettled_.front().first);
  }
  if (waiting_.size() > 0) {
    if (std::optional<instant> offer = placement_->NextWake(now); offer.has_value()) {
      consider(*offer);
    }
  }
  return wake;
}

std::vector<dispatch_action> dispatcher::TakeActions() { return std::exchange(actions_, {}); }

void dispatcher::BeginStop(instant now) {
  stopping_ = true;
  std::vector<owned_job*> idle;
  jobs_.ForEachInProgress([&idle](const job_key& /*key*/, owned_job& job) {
    bool has_started =
        job.handed_over > 0 || std::ranges::any_of(job.tasks, &owned_task::IsKnownStarted);
    if (!has_started) {
      idle.push_back(&job);
    }
  });
  for (owned_job* job : idle) {
    FailJob(*job, "stopping", options_.overload_retry_after);
  }
  OfferWaitingTasks(now);
}

void dispatcher::EndAll(std::string_view reason, instant /*now*/) {
  std::vector<owned_job*> open;
  jobs_.ForEachInProgress(
      [&open](const job_key& /*key*/, owned_job& job) { open.push_back(&job); });
  for (owned_job* job : open) {
    FailJob(*job, reason);
  }
}

void dispatcher::ForEachInProgress(
    const std::function<void(const job_key&, const owned_job&)>& visit) {
  jobs_.ForEachInProgress([&visit](const job_key& key, owned_job& job) { visit(key, job); });
}

}  // namespace wagtail
