#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "http/http_message.h"

namespace wagtail {

/// One outgoing call.
struct http_call {
  std::string method = "GET";
  std::string url{};  ///< http://IP:PORT/path?query, already percent-encoded
  http_fields headers{};
  std::string body{};
  duration timeout = std::chrono::seconds(5);  ///< rounded up to whole seconds
};

/// Makes one blocking call with ulfius over a new connection; does not follow redirects.
/// @return the answer whatever its status code, or http_error: kConnectFailed when the request
///   certainly did not reach the peer, kNoAnswer when it may have (time-out, connection lost)
absl::StatusOr<http_response> CallHttp(const http_call& call);

}  // namespace wagtail
