#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// Which open connections of a server to close. No sockets, threads or clocks; the caller locks.

namespace wagtail {

/// What a connection is doing.
enum class connection_phase {
  kIdle,       ///< no request has begun
  kHeader,     ///< its request line has arrived
  kBody,       ///< its header is complete
  kHandling,   ///< the handler is at work
  kAnswering,  ///< the answer is being sent, or the rest of a refused body discarded
};

enum class closing_reason {
  kHeaderTime,
  kBodyTime,
  kIdleTime,
  kConnections,  ///< gave way to a new connection
  kMemory,       ///< gave way to the body of another request
  kHandlerTime,  ///< gave way to a new connection while its handler was at work
};
std::string_view ToText(closing_reason reason);

struct connection_limits {
  unsigned max_connections = 512;
  duration header_timeout = std::chrono::seconds(10);
  duration body_timeout = std::chrono::seconds(30);  ///< also for sending an answer
  duration idle_timeout = std::chrono::seconds(60);
  /// A handler that has been at work for this long gives way to a new connection if all others have
  /// handlers at work, too. Empty: never.
  std::optional<duration> handler_grace{};
};

class connection_table {
 public:
  struct closing {
    int socket = -1;
    closing_reason reason{};
  };
  struct admission {
    bool accepted = true;
    std::optional<closing> displaced{};  ///< connection to close in favour of the new one
  };

  explicit connection_table(connection_limits limits) : limits_(limits) {}

  /// Decides on a new connection, before Open. At the limit, the connection that has gone longest
  /// without completing a request gives way, and one that is being answered only if there is no
  /// other. If all have handlers at work, the one that has been at work longest and longer than the
  /// grace gives way; if there is none, the new connection is refused.
  admission Admit(instant now);
  void Open(int socket, instant now);
  void Remove(int socket);

  /// @return whether the connection may go on: false if it is being closed
  bool Enter(int socket, connection_phase phase, instant now);
  /// Notes that a request is complete; the connection is idle from now on.
  void Complete(int socket, instant now);

  /// @return connections that are over a limit of time, each of them once
  std::vector<closing> TakeOverdue(instant now);
  /// @return the connection whose body has been arriving for longest and longer than `grace`
  std::optional<closing> TakeSlowestBody(instant now, duration grace);
  /// @return connections idle for at least `idle_for`, each of them once; the server reads nothing
  ///   more from them, but still answers what has arrived
  std::vector<int> TakeIdle(instant now, duration idle_for);
  /// @return whether TakeIdle named the connection: its socket then reads as if closed by the peer
  bool IsReadShut(int socket) const;

  size_t size() const { return connections_.size(); }

 private:
  struct connection {
    connection_phase phase = connection_phase::kIdle;
    instant phase_began{};
    instant last_completed{};  ///< last completed request, or the accept
    bool is_closing = false;
    bool is_read_shut = false;
  };

  using connection_map = std::map<int, connection>;

  /// @return the connection without a handler at work that gives way first, or end()
  connection_map::iterator LongestWithoutRequest();
  /// @return the connection whose handler has been at work longest and for the grace, or end()
  connection_map::iterator LongestHandler(instant now);
  std::optional<closing_reason> OverdueReason(const connection& each, instant now) const;
  closing Close(connection_map::iterator found, closing_reason reason);

  const connection_limits limits_;
  connection_map connections_{};
  size_t closing_ = 0;
};

}  // namespace wagtail
