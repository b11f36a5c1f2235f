#include "dispatch/dispatcher.h"

#include <algorithm>
#include <map>
#include <utility>

#include "admission/admission_error.h"
#include "base/verify.h"

namespace wagtail {

namespace {

bool IsHandedOver(task_progress progress) {
  return progress == task_progress::kSent || progress == task_progress::kUnsettled;
}

bool IsKnownStarted(const owned_task& task) {
  return task.progress == task_progress::kCompleted || task.progress == task_progress::kFailed;
}

// A daemon that gave one of these reasons will give it again until it next reports to the entry.
bool SuspendsTarget(refusal reason) {
  return reason == refusal::kStale || reason == refusal::kLeaving || reason == refusal::kStopping;
}

// Tasks were handed over, and none is known to have started: news of them may yet prove that the
// job did not run.
bool IsUndecided(const owned_job& job) {
  return job.handed_over > 0 && std::ranges::none_of(job.tasks, IsKnownStarted);
}

bool ExcludesTarget(refusal reason) { return reason != refusal::kFull; }

}  // namespace

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
  auto life_ms = static_cast<uint64_t>(ToMilliseconds(options_.jobs.id_lifetime));
  if (uptime_ms > submission.minted_uptime_ms + life_ms) {
    return submit_outcome::kExpired;
  }
  std::optional<std::string> impossible = WhyImpossible(submission);
  job_key key = submission.key;
  instant deadline = submission.deadline;
  absl::Status load = waiting_.CheckLoad(submission, now);
  owned_job* job = jobs_.Insert(std::move(submission), uptime_ms);
  if (job == nullptr) {
    // Nothing remembers this id, so a later submission of it is judged anew: still not run.
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
  Pump(now);
  return submit_outcome::kAccepted;
}

std::optional<std::string> dispatcher::WhyImpossible(const job_submission& submission) const {
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
  Pump(now);
  return true;
}

void dispatcher::AddTarget(const target_profile& profile, uint64_t announced_revision,
                           instant now) {
  known_target& known = targets_[profile.incarnation];
  known.service = profile.service;
  known.announced_revision = announced_revision;
  newest_announcement_ = std::max(newest_announcement_, announced_revision);
  placement_->AddTarget(profile, now);
  Pump(now);
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
  Pump(now);
}

void dispatcher::SetAdmitted(const target_incarnation& target, bool admitted, instant now) {
  if (!targets_.contains(target)) {
    return;
  }
  placement_->SetAdmitted(target, admitted, now);
  Pump(now);
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
  Pump(now);
}

std::vector<start_request> dispatcher::Unsettled(const target_incarnation& target) const {
  std::vector<start_request> requests;
  auto found = targets_.find(target);
  if (found == targets_.end()) {
    return requests;
  }
  for (const task_key& key : found->second.handed_over) {
    owned_job* job = const_cast<job_table&>(jobs_).Find(key.job);
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
  Pump(now);
}

void dispatcher::OnResult(const target_incarnation& target, task_result result,
                          const target_load& load, instant now) {
  auto found = targets_.find(target);
  if (found == targets_.end() || !found->second.handed_over.contains(result.key)) {
    return;  // a duplicate: the first one stands
  }
  task_outcome outcome = result.completed   ? task_outcome::kCompleted
                         : result.timed_out ? task_outcome::kTimedOut
                                            : task_outcome::kFailed;
  placement_->OnResult(target, outcome, result.run_time, load, now);
  owned_job& job = *jobs_.Find(result.key.job);
  Release(target, job, result.key);
  job.longest_in_stage = std::max(job.longest_in_stage, result.run_time);
  TaskEnded(job, result.key, result.completed, std::move(result.body),
            result.timed_out ? "task_timed_out" : "task_failed");
  Pump(now);
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
  Pump(now);
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
  VERIFY(IsHandedOver(task.progress) || job.has_ended());
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
  task.may_retry = false;
  task.progress = task_progress::kWaiting;
}

void dispatcher::TaskEnded(owned_job& job, const task_key& key, bool completed, std::string body,
                           std::string_view reason) {
  owned_task& task = job.tasks.at(key.index);
  VERIFY(!IsKnownStarted(task));
  task.progress = completed ? task_progress::kCompleted : task_progress::kFailed;
  if (job.has_ended()) {
    return;
  }
  if (!completed) {
    FailJob(job, reason);
    return;
  }
  task.body = std::move(body);
  VERIFY(job.open_in_stage > 0);
  --job.open_in_stage;
  if (job.open_in_stage > 0) {
    return;
  }
  ++job.stage;
  job.run_time += std::exchange(job.longest_in_stage, duration::zero());
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
      ++job.open_in_stage;
    }
  }
  if (job.open_in_stage == 0) {
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

void dispatcher::Pump(instant now) { waiting_.OfferAll(now); }

bool dispatcher::HasPlaceBeyond(std::string_view service,
                                const std::vector<target_incarnation>& excluded) const {
  return std::ranges::any_of(targets_, [&](const auto& known) {
    const auto& [target, of_target] = known;
    return of_target.service == service && std::ranges::find(excluded, target) == excluded.end();
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
  if (is_retry && !task.may_retry && !retries_.TryRetry(now)) {
    return offer_result::kPassOver;
  }
  task.may_retry = true;
  std::vector<target_incarnation> excluded = ExcludedFor(job, task);
  std::optional<target_incarnation> target = placement_->Pick(service, requirements, excluded, now);
  if (!target.has_value() && excluded.empty()) {
    return offer_result::kNoTarget;
  }
  if (!target.has_value() && (HasPlaceBeyond(service, excluded) || IsUndecided(job))) {
    return offer_result::kPassOver;
  }
  if (!target.has_value()) {
    FailJob(job, "no_target_left", options_.overload_retry_after);
    return offer_result::kEnded;
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
  if (job.submission.registry_revision >= newest_announcement_) {
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
  if (index < submission.tasks.size()) {  // bodies are gone once the job has ended
    request.service = submission.tasks[index].service;
    request.body = submission.tasks[index].body;
    request.timeout = submission.tasks[index].timeout;
  }
  return request;
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
  GiveAnswer(job, std::move(answer));
}

void dispatcher::FailJob(owned_job& job, std::string_view reason, duration retry_after) {
  VERIFY(!job.has_ended());
  job_answer answer{.reason = std::string(reason), .retry_after = retry_after, .results = {}};
  answer.started = static_cast<uint32_t>(std::ranges::count_if(job.tasks, IsKnownStarted));
  bool may_have_run = answer.started > 0 || job.handed_over > 0;
  answer.outcome = may_have_run ? job_outcome::kFailedMayHaveRun : job_outcome::kFailedNotRun;
  ++(may_have_run ? counters_.jobs_failed_may_have_run : counters_.jobs_failed_not_run);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    owned_task& task = job.tasks[index];
    if (task.progress == task_progress::kSent) {
      actions_.emplace_back(withdraw_action{task.target, RequestFor(job, index)});
    } else if (!IsHandedOver(task.progress) && !IsKnownStarted(task)) {
      if (task.progress == task_progress::kWaiting) {
        waiting_.Forget(job.submission.tasks[index].service);
      }
      task.progress = task_progress::kDropped;
    }
    task.body.clear();
  }
  GiveAnswer(job, std::move(answer));
}

void dispatcher::GiveAnswer(owned_job& job, job_answer answer) {
  job_key key = job.submission.key;
  actions_.emplace_back(answer_action{key, std::move(job.waiting), answer});
  job.waiting.clear();
  jobs_.SetAnswer(key, std::move(answer));
}

void dispatcher::Tick(uint64_t uptime_ms, instant now) {
  EndOverdue(now);
  GiveUpUnsettled(now);
  jobs_.Expire(uptime_ms);
  Pump(now);
}

void dispatcher::EndOverdue(instant now) {
  while (!deadlines_.empty() && deadlines_.top().at <= now) {
    owned_job* job = jobs_.Find(deadlines_.top().job);
    deadlines_.pop();
    if (job != nullptr && !job->has_ended()) {
      FailJob(*job, "deadline_exceeded", options_.overload_retry_after);
    }
  }
}

void dispatcher::GiveUpUnsettled(instant now) {
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
    bool has_started = job.handed_over > 0 || std::ranges::any_of(job.tasks, IsKnownStarted);
    if (!has_started) {
      idle.push_back(&job);
    }
  });
  for (owned_job* job : idle) {
    FailJob(*job, "stopping", options_.overload_retry_after);
  }
  Pump(now);
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
