#include <algorithm>
#include <limits>
#include <vector>

#include "scheduler/job_scheduler.h"

/// @file
/// What the board decides over a job's times: whether it is admitted, and by when it is to be done.

namespace wagtail::leased {
namespace {

/// @return thousandths of a core times microseconds
double WorkOfTask(const job_step& spec) {
  return static_cast<double>(spec.resources.cpu) * static_cast<double>(spec.estimate.count());
}

}  // namespace

std::optional<job_answer> job_scheduler::Refusal(const job& candidate, instant now) const {
  auto refuse = [this](std::string reason, duration wait) {
    return job_answer{
        .outcome = job_outcome::kRefused,
        .reason = std::move(reason),
        .retry_after = std::clamp(wait, options_.shortest_retry, options_.longest_retry)};
  };
  if (jobs_.size() >= options_.most_jobs) {
    return refuse("too_many_jobs", options_.shortest_retry);
  }
  if (targets_.InUse(now) == 0) {
    bool expected =
        without_targets_since_.has_value() && now - *without_targets_since_ < options_.target_grace;
    return expected ? std::nullopt : std::optional(refuse("no_target", options_.shortest_retry));
  }
  for (const step& each : candidate.steps) {
    target_table::need wanted{.service = candidate.submission.queue.service,
                              .resources = each.spec.resources,
                              .estimate = each.spec.estimate};
    if (!targets_.CouldHold(wanted, now)) {
      return refuse("no_target", options_.shortest_retry);
    }
  }
  // It could have been in time, but has waited here for too long already.
  if (!candidate.late_from_start && LatestStart(candidate, now) < now) {
    return refuse("too_old", options_.shortest_retry);
  }
  if (HasRoomNow(candidate, now)) {
    return std::nullopt;
  }
  backlog queue = BacklogBefore(candidate, now);
  if (queue.wait > Scaled(queue.slack, options_.wait_share)) {
    Note("job_refused", candidate.submission.id,
         "expected wait " + std::to_string(ToMilliseconds(queue.wait)) + " ms, slack " +
             std::to_string(ToMilliseconds(queue.slack)) + " ms, tasks waiting " +
             std::to_string(waiting_));
    return refuse("overload", queue.wait);
  }
  return std::nullopt;
}

bool job_scheduler::HasRoomNow(const job& candidate, instant now) const {
  // Tasks that an agent gave back wait for a moment, also where there is room.
  int64_t tasks = waiting_;
  int64_t resources = std::numeric_limits<int64_t>::max();
  for (const step& each : candidate.steps) {
    if (!each.spec.after.empty()) {
      continue;
    }
    tasks += each.spec.count;
    target_table::need wanted{.service = candidate.submission.queue.service,
                              .resources = each.spec.resources,
                              .estimate = each.spec.estimate};
    resources = std::min(resources, targets_.RoomFor(wanted, now));
  }
  return tasks <= resources;
}

double job_scheduler::WaitingWork(const job& owner) {
  double work = 0;
  for (const step& each : owner.steps) {
    auto waiting = std::ranges::count(each.tasks, task_state::kWaiting, &task::state);
    work += static_cast<double>(waiting) * WorkOfTask(each.spec);
  }
  return work;
}

job_scheduler::backlog job_scheduler::BacklogBefore(const job& candidate, instant now) const {
  instant own_start = LatestStart(candidate, now);
  backlog found{.wait = options_.longest_retry, .slack = own_start - now};
  const std::string& service = candidate.submission.queue.service;
  double share = targets_.ShareOfCapacity(service, now);
  if (share <= 0) {
    return found;
  }
  double before = 0;
  for (const auto& [id, other] : jobs_) {
    bool goes_before = other.waiting > 0 && other.submission.queue.service == service &&
                       LatestStart(other, now) <= own_start;
    before += goes_before ? WaitingWork(other) : 0;
  }
  found.wait = duration(static_cast<int64_t>(before / share));
  return found;
}

duration job_scheduler::Longest(const job& candidate) const {
  std::vector<duration> ends(candidate.steps.size());
  duration longest{0};
  for (size_t number = 0; number < candidate.steps.size(); ++number) {
    const step& each = candidate.steps[number];
    duration begin{0};
    for (uint32_t before : each.spec.after) {
      begin = std::max(begin, ends[before]);
    }
    bool over = each.done == each.tasks.size() && !each.tasks.empty();
    ends[number] = begin + (over ? duration::zero() : each.spec.estimate);
    longest = std::max(longest, ends[number]);
  }
  return longest;
}

duration job_scheduler::ShortestRun(const job& candidate, instant now) const {
  return targets_.FastRun(candidate.submission.queue.service, candidate.longest, now)
      .value_or(candidate.longest);
}

instant job_scheduler::Aim(const job& candidate, instant now) const {
  instant start = candidate.objective - ShortestRun(candidate, now) - options_.round_trip;
  if (start >= now || !(candidate.late_from_start || Begun(candidate))) {
    return candidate.objective;
  }
  duration span = candidate.objective - candidate.arrived;
  return std::min(candidate.arrived + Scaled(span, options_.late_limit), candidate.deadline);
}

instant job_scheduler::LatestStart(const job& candidate, instant now) const {
  return Aim(candidate, now) - ShortestRun(candidate, now) - options_.round_trip;
}

bool job_scheduler::Begun(const job& owner) {
  return owner.started || std::ranges::any_of(owner.steps, [](const step& each) {
           return std::ranges::any_of(each.tasks, [](const task& item) {
             return item.state == task_state::kPlaced || item.state == task_state::kUnsettled ||
                    item.state == task_state::kDone;
           });
         });
}

}  // namespace wagtail::leased
