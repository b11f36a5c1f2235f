#pragma once

#include <optional>
#include <string>

#include "base/time.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::leased {

/// Persistent connection of a caller, open between requests until the peer closes it.
class open_connection {
 public:
  explicit open_connection(loopback_address to) : to_(std::move(to)) {}
  ~open_connection() { Close(); }
  open_connection(const open_connection&) = delete;
  open_connection& operator=(const open_connection&) = delete;

  /// Sends a request and waits for its answer.
  /// @return status and body, or nothing if no complete answer arrived in time
  struct answer {
    int status = 0;
    std::string body;
  };
  std::optional<answer> SendRequest(const std::string& request, duration timeout);
  void Close();

 private:
  bool Connect();
  bool ReadMore(std::string& text, instant deadline) const;

  loopback_address to_;
  int socket_ = -1;
};

}  // namespace wagtail::leased
