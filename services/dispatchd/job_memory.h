#pragma once

#include <cstddef>
#include <memory>

#include "absl/status/statusor.h"
#include "base/memory_budget.h"
#include "metrics/metrics_registry.h"
#include "platform/job_json.h"

namespace wagtail::leased {

/// Bounds the memory of all decoded jobs of an entry together: a short text may describe thousands
/// of tasks, and a job is kept until its caller's deadline. A part of the budget is left to small
/// jobs, so that large ones don't keep out ordinary callers. Thread-safe.
class job_memory {
 public:
  /// @param registry must outlive the object
  job_memory(memory_budget_options options, metrics_registry& registry);

  /// Counts a job against the budget.
  /// @return the reservation, to be kept as long as the job; or platform_error::kNoMemory if it
  ///   does not fit now, or platform_error::kTooLarge if it never fits
  absl::StatusOr<std::shared_ptr<const memory_reservation>> Reserve(const platform::job_body& job);

 private:
  std::shared_ptr<memory_budget> budget_;
  family<counter>* refusals_;
};

}  // namespace wagtail::leased
