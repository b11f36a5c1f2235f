#pragma once

#include <string>
#include <vector>

#include "placement/target_pool.h"

/// @file
/// A pool of identical targets with a virtual clock, for the tests of placement.

namespace wagtail {

inline target_incarnation TargetNamed(size_t number) {
  return {"target-" + std::to_string(number), 1};
}

struct placement_fixture {
  explicit placement_fixture(size_t targets, const placement_options& options = {})
      : pool(options) {
    for (size_t target = 0; target < targets; ++target) {
      Add(target);
    }
  }

  void Add(size_t target) {
    target_profile profile;
    profile.incarnation = TargetNamed(target);
    profile.service = "lights";
    profile.slots = kSlots;
    pool.AddTarget(profile, now);
  }

  std::optional<target_incarnation> Send(std::span<const target_incarnation> excluded = {}) {
    auto picked = pool.Pick("lights", {}, excluded, now);
    if (picked.has_value()) {
      pool.OnSent(*picked, now);
    }
    return picked;
  }

  /// Sends tasks until the pool returns no target.
  std::vector<target_incarnation> SendAll() {
    std::vector<target_incarnation> sent;
    while (const auto picked = Send()) {
      sent.push_back(*picked);
    }
    return sent;
  }

  void Finish(const target_incarnation& target, duration run,
              task_outcome outcome = task_outcome::kCompleted) {
    pool.OnResult(target, outcome, run, {.running = pool.OutstandingAt(target) - 1}, now);
  }

  /// Records `count` results with the given run time for a target, one after another.
  void RecordResults(size_t target, duration run, int count = 20) {
    for (int result = 0; result < count; ++result) {
      pool.OnSent(TargetNamed(target), now);
      now += run;
      Finish(TargetNamed(target), run);
    }
  }

  static constexpr uint32_t kSlots = 4;
  instant now{std::chrono::hours(1)};
  target_pool pool;
};

}  // namespace wagtail
