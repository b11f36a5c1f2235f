#include "scheduler/job_scheduler.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "leases/target_clock.h"

namespace wagtail::leased {

job_scheduler::job_scheduler(job_scheduler_options options, order_hook order,
                             withdraw_hook withdraw, answer_hook answer, log_hook log)
    : options_(std::move(options)),
      order_(std::move(order)),
      withdraw_(std::move(withdraw)),
      answer_(std::move(answer)),
      log_(std::move(log)),
      targets_(options_.targets),
      crashes_(options_.crashes),
      history_(options_.history) {}

size_t job_scheduler::MemoryBytes(std::span<const job_step> steps, size_t text_bytes) {
  // Of the allocator, for each block of memory.
  constexpr size_t kBlockBytes = 16;
  // The addresses of a task's agent and of those that it avoids.
  constexpr size_t kAddressBytes = 64;
  constexpr size_t kTaskBytes = sizeof(task) + kAddressBytes;
  // A step is held twice while the job is submitted.
  constexpr size_t kStepBytes = sizeof(step) + sizeof(job_step) + 2 * kBlockBytes;
  size_t bytes = sizeof(job) + text_bytes + kBlockBytes;
  for (const job_step& each : steps) {
    bytes += kStepBytes + each.count * kTaskBytes + each.after.capacity() * sizeof(uint32_t);
  }
  return bytes;
}

void job_scheduler::Submit(request_serial serial, job_submission submission, instant now) {
  auto known = jobs_.find(submission.id);
  if (known != jobs_.end()) {
    known->second.requests.push_back(serial);
    requests_[serial] = submission.id;
    LogEvent("job_joined", submission.id, "");
    return;
  }
  job added;
  added.arrived = now - submission.queued;
  added.deadline = added.arrived + submission.deadline - options_.answer_margin;
  added.submission = std::move(submission);
  added.steps.reserve(added.submission.steps.size());
  for (job_step& spec : std::exchange(added.submission.steps, {})) {
    std::vector<task> tasks(spec.count);
    added.steps.push_back({.spec = std::move(spec), .tasks = std::move(tasks)});
  }
  added.critical_path = CriticalPath(added);
  const queue_plan& queue = added.submission.queue;
  added.objective = added.arrived + Scaled(added.critical_path, queue.stretch) + queue.allowance;
  added.late_on_arrival = LatestStart(added, now) < added.arrived;
  if (crashes_.HasExhaustedTask(added.submission.id)) {
    answer_(serial, {.outcome = job_outcome::kFailed, .reason = "crashed_targets"});
    return;
  }
  std::optional<job_answer> refusal = Refusal(added, now);
  bool is_prioritized = IsPrioritized(added);
  bool must_wait = targets_.InUse(now) > 0 && !CanStartNow(added, now);
  if (!refusal.has_value() && must_wait && !is_prioritized) {
    refusal = OverloadRefusal(added, now);
  }
  if (refusal.has_value()) {
    answer_(serial, *refusal);
    return;
  }
  added.requests.push_back(serial);
  std::string id = added.submission.id;
  requests_[serial] = id;
  job& owner = jobs_.emplace(id, std::move(added)).first->second;
  UnblockSteps(owner);
  if (is_prioritized) {
    AdmitByPolicy(id, must_wait, now);
  }
}

void job_scheduler::SetState(job& owner, task& item, task_state state) {
  auto count = [&](task_state which, int step) {
    if (which == task_state::kWaiting) {
      owner.waiting += step;
      waiting_ += step;
    } else if (which == task_state::kUnsettled) {
      unsettled_ += step;
    }
  };
  if (std::exchange(item.is_suspect_order, false) && --suspects_at_[item.agent] == 0) {
    suspects_at_.erase(item.agent);
  }
  count(item.state, -1);
  item.state = state;
  count(state, 1);
}

void job_scheduler::UnblockSteps(job& owner) {
  for (step& each : owner.steps) {
    bool ready = std::ranges::all_of(each.spec.after, [&](uint32_t before) {
      return owner.steps[before].done == owner.steps[before].tasks.size();
    });
    if (!ready) {
      continue;
    }
    for (task& item : each.tasks) {
      if (item.state == task_state::kBlocked) {
        SetState(owner, item, task_state::kWaiting);
      }
    }
  }
}

void job_scheduler::CallerGone(request_serial serial) {
  auto request = requests_.find(serial);
  if (request == requests_.end()) {
    return;
  }
  std::string id = request->second;
  requests_.erase(request);
  job& owner = jobs_.at(id);
  std::erase(owner.requests, serial);
  if (owner.requests.empty()) {
    LogEvent("caller_gone", id, "");
    Answer(id, {.outcome = job_outcome::kCancelled, .reason = "caller_gone"});
  }
}

bool job_scheduler::Cancel(std::string_view id) {
  std::string key(id);
  if (!jobs_.contains(key)) {
    return false;
  }
  Answer(key, {.outcome = job_outcome::kCancelled, .reason = "cancelled"});
  return true;
}

void job_scheduler::OnSessionOpened(session_id session, const agent_identity& agent, instant now) {
  targets_.OnSessionOpened(session, agent, now);
}

void job_scheduler::OnReport(session_id session, const session_report& report, instant now) {
  targets_.OnReport(session, report, now);
  const agent_identity* agent = targets_.Agent(session);
  if (report.settled && agent != nullptr) {
    SettleTasks(agent->address, now, true);
  }
}

void job_scheduler::SettleTasks(const std::string& address, instant now, bool at_once) {
  if (unsettled_ == 0) {
    return;
  }
  for (auto& [id, owner] : jobs_) {
    for (step& each : owner.steps) {
      for (task& item : each.tasks) {
        bool over = item.state == task_state::kUnsettled &&
                    ((at_once && item.agent == address) || item.stopped_by <= now);
        if (over) {
          SetState(owner, item, task_state::kWaiting);
          LogEvent("task_settled", id, item.agent);
        }
      }
    }
  }
}

job_scheduler::task& job_scheduler::TaskAt(job& owner, const order_place& place) {
  return owner.steps[place.step].tasks[place.index];
}

void job_scheduler::OnResult(const run_result& result) {
  auto found = orders_.find(result.order);
  if (found == orders_.end()) {
    return;
  }
  order_place place = found->second;
  orders_.erase(found);
  auto owner_entry = jobs_.find(place.job);
  if (owner_entry == jobs_.end()) {
    return;
  }
  job& owner = owner_entry->second;
  task& item = TaskAt(owner, place);
  item.next_run = std::max(item.next_run, result.run + 1);
  if (result.outcome != run_outcome::kNotStarted) {
    owner.started = true;  // a voided start may still be carried out later
  }
  switch (result.outcome) {
    case run_outcome::kDone:
      SetState(owner, item, task_state::kDone);
      ++owner.steps[place.step].done;
      owner.critical_path = CriticalPath(owner);
      if (IsComplete(owner)) {
        Answer(place.job, {.outcome = job_outcome::kCompleted});
      } else {
        UnblockSteps(owner);
      }
      return;
    case run_outcome::kFailed:
      OnTaskFailed(owner, item, item.agent);
      return;
    case run_outcome::kNotStarted:
    case run_outcome::kVoided:
      item.next_run = result.run == 0 ? item.next_run : result.run;
      if (result.reason != "no_room") {
        item.excluded.push_back(item.agent);  // the target is stalled or its agent is failing
      }
      SetState(owner, item, task_state::kWaiting);
      return;
    case run_outcome::kStopped:
    case run_outcome::kLost:
      item.excluded.push_back(item.agent);
      SetState(owner, item, task_state::kWaiting);
      return;
  }
}

void job_scheduler::OnTaskCrashed(const task_crash& crash, instant now) {
  crash_ledger::record known = crashes_.OnCrash(crash, now);
  auto owner = jobs_.find(crash.task.job);
  if (owner == jobs_.end()) {
    return;
  }
  LogEvent("task_crashed", crash.task.job,
           "task " + std::to_string(crash.task.step) + "." + std::to_string(crash.task.index) +
               ": " + std::to_string(known.crashes) + " crashes, suspected of " +
               std::to_string(known.suspected));
  if (crashes_.HasExhaustedTask(crash.task.job)) {
    owner->second.started = true;
    Answer(crash.task.job, {.outcome = job_outcome::kFailed, .reason = "crashed_targets"});
  }
}

void job_scheduler::OnTaskFailed(job& owner, task& failed, const std::string& agent) {
  ++failed.failures;
  failed.excluded.push_back(agent);
  SetState(owner, failed, task_state::kWaiting);
  if (failed.failures >= owner.submission.queue.max_attempts) {
    std::string id = owner.submission.id;
    Answer(id, {.outcome = job_outcome::kFailed, .reason = "attempts_used"});
  }
}

bool job_scheduler::IsComplete(const job& owner) {
  return std::ranges::all_of(owner.steps,
                             [](const step& each) { return each.done == each.tasks.size(); });
}

void job_scheduler::OnSessionClosed(session_id session, instant now) {
  const agent_identity* agent = targets_.Agent(session);
  if (agent == nullptr) {
    return;
  }
  instant last_report = targets_.LastReport(session).value_or(now);
  instant stopped_by = last_report + options_.session_lease +
                       Scaled(options_.lease, 1 + target_clock::kMaxDrift) + options_.lease_slack;
  targets_.OnSessionClosed(session);
  for (auto& [id, owner] : jobs_) {
    for (step& each : owner.steps) {
      for (task& item : each.tasks) {
        if (item.state != task_state::kPlaced || item.session != session) {
          continue;
        }
        orders_.erase(item.order);
        SetState(owner, item, task_state::kUnsettled);
        item.stopped_by = stopped_by;
        ++item.next_run;
        owner.started = true;
        LogEvent("task_unsettled", id, item.agent);
      }
    }
  }
}

std::vector<session_id> job_scheduler::UnresponsiveSessions(instant now) {
  return targets_.Unresponsive(options_.heartbeat_timeout, now);
}

void job_scheduler::Tick(instant now) {
  if (targets_.InUse(now) > 0) {
    no_target_since_.reset();
  } else if (!no_target_since_.has_value()) {
    no_target_since_ = now;
  }
  SettleTasks("", now, false);
  std::vector<std::pair<std::string, job_answer>> ended;
  for (auto& [id, owner] : jobs_) {
    bool not_begun = !HasBegun(owner);
    if (now >= owner.deadline) {
      ended.emplace_back(
          id, not_begun ? job_answer{.outcome = job_outcome::kRefused,
                                     .reason = "deadline",
                                     .retry_after = options_.min_retry_after}
                        : job_answer{.outcome = job_outcome::kAbandoned, .reason = "deadline"});
    } else if (not_begun && !IsPrioritized(owner) && now > LatestStart(owner, now) &&
               !PlaceLate(owner, now)) {
      ended.emplace_back(id, job_answer{.outcome = job_outcome::kRefused,
                                        .reason = "objective_out_of_reach",
                                        .retry_after = options_.min_retry_after});
    }
  }
  for (const auto& [id, answer] : ended) {
    Answer(id, answer);
  }
  for (const auto& [service, highest] : prioritized_services_) {
    RefuseUnservable(service, now);
  }
}

void job_scheduler::AbandonAll(std::string_view reason) {
  while (!jobs_.empty()) {
    GiveUp(std::string(jobs_.begin()->first), reason);
  }
}

void job_scheduler::GiveUpLargeJob(instant now) {
  auto may_give_way = [&](const job& owner) {
    const auto& memory = owner.submission.memory;
    return memory != nullptr && memory->bytes() > kSmallReservationBytes &&
           now - owner.arrived > options_.large_job_grace;
  };
  auto longest = jobs_.end();
  for (auto each = jobs_.begin(); each != jobs_.end(); ++each) {
    bool is_longer = longest == jobs_.end() || each->second.arrived < longest->second.arrived;
    if (is_longer && may_give_way(each->second)) {
      longest = each;
    }
  }
  if (longest != jobs_.end()) {
    LogEvent("job_gave_way", longest->first,
             "in progress for " + std::to_string(ToMilliseconds(now - longest->second.arrived)) +
                 " ms, memory " + std::to_string(longest->second.submission.memory->bytes()));
    GiveUp(std::string(longest->first), "gave_way");
  }
}

void job_scheduler::GiveUp(const std::string& id, std::string_view reason) {
  job_outcome outcome = HasBegun(jobs_.at(id)) ? job_outcome::kAbandoned : job_outcome::kRefused;
  Answer(
      id,
      {.outcome = outcome, .reason = std::string(reason), .retry_after = options_.min_retry_after});
}

void job_scheduler::WithdrawAll(job& owner) {
  for (step& each : owner.steps) {
    for (task& item : each.tasks) {
      if (item.state == task_state::kPlaced) {
        orders_.erase(item.order);
        withdraw_(item.session, item.order);
      }
      // Tasks that will not run are no longer counted as waiting or unsettled.
      SetState(owner, item, task_state::kBlocked);
    }
  }
}

void job_scheduler::Answer(const std::string& id, const job_answer& answer) {
  auto found = jobs_.find(id);
  job owner = std::move(found->second);
  jobs_.erase(found);
  WithdrawAll(owner);
  if (IsPrioritized(owner)) {
    history_.OnEnded(owner.submission.queue.name, answer.outcome != job_outcome::kRefused);
  }
  for (request_serial serial : owner.requests) {
    requests_.erase(serial);
    answer_(serial, answer);
  }
}

void job_scheduler::LogEvent(std::string_view fact, std::string_view job,
                             std::string detail) const {
  log_({.fact = fact, .job = job, .detail = std::move(detail)});
}

}  // namespace wagtail::leased
