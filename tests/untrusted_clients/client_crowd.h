#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tests/support/tcp_relay.h"

namespace wagtail {

/// The bytes that a client sends: `head`, `piece` as often as `pieces` says, then `tail`.
struct crowd_script {
  std::string head{};
  std::string piece{};
  size_t pieces = 0;
  std::string tail{};
  /// If set, makes the head of each connection, in place of `head`.
  /// @param connection serial number
  std::function<std::string(size_t connection)> head_of{};

  /// @return number of bytes of a connection with this head
  size_t SizeWith(std::string_view own_head) const;
  /// @return the bytes up to the end of the part that holds the byte at `position`
  std::string_view From(std::string_view own_head, size_t position) const;
};

/// Abusive clients on non-blocking sockets, driven by one thread. All send the same script at once,
/// piece by piece in turn, discard answers and keep their connections open. A client whose
/// connection the server closes connects again, a bounded number of times.
class client_crowd {
 public:
  client_crowd(const loopback_address& to, size_t clients, crowd_script script);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  /// Waits until the clients neither send nor receive anything any more, or a timeout.
  void WaitUntilQuiet() const;
  /// @return number of connections that the server has not closed
  size_t open_connections() const { return open_connections_; }

 private:
  struct client {
    int socket = -1;
    std::string head{};
    size_t sent = 0;
    unsigned connects = 0;
  };
  void Run();
  void Connect(client& connecting);
  void Serve(client& served, short events);
  void SendSome(client& sending);
  /// @return false if the server has closed the connection
  bool DiscardAnswers(const client& receiving);

  loopback_address to_;
  crowd_script script_;
  std::vector<client> clients_;
  size_t next_connection_ = 0;
  std::atomic<size_t> progress_ = 0;  ///< counts what was sent, received and closed
  std::atomic<size_t> open_connections_ = 0;
  std::atomic<bool> stopping_ = false;
  std::jthread thread_;
};

}  // namespace wagtail
