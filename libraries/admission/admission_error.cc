#include "admission/admission_error.h"

#include <string>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr absl::string_view kRetryAfterPayload = "wagtail/retry_after_us";

}  // namespace

absl::StatusCode layer_error_traits<admission_error>::CanonicalCode(admission_error error) {
  switch (error) {
    case admission_error::kStartsExceeded:
    case admission_error::kTasksInFlight:
    case admission_error::kQueueFull:
      return absl::StatusCode::kResourceExhausted;
    case admission_error::kJobTooLarge:
      return absl::StatusCode::kInvalidArgument;
    case admission_error::kDeadlineTooShort:
      return absl::StatusCode::kUnavailable;
  }
  VERIFY_NOT_REACHED();
}

absl::Status MakeRefusal(admission_error error, std::string_view message, duration retry_after) {
  absl::Status status = MakeError(error, message);
  status.SetPayload(kRetryAfterPayload, absl::Cord(std::to_string(retry_after.count())));
  return status;
}

std::optional<duration> RetryAfterOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kRetryAfterPayload);
  if (!payload.has_value()) {
    return std::nullopt;
  }
  return duration(std::stoll(std::string(*payload)));
}

}  // namespace wagtail
