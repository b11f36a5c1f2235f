#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "base/layer_error.h"

/// @file
/// Errors of the membership layer.

namespace wagtail {

enum class membership_error {
  kBadKey = 1,     ///< the key does not match the expected type of row
  kBadRow = 2,     ///< the row's text is not valid for that key
  kBadChange = 3,  ///< the change violates the rules for changing the row
};

template <>
struct layer_error_traits<membership_error> {
  static constexpr std::string_view kLayer = "wagtail/membership";
  static absl::StatusCode CanonicalCode(membership_error error) {
    switch (error) {
      case membership_error::kBadKey:
      case membership_error::kBadRow:
        return absl::StatusCode::kInvalidArgument;
      case membership_error::kBadChange:
        return absl::StatusCode::kFailedPrecondition;
    }
    return absl::StatusCode::kInternal;
  }
};

}  // namespace wagtail
