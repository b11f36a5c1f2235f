#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "http/http_message.h"

namespace wagtail {

struct http_server_options {
  std::string address = "127.0.0.1";  ///< IPv4 address to listen on
  uint16_t port = 0;                  ///< 0 takes an ephemeral port
  size_t max_body_bytes = 4 << 20;    ///< larger requests are answered 413
  unsigned max_connections = 512;     ///< further ones are closed without an answer
  duration drain_timeout =
      std::chrono::seconds(30);  ///< how long Stop waits for requests in progress
};

/// HTTP server on ulfius with one handler for all paths and one thread per connection.
class http_server {
 public:
  /// Starts listening.
  /// @param options address, port and limits
  /// @param handler answers every request; must be safe to call from several threads
  /// @return the running server, or http_error::kListenFailed
  static absl::StatusOr<std::unique_ptr<http_server>> Start(http_server_options options,
                                                            http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return the port in use, also when it is ephemeral
  uint16_t port() const;
  /// Ends the connections that have had no request for a while, so that callers that keep idle
  /// connections open another one before their next request. A request that has already arrived is
  /// answered.
  /// @param idle_for minimum time since the last answer; the longer, the less likely it is that
  ///   the caller is sending a request right now
  void CloseIdleConnections(duration idle_for);
  /// Stops listening and waits for requests in progress; idempotent. Later requests on connections
  /// that are still open are answered 503 without calling the handler. After the drain timeout
  /// connections are closed, but Stop still waits for running handlers. Must not be called from a
  /// handler.
  void Stop();

 private:
  struct state;
  explicit http_server(std::unique_ptr<state> state);
  std::unique_ptr<state> state_;
};

}  // namespace wagtail
