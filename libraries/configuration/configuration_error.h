#pragma once

#include "base/layer_error.h"

namespace wagtail {

/// Errors of the operators' text and of changes to it.
enum class configuration_error {
  kInvalidText = 1,     ///< the text breaks its schema; the message names every problem
  kInvalidRecord = 2,   ///< a stored row or a request is not what Serialize() writes
  kStaleBase = 3,       ///< another change came first; the message names its author and id
  kUnknownDomain = 4,   ///< the text names no such failure domain
  kNoChange = 5,        ///< the configuration already is as asked
  kAlreadyApplied = 6,  ///< the current version was made by this very change id
  kBadSubject = 7,      ///< the subject can't be a name
  kTooMany = 8,         ///< a limit on the number of leaving targets is reached
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
