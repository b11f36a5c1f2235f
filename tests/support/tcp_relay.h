#pragma once

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "base/time.h"
#include "tests/support/relay_connection.h"

namespace wagtail {

/// A loopback address and port.
struct loopback_address {
  std::string ip = "127.0.0.1";  ///< 127.x.y.z
  uint16_t port = 0;
};

enum class relay_mode {
  kPass,       ///< new connections work; silent ones stay silent
  kSilent,     ///< open connections go silent permanently, new ones work
  kBlackHole,  ///< open connections go silent permanently, new ones are accepted but silent
  kOneWay,     ///< open connections lose all bytes from the destination, new ones work
  kCut,        ///< open connections are closed, new ones refused
};

/// Relays TCP connections on loopback to one port, and injects network faults. A silent connection
/// stays open at both ends: its bytes, and the end of its streams, are dropped.
class tcp_relay {
 public:
  /// Listens on an ephemeral port.
  /// @param destination port on 127.0.0.1
  explicit tcp_relay(uint16_t destination);
  /// Listens on a given address.
  tcp_relay(const loopback_address& listen, const loopback_address& destination);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  /// @return the port to connect to, constant for the lifetime of the relay
  uint16_t port() const { return port_; }
  /// Applies the mode before it returns, also to connections not yet accepted.
  void SetMode(relay_mode mode);
  /// Relays new connections to this port, for instance after a restart.
  void SetDestination(uint16_t destination);
  /// Delays bytes that arrive from now on.
  /// @param up delay towards the destination
  /// @param down delay from the destination
  void SetDelay(duration up, duration down);
  /// @return number of open connections, silent ones included
  size_t open_connections() const;

 private:
  void Run();
  void Poll();
  void ApplyMode();
  void Accept();
  void Listen();
  void Wake() const;

  int placeholder_ = -1;  ///< reserves the port while the relay does not listen
  int listener_ = -1;
  int wake_ = -1;
  uint16_t port_ = 0;

  mutable std::mutex mutex_;
  std::condition_variable applied_;
  loopback_address listen_;
  loopback_address destination_;
  relay_mode mode_ = relay_mode::kPass;
  bool mode_pending_ = false;
  bool ending_ = false;
  duration up_delay_{0};
  duration down_delay_{0};
  std::list<relay_connection> connections_;
  std::jthread thread_;
};

}  // namespace wagtail
