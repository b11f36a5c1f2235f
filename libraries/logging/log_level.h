#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "base/layer_error.h"

namespace wagtail {

/// Severity of a fact, in ascending order.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Errors of the logging layer.
enum class logging_error { kUnknownLevel = 1, kUnknownFormat = 2 };

template <>
struct layer_error_traits<logging_error> {
  static constexpr std::string_view kLayer = "wagtail/logging";
  static absl::StatusCode CanonicalCode(logging_error /*error*/) {
    return absl::StatusCode::kInvalidArgument;
  }
};

/// @return debug, info, warning or error
std::string_view ToText(log_level level);

/// @return the level named by `text`, or logging_error::kUnknownLevel
absl::StatusOr<log_level> ParseLogLevel(std::string_view text);

}  // namespace wagtail
