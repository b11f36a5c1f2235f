#pragma once

#include "base/layer_error.h"

namespace wagtail {

/// Errors of reading a JSON text with comments.
enum class settings_error {
  kUnreadable = 1,  ///< the file could not be read
  kSyntax = 2,      ///< the text is not JSON with comments; the message names line and column
  kInvalid = 3,     ///< the text breaks its schema; the message names every problem
};

template <>
struct layer_error_traits<settings_error> {
  static constexpr std::string_view kLayer = "wagtail/settings";
  static absl::StatusCode CanonicalCode(settings_error error) {
    switch (error) {
      case settings_error::kUnreadable:
        return absl::StatusCode::kNotFound;
      case settings_error::kSyntax:
      case settings_error::kInvalid:
        return absl::StatusCode::kInvalidArgument;
    }
    return absl::StatusCode::kInternal;
  }
};

}  // namespace wagtail
