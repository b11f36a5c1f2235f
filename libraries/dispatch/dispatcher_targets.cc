#include <algorithm>
#include <utility>

#include "base/verify.h"
#include "dispatch/dispatcher.h"

/// @file
/// What happens to tasks that were handed to targets: refusals, results, lost links and targets.

namespace wagtail {
namespace {

// A daemon that refused for one of these reasons refuses every task until its next report.
bool SuspendsTarget(refusal reason) {
  return reason == refusal::kStale || reason == refusal::kLeaving || reason == refusal::kStopping;
}

bool ExcludesTarget(refusal reason) { return reason != refusal::kFull; }

}  // namespace

void dispatcher::AddTarget(const target_profile& profile, uint64_t announced_revision,
                           instant now) {
  known_target& known = targets_[profile.incarnation];
  known.service = profile.service;
  known.announced_revision = announced_revision;
  newest_announced_revision_ = std::max(newest_announced_revision_, announced_revision);
  placement_->AddTarget(profile, now);
  OfferWaitingTasks(now);
}

void dispatcher::RemoveTarget(const target_incarnation& target, instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  absl::btree_set<task_key> lost = std::move(found->second.handed_over);
  targets_.erase(found);
  placement_->RemoveTarget(target);
  for (const task_key& key : lost) {
    owned_job* job = jobs_.Find(key.job);
    VERIFY(job != nullptr && job->handed_over > 0);
    --job->handed_over;
    placement_->OnLost(target, now);
    TaskLost(*job, key);
  }
  OfferWaitingTasks(now);
}

void dispatcher::SetAdmitted(const target_incarnation& target, bool admitted, instant now) {
  if (!targets_.contains(target)) {
    return;
  }
  placement_->SetAdmitted(target, admitted, now);
  OfferWaitingTasks(now);
}

void dispatcher::OnLinkLost(const target_incarnation& target, instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  placement_->SetReachable(target, false, now);
  for (const task_key& key : found->second.handed_over) {
    owned_job* job = jobs_.Find(key.job);
    VERIFY(job != nullptr);
    owned_task& task = job->tasks.at(key.index);
    if (task.progress == task_progress::kSent) {
      task.progress = task_progress::kUnsettled;
      unsettled_.emplace_back(now + options_.settle_timeout, key);
      ++counters_.tasks_unsettled;
    }
  }
}

void dispatcher::OnLinkRestored(const target_incarnation& target, instant now) {
  if (!targets_.contains(target)) {
    return;
  }
  placement_->SetReachable(target, true, now);
  OfferWaitingTasks(now);
}

std::vector<start_request> dispatcher::Unsettled(const target_incarnation& target) const {
  std::vector<start_request> requests;
  auto found = targets_.find(target);
  if (found == targets_.end()) {
    return requests;
  }
  for (const task_key& key : found->second.handed_over) {
    const owned_job* job = jobs_.Find(key.job);
    requests.push_back(RequestFor(*job, key.index));
  }
  return requests;
}

void dispatcher::OnVerdict(const target_incarnation& target, const task_key& key, refusal reason,
                           const target_load& load, instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end() || !found->second.handed_over.contains(key)) {
    return;
  }
  if (reason == refusal::kNone || reason == refusal::kAlreadyKnown) {
    return;
  }
  ++counters_.tasks_refused;
  placement_->OnRefused(target, load, now);
  if (SuspendsTarget(reason)) {
    placement_->SetReachable(target, false, now);
  }
  TaskNotStarted(target, *jobs_.Find(key.job), key, reason, now);
  OfferWaitingTasks(now);
}

void dispatcher::OnResult(const target_incarnation& target, task_result result,
                          const target_load& load, instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end() || !found->second.handed_over.contains(result.key)) {
    return;  // a duplicate; the first result counts
  }
  task_outcome outcome = result.completed   ? task_outcome::kCompleted
                         : result.timed_out ? task_outcome::kTimedOut
                                            : task_outcome::kFailed;
  placement_->OnResult(target, outcome, result.run_time, load, now);
  owned_job& job = *jobs_.Find(result.key.job);
  Release(target, job, result.key);
  job.max_run_time_in_stage = std::max(job.max_run_time_in_stage, result.run_time);
  TaskEnded(job, result.key, result.completed, std::move(result.body),
            result.timed_out ? "task_timed_out" : "task_failed");
  OfferWaitingTasks(now);
}

void dispatcher::OnSettled(const target_incarnation& target, const task_record& record,
                           instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end() || !found->second.handed_over.contains(record.key)) {
    return;
  }
  owned_job& job = *jobs_.Find(record.key.job);
  owned_task& task = job.tasks.at(record.key.index);
  switch (record.state) {
    case task_state::kQueued:
    case task_state::kRunning:
      task.progress = task_progress::kSent;
      return;
    case task_state::kNeverStarted:
      placement_->OnLost(target, now);
      TaskNotStarted(target, job, record.key, refusal::kWithdrawn, now);
      break;
    case task_state::kForgotten:
      placement_->OnLost(target, now);
      Release(target, job, record.key);
      TaskLost(job, record.key);
      break;
    case task_state::kCompleted:
    case task_state::kFailed: {
      placement_->OnLost(target, now);
      Release(target, job, record.key);
      bool completed = record.state == task_state::kCompleted && record.body.has_value();
      TaskEnded(job, record.key, completed, record.body.value_or(""), "task_failed");
      break;
    }
  }
  OfferWaitingTasks(now);
}

void dispatcher::Release(const target_incarnation& target, owned_job& job, const task_key& key) {
  size_t erased = targets_.at(target).handed_over.erase(key);
  VERIFY(erased == 1);
  VERIFY(job.handed_over > 0);
  --job.handed_over;
}

void dispatcher::TaskNotStarted(const target_incarnation& target, owned_job& job,
                                const task_key& key, refusal reason, instant /*now*/) {
  Release(target, job, key);
  owned_task& task = job.tasks.at(key.index);
  VERIFY(task.IsHandedOver() || job.has_ended());
  if (job.has_ended()) {
    task.progress = task_progress::kDropped;
    return;
  }
  task.progress = task_progress::kDropped;
  if (ExcludesTarget(reason)) {
    task.refused_by.push_back(target);
  }
  if (reason == refusal::kFenced) {
    FailJob(job, "recovered_by_another_entry");
    return;
  }
  if (reason == refusal::kExpired || ++task.refusals > options_.max_refusals) {
    FailJob(job, reason == refusal::kExpired ? "id_expired" : "refused_too_often",
            options_.overload_retry_after);
    return;
  }
  waiting_.PutBack(job.submission.tasks.at(key.index).service, job.submission.team, key);
  task.retry_granted = false;
  task.progress = task_progress::kWaiting;
}

void dispatcher::TaskEnded(owned_job& job, const task_key& key, bool completed, std::string body,
                           std::string_view reason) {
  owned_task& task = job.tasks.at(key.index);
  VERIFY(!task.IsKnownStarted());
  task.progress = completed ? task_progress::kCompleted : task_progress::kFailed;
  if (job.has_ended()) {
    return;
  }
  if (!completed) {
    FailJob(job, reason);
    return;
  }
  task.body = std::move(body);
  VERIFY(job.incomplete_in_stage > 0);
  --job.incomplete_in_stage;
  if (job.incomplete_in_stage > 0) {
    return;
  }
  ++job.stage;
  job.run_time += std::exchange(job.max_run_time_in_stage, duration::zero());
  OpenStage(job);
}

void dispatcher::TaskLost(owned_job& job, const task_key& key) {
  owned_task& task = job.tasks.at(key.index);
  task.progress = task_progress::kFailed;
  ++counters_.tasks_lost;
  if (!job.has_ended()) {
    FailJob(job, "target_lost");
  }
}

}  // namespace wagtail
