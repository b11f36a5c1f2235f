#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// Accepts connections at one address and passes them to a hook. Created, used and destroyed on
/// the loop's thread.
class connection_listener {
 public:
  using accept_hook = std::function<void(kj::Own<kj::AsyncIoStream>)>;

  connection_listener(kj::Own<kj::ConnectionReceiver> receiver, accept_hook accepted);

  uint16_t port() { return static_cast<uint16_t>(receiver_->getPort()); }

  /// Opens a listening socket; blocks. Not to be called from the loop's thread.
  /// @param address IP:PORT; port 0 takes an ephemeral one
  /// @param listener set on the loop's thread on success
  /// @return OK, or kUnavailable with the reason
  static absl::Status Listen(event_loop& loop, const std::string& address, accept_hook accepted,
                             std::unique_ptr<connection_listener>& listener);

 private:
  kj::Promise<void> AcceptMore();

  kj::Own<kj::ConnectionReceiver> receiver_;
  accept_hook accepted_;
  kj::Promise<void> accepting_;  // refers to the two members above
};

}  // namespace wagtail
