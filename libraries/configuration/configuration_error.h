#pragma once

#include "base/layer_error.h"

namespace wagtail {

/// Errors in the operators' text and in changes to it.
enum class configuration_error {
  kInvalidText = 1,     ///< the text violates its schema; the message lists every problem
  kInvalidRecord = 2,   ///< a stored row or a request does not have the format of Serialize()
  kStaleBase = 3,       ///< another change was committed first; the message names its author and id
  kUnknownDomain = 4,   ///< the text names no such failure domain
  kNoChange = 5,        ///< the configuration already has the requested state
  kAlreadyApplied = 6,  ///< the current version was made by the same change id
  kBadSubject = 7,      ///< the subject is not a valid name
  kTooMany = 8,         ///< the limit on leaving targets is reached
  kUnknownService = 9,  ///< the text names no such service
};

template <>
struct layer_error_traits<configuration_error> {
  static constexpr std::string_view kLayer = "wagtail/configuration";
  static absl::StatusCode CanonicalCode(configuration_error error) {
    switch (error) {
      case configuration_error::kInvalidText:
      case configuration_error::kBadSubject:
        return absl::StatusCode::kInvalidArgument;
      case configuration_error::kInvalidRecord:
        return absl::StatusCode::kDataLoss;
      case configuration_error::kStaleBase:
        return absl::StatusCode::kAborted;
      case configuration_error::kUnknownDomain:
      case configuration_error::kUnknownService:
        return absl::StatusCode::kNotFound;
      case configuration_error::kNoChange:
      case configuration_error::kAlreadyApplied:
        return absl::StatusCode::kAlreadyExists;
      case configuration_error::kTooMany:
        return absl::StatusCode::kResourceExhausted;
    }
    return absl::StatusCode::kInternal;
  }
};

}  // namespace wagtail
