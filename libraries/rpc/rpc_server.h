#pragma once

#include <capnp/rpc-twoparty.h>

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "rpc/listen.h"

namespace wagtail {

/// Listening side of the RPC system. Created, used and destroyed on the loop's thread.
class rpc_server {
 public:
  /// @param receiver accepts the connections
  /// @param bootstrap capability offered to each connection
  rpc_server(kj::Own<kj::ConnectionReceiver> receiver, capnp::Capability::Client bootstrap);

  uint16_t port() { return static_cast<uint16_t>(receiver_->getPort()); }

  /// Opens a listening socket like ListenAt(), for connections that batch their writes.
  static absl::Status Listen(event_loop& loop, const std::string& address,
                             const listen_hook& on_listening);

 private:
  kj::Own<kj::ConnectionReceiver> receiver_;
  capnp::TwoPartyServer server_;
  kj::Promise<void> listening_;  // refers to the two members above
};

}  // namespace wagtail
