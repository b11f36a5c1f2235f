#pragma once

#include "base/layer_error.h"

namespace wagtail {

/// Errors of the load tool.
enum class load_error {
  kBadScenario = 1,         ///< the scenario's text breaks its rules
  kTooMuchWork = 2,         ///< the scenario plans more tasks than the tool holds
  kBadResult = 3,           ///< a file is not a saved result of this tool
  kDifferentScenarios = 4,  ///< results of different workloads can't be compared
  kUnexpectedAnswer = 5,    ///< an entry or stand-in answered something else than its API says
  kNotWritten = 6,          ///< a result could not be written
};

template <>
struct layer_error_traits<load_error> {
  static constexpr std::string_view kLayer = "wagtail/load";
  static absl::StatusCode CanonicalCode(load_error error) {
    switch (error) {
      case load_error::kBadScenario:
      case load_error::kBadResult:
        return absl::StatusCode::kInvalidArgument;
      case load_error::kTooMuchWork:
        return absl::StatusCode::kOutOfRange;
      case load_error::kDifferentScenarios:
        return absl::StatusCode::kFailedPrecondition;
      case load_error::kUnexpectedAnswer:
      case load_error::kNotWritten:
        return absl::StatusCode::kUnavailable;
    }
    return absl::StatusCode::kInternal;
  }
};

}  // namespace wagtail
