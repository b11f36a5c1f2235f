#include "admission/team_quota.h"

#include <mutex>

#include "admission/admission_error.h"
#include "base/verify.h"

namespace wagtail {

namespace {

/// Retry-after time for a team at its limit of tasks in flight: a typical task completes by then.
constexpr duration kInFlightRetryAfter = std::chrono::milliseconds(200);

}  // namespace

team_quota::team_quota(const team_limits& limits)
    : limits_(limits), starts_(limits.starts_per_second, limits.burst_tasks) {}

absl::Status team_quota::TryAdmit(uint32_t tasks, instant now) {
  VERIFY(tasks > 0);
  if (tasks > limits_.burst_tasks || tasks > limits_.max_tasks_in_flight) {
    return MakeError(admission_error::kJobTooLarge, "the job exceeds the team's quota for one job");
  }
  if (!TryRaiseInFlight(tasks)) {
    return MakeRefusal(admission_error::kTasksInFlight, "the team has too many unfinished tasks",
                       kInFlightRetryAfter);
  }
  const duration wait = starts_.TryTake(tasks, now);
  if (wait > duration::zero()) {
    Release(tasks);
    return MakeRefusal(admission_error::kStartsExceeded, "the team's rate of starts is used up",
                       wait);
  }
  return absl::OkStatus();
}

void team_quota::Release(uint32_t tasks) {
  const uint32_t before = in_flight_.fetch_sub(tasks, std::memory_order_relaxed);
  VERIFY(before >= tasks);
}

void team_quota::Revoke(uint32_t tasks) {
  Release(tasks);
  starts_.Return(tasks);
}

bool team_quota::TryRaiseInFlight(uint32_t tasks) {
  uint32_t current = in_flight_.load(std::memory_order_relaxed);
  do {
    VERIFY(current <= limits_.max_tasks_in_flight);
    if (limits_.max_tasks_in_flight - current < tasks) {
      return false;
    }
  } while (!in_flight_.compare_exchange_weak(current, current + tasks, std::memory_order_relaxed));
  return true;
}

void team_quotas::SetLimits(std::string_view team, const team_limits& limits) {
  const std::unique_lock lock(mutex_);
  auto& quota = quotas_[std::string(team)];
  if (quota == nullptr || quota->limits() != limits) {
    quota = std::make_shared<team_quota>(limits);
  }
}

void team_quotas::Remove(std::string_view team) {
  const std::unique_lock lock(mutex_);
  quotas_.erase(std::string(team));
}

std::shared_ptr<team_quota> team_quotas::Find(std::string_view team) const {
  const std::shared_lock lock(mutex_);
  const auto found = quotas_.find(std::string(team));
  return found == quotas_.end() ? nullptr : found->second;
}

}  // namespace wagtail
