#pragma once

#include <capnp/rpc-twoparty.h>

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// The listening side of the RPC system. Made, used and destroyed on the loop's thread.
class rpc_server {
 public:
  /// @param receiver accepts the connections
  /// @param bootstrap what each connection is given
  rpc_server(kj::Own<kj::ConnectionReceiver> receiver, capnp::Capability::Client bootstrap);

  uint16_t port() { return static_cast<uint16_t>(receiver_->getPort()); }

  /// Receives the listening socket, on the loop's thread.
  using listen_hook = std::function<void(kj::Own<kj::ConnectionReceiver>)>;
  /// Opens a listening socket; blocks. Not to be called from the loop's thread.
  /// @param address IP:PORT; port 0 takes an ephemeral one
  /// @return OK once `on_listening` has run, or why nothing listens there
  static absl::Status Listen(event_loop& loop, const std::string& address,
                             listen_hook on_listening);

 private:
  kj::Own<kj::ConnectionReceiver> receiver_;
  capnp::TwoPartyServer server_;
  kj::Promise<void> listening_;  // refers to both of the above
};

}  // namespace wagtail
