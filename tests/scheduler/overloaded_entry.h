#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/job_scheduler.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

inline constexpr instant kStart{std::chrono::seconds(1000)};
inline constexpr int64_t kTargetCpu = 64'000;
inline constexpr duration kRunTime = std::chrono::milliseconds(100);
inline constexpr duration kStep = std::chrono::milliseconds(10);

inline duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// One entry with targets that run each task for its estimate. A full target is filled by another
/// entry: it has no free resources.
class overloaded_entry {
 public:
  explicit overloaded_entry(job_scheduler_options options = {})
      : scheduler(
            std::move(options), [this](const order_batch& batch) { OnOrders(batch); },
            [this](session_id, uint64_t order) { running_.erase(order); },
            [this](request_serial serial, const job_answer& answer) {
              CHECK(answers.emplace(serial, answer).second);  // one answer for each request
            },
            [this](const job_log_event& event) {
              events[std::string(event.fact)].insert(std::string(event.job));
              if (!event.queue.empty()) {
                queues[std::string(event.job)] = event.queue;
              }
            }) {}

  /// @param priorities of the queues, each named after its priority
  void SetQueues(const std::vector<unsigned>& priorities) {
    operating_plan plan;
    for (unsigned priority : priorities) {
      plan.queues.push_back(
          {.name = std::to_string(priority), .service = "lights", .priority = priority});
    }
    scheduler.SetPlan(plan);
  }

  void AddTarget(session_id session) {
    std::string name = "agent-" + std::to_string(session);
    scheduler.OnSessionOpened(session, {.name = name, .address = name, .domain = "zone-1"}, now);
    targets_.insert(session);
    Report(session);
  }

  void LoseTarget(session_id session) {
    targets_.erase(session);
    std::erase_if(running_, [&](const auto& item) { return item.second.session == session; });
    scheduler.OnSessionClosed(session, now);
  }

  void SetFull(bool full) {
    full_ = full;
    for (session_id session : targets_) {
      Report(session);
    }
  }

  /// Submits a job that is in time if it starts within 114 ms, and useful if within 504 ms.
  void Submit(request_serial serial, unsigned priority, const std::string& id) {
    scheduler.Submit(serial,
                     {.id = id,
                      .text = std::make_shared<const std::string>("on"),
                      .queue = {.name = std::to_string(priority),
                                .service = "lights",
                                .priority = priority,
                                .max_attempts = 2,
                                .stretch = 1.6,
                                .allowance = Ms(60)},
                      .steps = {{.count = 2,
                                 .resources = {.cpu = 6000, .mem_mb = 10, .gpu = 0},
                                 .estimate = kRunTime}},
                      .deadline = Ms(1900)},
                     now);
    scheduler.Place(now);
  }

  /// Submits jobs with the ids PRIORITY-NUMBER and serials from `first` on.
  void SubmitMany(request_serial first, unsigned count, unsigned priority) {
    for (unsigned number = 0; number < count; ++number) {
      Submit(first + number, priority,
             std::to_string(priority) + "-" + std::to_string(first + number));
    }
  }

  void RunFor(duration length) {
    for (instant end = now + length; now < end;) {
      now += kStep;
      EndRuns();
      for (session_id session : targets_) {
        Report(session);
      }
      scheduler.Tick(now);
      scheduler.Place(now);
    }
  }

  size_t CountOf(job_outcome outcome, std::string_view reason = "") const {
    return static_cast<size_t>(std::ranges::count_if(answers, [&](const auto& item) {
      return item.second.outcome == outcome && (reason.empty() || item.second.reason == reason);
    }));
  }

  instant now = kStart;
  std::map<request_serial, job_answer> answers;
  std::map<std::string, std::multiset<std::string>> events;  ///< jobs by fact
  std::map<std::string, std::string> queues;                 ///< by job, as events tell them
  std::vector<std::string> ordered;                          ///< job of each order
  job_scheduler scheduler;

 private:
  struct run {
    session_id session = 0;
    task_order order;
    instant ends{};
  };

  void OnOrders(const order_batch& batch) {
    for (const task_order& order : batch.orders) {
      running_[order.order] = {
          .session = batch.session, .order = order, .ends = now + order.estimate};
      ordered.push_back(batch.job);
      last_order_ = std::max(last_order_, order.order);
    }
  }

  void EndRuns() {
    std::map<uint64_t, run> ended;
    for (const auto& [number, item] : running_) {
      if (item.ends <= now) {
        ended.emplace(number, item);
      }
    }
    for (const auto& [number, item] : ended) {
      running_.erase(number);
      scheduler.OnResult({.session = item.session,
                          .order = number,
                          .task = item.order.task,
                          .outcome = run_outcome::kDone,
                          .run = item.order.run});
    }
  }

  void Report(session_id session) {
    int64_t free_cpu = kTargetCpu;
    for (const auto& [number, item] : running_) {
      free_cpu -= item.session == session ? item.order.resources.cpu : 0;
    }
    scheduler.OnReport(session,
                       {.load = {.state = target_availability::kServing,
                                 .target = "i-" + std::to_string(session),
                                 .service = "lights",
                                 .capacity = {.cpu = kTargetCpu, .mem_mb = 10'000, .gpu = 0},
                                 .free = {.cpu = full_ ? 0 : free_cpu, .mem_mb = 9000, .gpu = 0}},
                        .entries = 1,
                        .orders_seen = last_order_,
                        .settled = true},
                       now);
  }

  std::set<session_id> targets_;
  std::map<uint64_t, run> running_;
  uint64_t last_order_ = 0;
  bool full_ = false;
};

}  // namespace wagtail::leased
