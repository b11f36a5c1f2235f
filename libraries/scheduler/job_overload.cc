#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/job_scheduler.h"

/// @file
/// Jobs of services that the overload policy decides about, in job_scheduler.

namespace wagtail::leased {

void job_scheduler::SetPlan(const operating_plan& plan) {
  targets_.SetPlan(plan);
  std::map<std::string, std::set<unsigned>, std::less<>> priorities;
  for (const queue_plan& queue : plan.queues) {
    priorities[queue.service].insert(queue.priority);
  }
  prioritized_services_.clear();
  for (const auto& [service, levels] : priorities) {
    if (levels.size() > 1) {
      prioritized_services_.emplace(service, *levels.begin());
    }
  }
}

bool job_scheduler::IsPrioritized(const job& candidate) const {
  return prioritized_services_.contains(candidate.submission.queue.service);
}

bool job_scheduler::LeavesReserve(const job& owner) const {
  auto service = prioritized_services_.find(owner.submission.queue.service);
  return service != prioritized_services_.end() &&
         owner.submission.queue.priority > service->second && !HasBegun(owner);
}

instant job_scheduler::UsefulUntil(const job& candidate) const {
  duration span = candidate.objective - candidate.arrived;
  return std::min(candidate.arrived + Scaled(span, options_.late_objective_factor),
                  candidate.deadline);
}

instant job_scheduler::LastStart(const job& owner, instant now) const {
  duration run = PredictedRunTime(owner, now);
  instant end = std::min(UsefulUntil(owner) - Scaled(run, options_.late_run_factor),
                         owner.deadline - Scaled(run, options_.max_run_factor));
  return std::max(end - options_.round_trip, LatestStart(owner, now));
}

waiting_job job_scheduler::WaitingJob(const job& owner, instant now) const {
  queue_history::queue_means queue = history_.MeansOf(owner.submission.queue.name);
  return {.id = owner.submission.id,
          .priority = owner.submission.queue.priority,
          .arrived = owner.arrived,
          .latest_start = LatestStart(owner, now),
          .last_start = LastStart(owner, now),
          .work = WaitingWork(owner),
          .queue_work = queue.work,
          .queue_served = queue.served,
          .accepted = owner.is_accepted,
          .begun = HasBegun(owner)};
}

overload_capacity job_scheduler::CapacityFor(std::string_view service, instant now) const {
  double total = targets_.CapacityShare(service, now);
  double spare = total - history_.RateOf(std::string(service), now);
  return {.total = total, .spare = std::max(spare, options_.min_spare_share * total)};
}

std::vector<job_scheduler::planned_job> job_scheduler::PlanJobs(std::string_view service,
                                                                instant now) {
  std::vector<job*> owners;
  std::vector<waiting_job> waiting;
  for (auto& [id, owner] : jobs_) {
    if (owner.waiting > 0 && owner.submission.queue.service == service) {
      owners.push_back(&owner);
      waiting.push_back(WaitingJob(owner, now));
    }
  }
  std::vector<planned_job> planned;
  std::ranges::transform(options_.overload(waiting, CapacityFor(service, now), now),
                         std::back_inserter(planned), [&](const job_decision& decision) {
                           return planned_job{.owner = owners[decision.index],
                                              .verdict = decision.verdict,
                                              .expected_wait = decision.expected_wait};
                         });
  return planned;
}

void job_scheduler::LogDecision(std::string_view fact, const planned_job& planned,
                                std::string detail) const {
  const job_submission& submission = planned.owner->submission;
  log_({.fact = fact,
        .job = submission.id,
        .queue = submission.queue.name,
        .detail = "expected wait " + std::to_string(ToMilliseconds(planned.expected_wait)) + " ms" +
                  std::move(detail)});
}

void job_scheduler::SetDelayed(const planned_job& planned) {
  bool delayed = planned.verdict == service_class::kDelayed;
  if (delayed && !std::exchange(planned.owner->is_delay_reported, true)) {
    LogDecision(kJobDelayed, planned, "");
  }
  planned.owner->is_delayed = delayed;
}

void job_scheduler::AdmitByPolicy(const std::string& id, bool must_wait, instant now) {
  const job& candidate = jobs_.at(id);
  double work = WaitingWork(candidate);
  std::string service = candidate.submission.queue.service;  // the job may be refused below
  history_.OnArrived(candidate.submission.queue.name, work);
  if (must_wait) {
    RefuseUnservable(service, now);
  }
  auto admitted = jobs_.find(id);
  if (admitted != jobs_.end()) {
    admitted->second.is_accepted = true;
    if (!admitted->second.is_delayed) {
      history_.OnAdmitted(service, work, now);
    }
  }
}

void job_scheduler::RefuseUnservable(const std::string& service, instant now) {
  std::vector<planned_job> unservable;
  bool awaits_targets = AwaitsTargets(now);
  for (const planned_job& planned : PlanJobs(service, now)) {
    if (awaits_targets && now <= LastStart(*planned.owner, now)) {
      continue;  // the capacity is not known until agents reconnect
    }
    SetDelayed(planned);
    if (planned.verdict == service_class::kRefused) {
      unservable.push_back(planned);
    }
  }
  duration backlog = unservable.empty() ? duration::zero() : Backlog(service, now);
  for (const planned_job& planned : unservable) {
    job& owner = *planned.owner;
    bool is_new = !owner.is_accepted;
    if (!is_new && PlaceLate(owner, now)) {
      continue;
    }
    LogDecision(is_new ? "job_refused" : kJobDisplaced, planned,
                ", tasks waiting " + std::to_string(waiting_));
    Answer(std::string(owner.submission.id),
           RefusalFor(owner, is_new ? "overload" : "displaced", backlog));
  }
}

duration job_scheduler::Backlog(std::string_view service, instant now) const {
  double work = 0;
  for (const auto& [id, owner] : jobs_) {
    work += owner.submission.queue.service == service ? WaitingWork(owner) : 0;
  }
  double capacity = targets_.CapacityShare(service, now);
  return capacity > 0 ? duration(static_cast<int64_t>(work / capacity)) : options_.max_retry_after;
}

job_answer job_scheduler::RefusalFor(const job& candidate, std::string reason,
                                     duration backlog) const {
  // Callers refused at the same time return one after the other, over as long as the backlog lasts.
  // They are told whole seconds, so that a spread of less than a second would have no effect.
  using std::chrono::seconds;
  duration longest =
      std::min(2 * std::max(backlog, options_.min_retry_after), options_.max_retry_after);
  int64_t latest = std::chrono::ceil<seconds>(longest).count();
  int64_t earliest = std::max<int64_t>(latest / 2, 1);
  size_t step = std::hash<std::string>{}(candidate.submission.id) %
                static_cast<size_t>(latest - earliest + 1);
  return {.outcome = job_outcome::kRefused,
          .reason = std::move(reason),
          .retry_after = seconds(earliest + static_cast<int64_t>(step))};
}

void job_scheduler::PlaceByPolicy(instant now) {
  for (const auto& [service, highest] : prioritized_services_) {
    bool capacity_left = true;
    for (const planned_job& planned : PlanJobs(service, now)) {
      if (capacity_left) {
        PlaceJob(*planned.owner, now, capacity_left);
      }
      if (planned.owner->waiting > 0) {
        unsigned priority = planned.owner->submission.queue.priority;
        auto known = waiting_priorities_.emplace(service, priority).first;
        known->second = std::min(known->second, priority);
      }
    }
  }
}

waiting_priority job_scheduler::WaitingPriority(session_id session) const {
  std::string_view service = targets_.Service(session);
  if (!prioritized_services_.contains(service)) {
    return {};
  }
  auto known = waiting_priorities_.find(service);
  return {
      .told = true,
      .highest = known == waiting_priorities_.end() ? std::nullopt : std::optional(known->second)};
}

}  // namespace wagtail::leased
