#pragma once

#include "base/layer_error.h"

namespace wagtail {

/// Errors of the HTTP layer.
enum class http_error {
  kListenFailed = 1,   ///< the server could not listen
  kConnectFailed = 2,  ///< no connection was made: the request certainly did not arrive
  kNoAnswer = 3,       ///< the request may have arrived, but no complete answer was received
  kBadCall = 4,        ///< the call itself is malformed
};

template <>
struct layer_error_traits<http_error> {
  static constexpr std::string_view kLayer = "wagtail/http";
  static absl::StatusCode CanonicalCode(http_error error) {
    switch (error) {
      case http_error::kBadCall:
        return absl::StatusCode::kInvalidArgument;
      case http_error::kNoAnswer:
        return absl::StatusCode::kDeadlineExceeded;
      case http_error::kListenFailed:
      case http_error::kConnectFailed:
        return absl::StatusCode::kUnavailable;
    }
    return absl::StatusCode::kInternal;
  }
};

}  // namespace wagtail
