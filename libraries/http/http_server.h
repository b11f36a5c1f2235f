#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/memory_budget.h"
#include "base/time.h"
#include "http/connection_table.h"
#include "http/http_message.h"

namespace wagtail {

/// Why a server refused a request, or a connection, without calling the handler.
enum class http_refusal {
  kBodyTooLarge,  ///< answered 413
  kNoMemory,      ///< answered 503
  kNoConnection,  ///< the connection was closed without an answer
};
std::string_view ToText(http_refusal refusal);

/// Where a server's behaviour varies; called from several threads.
struct http_server_hooks {
  /// @return the limit for bodies now; the lower one of it and http_server_options::max_body_bytes
  ///   holds
  std::function<size_t()> max_body_bytes{};
  /// @return the answer to a request that is refused with this status and name of the error
  std::function<http_response(int status, std::string_view error)> refuse{};
  std::function<void(http_refusal)> refused = [](http_refusal) {};
  std::function<void(closing_reason)> closed = [](closing_reason) {};
  /// @param change 1 for a new connection, -1 for one that ended
  std::function<void(int change)> connections_changed = [](int) {};
};

struct http_server_options {
  std::string address = "127.0.0.1";  ///< IPv4 address to listen on
  uint16_t port = 0;                  ///< 0 takes an ephemeral port
  size_t max_body_bytes = 4 << 20;    ///< larger requests are answered 413
  /// At the limit, the connection that has gone longest without completing a request gives way.
  unsigned max_connections = 512;
  duration drain_timeout =
      std::chrono::seconds(30);  ///< how long Stop waits for requests in progress
  duration header_timeout = connection_limits{}.header_timeout;  ///< from the request line on
  duration body_timeout = connection_limits{}.body_timeout;      ///< also for sending an answer
  duration idle_timeout = connection_limits{}.idle_timeout;
  /// How long handlers may hold all connections. A handler that waits for longer gives way to a new
  /// connection: its request's socket then reads as closed by the peer, and its answer is still
  /// sent. Empty: for ever.
  std::optional<duration> handler_grace{};
  /// Budget for bodies, may be shared by servers; one of its own by default.
  std::shared_ptr<memory_budget> memory{};
  http_server_hooks hooks{};
};

/// HTTP server on libmicrohttpd with one handler for all paths and one thread per connection.
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
