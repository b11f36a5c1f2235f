#include "ledger/start_ledger.h"

#include <algorithm>
#include <utility>

#include "base/verify.h"

namespace wagtail {

start_ledger::start_ledger(start_ledger_options options, gate_hook gate)
    : options_(std::move(options)), gate_(std::move(gate)), owners_(options_.max_owners) {}

bool start_ledger::IsExpired(entry_incarnation owner, uint64_t minted_uptime_ms,
                             instant now) const {
  auto uptime = owners_.UptimeMs(owner, now);
  if (!uptime.has_value()) {
    return false;
  }
  return *uptime > minted_uptime_ms + static_cast<uint64_t>(ToMilliseconds(options_.id_lifetime));
}

refusal start_ledger::Judge(const start_request& request, instant now) {
  if (stopping_) {
    return refusal::kStopping;
  }
  if (IsExpired(request.key.job.owner, request.minted_uptime_ms, now)) {
    return refusal::kExpired;
  }
  if (request.registry_revision < options_.announced_revision) {
    return refusal::kTooNew;
  }
  auto job = jobs_.find(request.key.job);
  if (job != jobs_.end()) {
    auto task = job->second.tasks.find(request.key.index);
    if (task != job->second.tasks.end()) {
      return task->second.state == task_state::kNeverStarted ? refusal::kFenced
                                                             : refusal::kAlreadyKnown;
    }
    if (job->second.fenced) {
      return refusal::kFenced;
    }
  }
  if (running_ + queue_.size() >= options_.slots + options_.queue_limit) {
    return refusal::kFull;
  }
  if (record_count_ >= options_.max_records) {
    return refusal::kLedgerFull;
  }
  return gate_(now);
}

refusal start_ledger::Accept(start_request request, uint64_t owner_uptime_ms, instant now) {
  if (!owners_.Observe(request.key.job.owner, owner_uptime_ms, now)) {
    ++counters_.refused;
    return refusal::kLedgerFull;
  }
  refusal reason = Judge(request, now);
  if (reason != refusal::kNone) {
    ++counters_.refused;
    return reason;
  }
  job_entry& job = EntryOf(request.key.job, request.minted_uptime_ms);
  job.digest = request.job_digest;
  job.tasks[request.key.index].state = task_state::kQueued;
  ++record_count_;
  queue_.push_back(std::move(request));
  return refusal::kNone;
}

std::optional<start_ledger::next_task> start_ledger::TakeNext(instant now) {
  if (queue_.empty()) {
    return std::nullopt;
  }
  refusal reason = stopping_ ? refusal::kStopping : gate_(now);
  if (reason == refusal::kNone && running_ >= options_.slots) {
    return std::nullopt;
  }
  next_task next{.request = std::move(queue_.front()), .reason = reason};
  queue_.pop_front();
  task_entry& task = jobs_.at(next.request.key.job).tasks.at(next.request.key.index);
  VERIFY(task.state == task_state::kQueued);
  if (reason == refusal::kNone &&
      IsExpired(next.request.key.job.owner, next.request.minted_uptime_ms, now)) {
    next.reason = refusal::kExpired;
  }
  if (next.reason != refusal::kNone) {
    // The record stays as a fence: a late copy of the request must not start the task here after
    // the entry has placed it elsewhere.
    task.state = task_state::kNeverStarted;
    ++counters_.refused;
    return next;
  }
  task.state = task_state::kRunning;
  ++running_;
  ++counters_.started;
  VERIFY(running_ <= options_.slots);
  return next;
}

void start_ledger::Finish(const task_result& result, instant /*now*/) {
  VERIFY(running_ > 0);
  --running_;
  ++counters_.finished;
  auto job = jobs_.find(result.key.job);
  VERIFY(job != jobs_.end());
  auto found = job->second.tasks.find(result.key.index);
  VERIFY(found != job->second.tasks.end());
  task_entry& task = found->second;
  VERIFY(task.state == task_state::kRunning);
  task.state = result.completed ? task_state::kCompleted : task_state::kFailed;
  KeepBody(result.key, task, result.body);
}

bool start_ledger::CanRemember(const job_key& job, uint64_t minted_uptime_ms, instant now) {
  bool has_clock = owners_.Observe(job.owner, minted_uptime_ms, now);
  if (jobs_.contains(job)) {
    return true;
  }
  return has_clock && !IsExpired(job.owner, minted_uptime_ms, now) &&
         record_count_ < options_.max_records;
}

std::vector<task_record> start_ledger::Settle(std::span<const start_request> tasks,
                                              queued_tasks queued, instant now) {
  std::vector<task_record> records;
  records.reserve(tasks.size());
  for (const start_request& asked : tasks) {
    if (!CanRemember(asked.key.job, asked.minted_uptime_ms, now)) {
      records.push_back({.key = asked.key, .state = task_state::kForgotten, .body = {}});
      continue;
    }
    job_entry& job = EntryOf(asked.key.job, asked.minted_uptime_ms);
    auto [task, is_new] = job.tasks.try_emplace(asked.key.index);
    record_count_ += is_new ? 1 : 0;
    if (task->second.state == task_state::kQueued && queued == queued_tasks::kWithdraw) {
      RemoveFromQueue(asked.key);
      task->second.state = task_state::kNeverStarted;
    }
    records.push_back(RecordOf(asked.key, job, task->second));
  }
  return records;
}

fence_report start_ledger::FenceJob(const job_key& key, uint64_t minted_uptime_ms, instant now) {
  // The owner has been up at least since it minted the id, whatever its messages say later.
  if (!CanRemember(key, minted_uptime_ms, now)) {
    return {.forgotten = true, .started = {}};
  }
  job_entry& job = EntryOf(key, minted_uptime_ms);
  if (!job.fenced) {
    job.fenced = true;
    ++record_count_;
    ++counters_.fenced_jobs;
  }
  fence_report report;
  for (auto& [index, task] : job.tasks) {
    task_key of_task{.job = key, .index = index};
    if (task.state == task_state::kQueued) {
      RemoveFromQueue(of_task);
      task.state = task_state::kNeverStarted;
      report.withdrawn.push_back(index);
    }
    if (task.state != task_state::kNeverStarted) {
      report.started.push_back(RecordOf(of_task, job, task));
    }
  }
  return report;
}

void start_ledger::Expire(instant now) {
  while (!jobs_by_age_.empty()) {
    job_key key = jobs_by_age_.front();
    const job_entry& job = jobs_.at(key);
    if (!IsExpired(key.owner, job.minted_uptime_ms, now)) {
      return;
    }
    bool is_active = std::ranges::any_of(job.tasks, [](const auto& task) {
      return task.second.state == task_state::kQueued || task.second.state == task_state::kRunning;
    });
    if (is_active) {
      return;
    }
    for (const auto& [index, task] : job.tasks) {
      body_bytes_ -= task.body.has_value() ? task.body->size() : 0;
    }
    record_count_ -= job.tasks.size() + (job.fenced ? 1 : 0);
    ++counters_.expired_jobs;
    jobs_.erase(key);
    jobs_by_age_.pop_front();
  }
  ForgetBodiesOfDroppedJobs();
}

void start_ledger::ForgetBodiesOfDroppedJobs() {
  while (!bodies_by_age_.empty() && !jobs_.contains(bodies_by_age_.front().job)) {
    bodies_by_age_.pop_front();
  }
}

start_ledger::job_entry& start_ledger::EntryOf(const job_key& job, uint64_t minted_uptime_ms) {
  auto [found, is_new] = jobs_.try_emplace(job);
  if (is_new) {
    found->second.minted_uptime_ms = minted_uptime_ms;
    jobs_by_age_.push_back(job);
  }
  return found->second;
}

task_record start_ledger::RecordOf(const task_key& key, const job_entry& job,
                                   const task_entry& task) const {
  return {.key = key, .state = task.state, .job_digest = job.digest, .body = task.body};
}

void start_ledger::RemoveFromQueue(const task_key& key) {
  auto found = std::ranges::find(queue_, key, &start_request::key);
  VERIFY(found != queue_.end());
  queue_.erase(found);
}

void start_ledger::KeepBody(const task_key& key, task_entry& task, std::string body) {
  body_bytes_ += body.size();
  task.body = std::move(body);
  bodies_by_age_.push_back(key);
  DropOldestBodies();
}

void start_ledger::DropOldestBodies() {
  while (body_bytes_ > options_.max_body_bytes && !bodies_by_age_.empty()) {
    task_key oldest = bodies_by_age_.front();
    bodies_by_age_.pop_front();
    auto job = jobs_.find(oldest.job);
    if (job == jobs_.end()) {
      continue;
    }
    std::optional<std::string>& body = job->second.tasks.at(oldest.index).body;
    body_bytes_ -= body.has_value() ? body->size() : 0;
    body.reset();
  }
}

}  // namespace wagtail
