#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>

#include "http/connection_table.h"

namespace wagtail {

/// The connection table of a running server: locks it, shuts down the sockets that it names, and
/// checks the limits of time on a thread of its own. Thread-safe.
///
/// A socket in the table is open: it is removed before libmicrohttpd closes it.
class open_connections {
 public:
  /// @param closed called for each connection that is closed
  open_connections(connection_limits limits, std::function<void(closing_reason)> closed);
  ~open_connections();
  open_connections(const open_connections&) = delete;
  open_connections& operator=(const open_connections&) = delete;

  /// @return whether a new connection is accepted; another one may have been closed for it
  bool Admit();
  void Open(int socket);
  void Remove(int socket);
  /// @return whether the connection may go on: false if it is being closed
  bool Enter(int socket, connection_phase phase);
  void Complete(int socket);
  /// Closes the connection whose body has been arriving for longest, unless all bodies are recent.
  void CloseSlowestBody();
  void CloseIdle(duration idle_for);
  bool IsReadShut(int socket) const;

 private:
  /// Shuts the socket down: its thread then reads the end of the connection and closes it.
  void ShutDown(const connection_table::closing& closing);
  void CheckTimes(const std::stop_token& stop);

  const std::function<void(closing_reason)> closed_;
  mutable std::mutex mutex_;
  std::condition_variable_any opened_;
  connection_table table_;
  std::jthread checker_;
};

}  // namespace wagtail
