#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "base/layer_error.h"
#include "base/time.h"

/// @file
/// Errors of the admission layer. Each means that no task was run.

namespace wagtail {

enum class admission_error {
  kStartsExceeded = 1,  ///< the team has currently used up its rate of starts
  kTasksInFlight,       ///< the team has as many unfinished tasks as its quota allows
  kJobTooLarge,         ///< the job has more tasks than the quota can ever admit at once
  kQueueFull,           ///< the entry's queue is full
  kDeadlineTooShort,    ///< the expected wait exceeds the job's deadline
};

template <>
struct layer_error_traits<admission_error> {
  static constexpr std::string_view kLayer = "wagtail/admission";
  static absl::StatusCode CanonicalCode(admission_error error);
};

/// @param retry_after time until the same request is expected to be admitted; a hint, no guarantee
absl::Status MakeRefusal(admission_error error, std::string_view message, duration retry_after);

/// @return the retry-after time that MakeRefusal attached to `status`, if any
std::optional<duration> RetryAfterOf(const absl::Status& status);

}  // namespace wagtail
