#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "rpc/handshake_nonces.h"
#include "security/digest.h"

namespace wagtail {

/// Listening end of handshakes: accepts peers that prove possession of the cluster key.
class handshake_listener {
 public:
  explicit handshake_listener(std::string cluster_key) : cluster_key_(std::move(cluster_key)) {}

  /// @return a fresh nonce for one handshake
  uint64_t Challenge() { return nonces_.Issue(); }

  /// Fails the current RPC call unless the proof is valid and the nonce unused.
  /// @param listener_nonce from Challenge()
  /// @param caller_nonce chosen by the other end for this connection
  /// @param proof of the other end
  /// @return this end's proof
  sha256_digest Accept(uint64_t listener_nonce, uint64_t caller_nonce, std::string_view proof);

 private:
  std::string cluster_key_;
  handshake_nonces nonces_;
};

}  // namespace wagtail
