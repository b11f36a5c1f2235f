#pragma once

#include <kj/compat/http.h>

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "http/http_message.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// One request to the peer of an async_http_client.
struct async_http_call {
  kj::HttpMethod method = kj::HttpMethod::GET;
  std::string target{};  ///< path and query, percent-encoded
  http_fields headers{};
  std::string body{};
  duration timeout = std::chrono::seconds(1);
};

/// HTTP client of one peer on the event loop, over persistent connections. Used on the loop's
/// thread only. A request that times out closes its connection, so that the next one uses another.
/// Calls in flight are answered even if the client is destroyed meanwhile.
class async_http_client {
 public:
  /// Receives the answer whatever its status code, or http_error::kConnectFailed: the peer
  /// refused the connection, or http_error::kNoAnswer: the request may have
  /// arrived.
  using answer_hook = std::function<void(const absl::StatusOr<http_response>&)>;

  /// @param peer IP:PORT; anything else makes every call fail
  async_http_client(event_loop& loop, const std::string& peer);
  ~async_http_client();

  const std::string& peer() const;
  void Call(const async_http_call& call, answer_hook answer);

 private:
  struct connections;

  event_loop& loop_;
  std::shared_ptr<connections> connections_;  ///< shared with the calls in flight
};

}  // namespace wagtail
