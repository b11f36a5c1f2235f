#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "admission/token_bucket.h"
#include "base/time.h"

/// @file
/// Quotas per team: rate of task starts and tasks in flight.

namespace wagtail {

struct team_limits {
  double starts_per_second = 100;
  uint32_t burst_tasks = 1380;
  uint32_t max_tasks_in_flight = 4096;
  bool operator==(const team_limits&) const = default;
};

/// Quota of one team. Safe for concurrent use without locks.
class team_quota {
 public:
  explicit team_quota(const team_limits& limits);

  /// Admits all tasks of a job or none.
  /// @param tasks number of tasks, at least 1
  /// @return OK, or a refusal with a retry-after time
  absl::Status TryAdmit(uint32_t tasks, instant now);
  /// Releases tasks admitted before, whatever their outcome.
  void Release(uint32_t tasks);
  /// Reverts an admission of a job of which no task was started.
  void Revoke(uint32_t tasks);

  uint32_t tasks_in_flight() const { return in_flight_.load(std::memory_order_relaxed); }
  const team_limits& limits() const { return limits_; }

 private:
  bool TryRaiseInFlight(uint32_t tasks);

  team_limits limits_;
  token_bucket starts_;
  std::atomic<uint32_t> in_flight_{0};
};

/// The quotas of all teams. Find and SetLimits may be called from several threads.
class team_quotas {
 public:
  /// Creates the team's quota or replaces it if the limits differ; tasks in flight keep counting
  /// against the quota that admitted them.
  void SetLimits(std::string_view team, const team_limits& limits);
  void Remove(std::string_view team);
  /// @return the team's quota, or nullptr; store it with the job to release its tasks later
  std::shared_ptr<team_quota> Find(std::string_view team) const;

 private:
  mutable std::shared_mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<team_quota>> quotas_;
};

}  // namespace wagtail
