#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <vector>

#include "placement/placement_options.h"
#include "policy_bench/scenario.h"

/// @file
/// Entries and targets over virtual time, as far as a placement policy can tell them apart.

namespace wagtail {

/// What one policy made of one run; counts are of tasks that arrived after the warm-up.
struct model_result {
  std::vector<double> ratios;  ///< response / ideal of each completed task
  uint64_t failed = 0;         ///< tasks that ran and failed or timed out
  uint64_t shed = 0;           ///< tasks that found the entry's queue full
  uint64_t wasted = 0;         ///< refusals and queued tasks handed back
  double work_done = 0;        ///< seconds of work at speed 1 in the window of the faults, done by
                               ///< admitted targets
  double work_possible = 0;    ///< the same for a fluid that wastes no slot
};

/// Runs one policy over given arrivals.
class model {
 public:
  model(const scenario& scenario, std::span<const task_arrival> arrivals,
        placement_options options);
  model_result Run();

 private:
  struct event {
    duration at{};
    uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct entry_state {
    std::unique_ptr<placement> policy;
    std::deque<uint32_t> waiting;
    duration wake_at = duration::max();
  };
  struct target_model {
    model_target shape;
    target_incarnation incarnation;
    uint32_t running = 0;
    std::deque<uint32_t> queued;
    bool refuses = false;  ///< the daemon has learnt that its target is leaving
    bool admitted = true;  ///< as the operators set it
    fault_kind behaviour = fault_kind::kRecover;
    duration accounted{};
  };

  void At(duration when, std::function<void()> action);
  instant now() const { return instant(now_); }
  void Arrive(uint32_t task);
  void Dispatch(uint32_t entry);
  bool Offer(uint32_t entry, uint32_t task);
  void Deliver(uint32_t target, uint32_t task);
  void Start(uint32_t target, uint32_t task);
  void Finish(uint32_t target, uint32_t task, task_outcome outcome, duration run);
  void Refuse(uint32_t target, uint32_t task);
  void Apply(const fault& fault);
  void SetDomainAdmitted(uint32_t domain, bool admitted);
  void Account(target_model& target);
  void MeasurePossibleWork();
  bool IsMeasured(uint32_t task) const { return arrivals_[task].at >= scenario_.warm_up; }
  target_load LoadOf(const target_model& target) const;
  duration Spread();

  const scenario& scenario_;
  std::span<const task_arrival> arrivals_;
  std::vector<std::vector<target_incarnation>> excluded_;
  std::vector<entry_state> entries_;
  std::vector<target_model> targets_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::mt19937_64 random_;
  uint64_t scheduled_ = 0;
  duration now_{};
  duration window_start_{};
  duration window_end_{};
  model_result result_;
};

}  // namespace wagtail
