#include <algorithm>

#include "base/verify.h"
#include "dispatch/dispatcher.h"

/// @file
/// The way of a task from its stage to a target: waiting, offers and placement.

namespace wagtail {
namespace {

// Tasks were handed over and none is known to have started: later messages may still prove that the
// job did not run.
bool MayStillProveNotRun(const owned_job& job) {
  return job.handed_over > 0 && std::ranges::none_of(job.tasks, &owned_task::IsKnownStarted);
}

}  // namespace

void dispatcher::OpenStage(owned_job& job) {
  const std::vector<task_spec>& specs = job.submission.tasks;
  bool has_more =
      std::ranges::any_of(specs, [&](const task_spec& task) { return task.stage >= job.stage; });
  if (!has_more) {
    CompleteJob(job);
    return;
  }
  for (uint32_t index = 0; index < specs.size(); ++index) {
    if (specs[index].stage == job.stage) {
      VERIFY(job.tasks[index].progress == task_progress::kBlocked);
      Enqueue(job, index);
      job.tasks[index].progress = task_progress::kWaiting;
      ++job.incomplete_in_stage;
    }
  }
  if (job.incomplete_in_stage == 0) {
    ++job.stage;
    OpenStage(job);
  }
}

void dispatcher::Enqueue(const owned_job& job, uint32_t index) {
  const std::string& service = job.submission.tasks[index].service;
  auto need = std::ranges::find(job.submission.needs, service, &service_need::service);
  bool has_need = need != job.submission.needs.end();
  waiting_.Push(service, has_need ? need->requirements : target_requirements{}, job.submission.team,
                {.job = job.submission.key, .index = index});
}

waiting_tasks::hooks dispatcher::WaitingHooks() {
  waiting_tasks::hooks hooks;
  hooks.is_waiting = [this](const task_key& key) { return IsWaiting(key); };
  hooks.team_of = [this](const task_key& key) { return jobs_.Find(key.job)->submission.team; };
  hooks.on_round = [this](std::string_view service, uint32_t tasks) {
    placement_->SetWaiting(service, tasks);
  };
  hooks.offer = [this](std::string_view service, const target_requirements& requirements,
                       const task_key& key,
                       instant now) { return OfferTask(service, requirements, key, now); };
  return hooks;
}

void dispatcher::OfferWaitingTasks(instant now) { waiting_.OfferAll(now); }

bool dispatcher::HasOtherTarget(std::string_view service,
                                const std::vector<target_incarnation>& excluded) const {
  return std::ranges::any_of(targets_, [&](const auto& known) {
    const auto& [target, state] = known;
    return state.service == service && std::ranges::find(excluded, target) == excluded.end();
  });
}

bool dispatcher::IsWaiting(const task_key& key) {
  const owned_job* job = jobs_.Find(key.job);
  return job != nullptr && !job->has_ended() &&
         job->tasks.at(key.index).progress == task_progress::kWaiting;
}

offer_result dispatcher::OfferTask(std::string_view service,
                                   const target_requirements& requirements, const task_key& key,
                                   instant now) {
  owned_job& job = *jobs_.Find(key.job);
  owned_task& task = job.tasks.at(key.index);
  bool is_retry = task.refusals > 0;
  if (is_retry && !task.retry_granted && !retries_.TryRetry(now)) {
    return offer_result::kSkipped;
  }
  task.retry_granted = true;
  std::vector<target_incarnation> excluded = ExcludedFor(job, task);
  std::optional<target_incarnation> target = placement_->Pick(service, requirements, excluded, now);
  if (!target.has_value() && excluded.empty()) {
    return offer_result::kNoTarget;
  }
  if (!target.has_value() && (HasOtherTarget(service, excluded) || MayStillProveNotRun(job))) {
    return offer_result::kSkipped;
  }
  if (!target.has_value()) {
    FailJob(job, "no_target_left", options_.overload_retry_after);
    return offer_result::kJobEnded;
  }
  if (!is_retry) {
    retries_.OnFirstAttempt();
  }
  known_target& known = targets_.at(*target);
  VERIFY(known.announced_revision <= job.submission.registry_revision);
  VERIFY(task.progress == task_progress::kWaiting);
  task.progress = task_progress::kSent;
  task.target = *target;
  ++job.handed_over;
  known.handed_over.insert(key);
  placement_->OnSent(*target, now);
  ++counters_.tasks_sent;
  actions_.emplace_back(start_action{*target, RequestFor(job, key.index)});
  return offer_result::kSent;
}

std::vector<target_incarnation> dispatcher::ExcludedFor(const owned_job& job,
                                                        const owned_task& task) const {
  std::vector<target_incarnation> excluded = task.refused_by;
  if (job.submission.registry_revision >= newest_announced_revision_) {
    return excluded;
  }
  for (const auto& [target, known] : targets_) {
    if (known.announced_revision > job.submission.registry_revision) {
      excluded.push_back(target);
    }
  }
  return excluded;
}

start_request dispatcher::RequestFor(const owned_job& job, uint32_t index) const {
  const job_submission& submission = job.submission;
  start_request request;
  request.key = {.job = submission.key, .index = index};
  request.task_count = static_cast<uint32_t>(job.tasks.size());
  request.job_digest = submission.digest;
  request.minted_uptime_ms = submission.minted_uptime_ms;
  request.registry_revision = submission.registry_revision;
  if (index < submission.tasks.size()) {  // the specs are freed when the job ends
    request.service = submission.tasks[index].service;
    request.body = submission.tasks[index].body;
    request.timeout = submission.tasks[index].timeout;
  }
  return request;
}

}  // namespace wagtail
