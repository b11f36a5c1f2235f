#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/job_scheduler.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

inline constexpr instant kStart{std::chrono::seconds(1000)};

inline duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// A job scheduler whose orders and answers are recorded, and whose time is that of the test.
struct job_scheduler_fixture : public Utest {
  struct received_answer {
    request_serial serial;
    job_answer answer;
  };
  std::vector<task_order> orders;
  std::vector<session_id> sessions;
  std::vector<uint64_t> withdrawn;
  std::vector<received_answer> answers;
  instant now = kStart;
  job_scheduler scheduler{job_scheduler_options{},
                          [this](const order_batch& batch) {
                            for (const task_order& order : batch.orders) {
                              orders.push_back(order);
                              sessions.push_back(batch.session);
                            }
                          },
                          [this](session_id, uint64_t order) { withdrawn.push_back(order); },
                          [this](request_serial serial, const job_answer& answer) {
                            answers.push_back({serial, answer});
                          },
                          [](const job_log_event&) {}};

  session_report Serving(int64_t free_cpu = 64'000, bool settled = true) {
    return {.load = {.state = target_availability::kServing,
                     .target = "i-1",
                     .service = "lights",
                     .capacity = {.cpu = 64'000, .mem_mb = 1000, .gpu = 0},
                     .free = {.cpu = free_cpu, .mem_mb = 1000, .gpu = 0}},
            .entries = 1,
            .orders_seen = orders.empty() ? 0 : orders.back().order,
            .settled = settled};
  }
  void AddTarget(session_id session, int64_t free_cpu = 64'000) {
    std::string name = "agent-" + std::to_string(session);
    scheduler.OnSessionOpened(session, {.name = name, .address = name, .domain = "zone-1"}, now);
    scheduler.OnReport(session, Serving(free_cpu), now);
  }
  job_submission Job(const std::string& id, uint32_t count = 2, unsigned attempts = 2) {
    return {.id = id,
            .text = std::make_shared<const std::string>("on"),
            .queue = {.name = "q",
                      .service = "lights",
                      .max_attempts = attempts,
                      .stretch = 1.6,
                      .allowance = Ms(60)},
            .steps = {{.count = count,
                       .resources = {.cpu = 6000, .mem_mb = 10, .gpu = 0},
                       .estimate = Ms(100)}},
            .deadline = Ms(1900)};
  }
  void Submit(request_serial serial, job_submission job) {
    scheduler.Submit(serial, std::move(job), now);
    scheduler.Place(now);
  }
  void End(const task_order& order, run_outcome outcome, const std::string& reason = "") {
    scheduler.OnResult({.session = 1,
                        .order = order.order,
                        .task = order.task,
                        .outcome = outcome,
                        .reason = reason,
                        .run = order.run});
    scheduler.Place(now);
  }
};

}  // namespace wagtail::leased
