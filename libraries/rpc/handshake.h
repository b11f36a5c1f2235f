#pragma once

#include <cstdint>
#include <string_view>

#include "security/digest.h"

/// @file
/// Proofs with which processes of the system show one another that they hold the cluster key.

namespace wagtail {

/// Which of the two ends proves itself; keeps one end's proof from being replayed as the other's.
enum class handshake_side { kCaller, kListener };

/// @param cluster_key the shared secret from the settings
/// @param side whose proof it is
/// @param listener_nonce chosen by the end that listens, fresh for each connection
/// @param caller_nonce chosen by the end that connects, fresh for each connection
/// @return HMAC-SHA256 over both nonces
sha256_digest HandshakeProof(std::string_view cluster_key, handshake_side side,
                             uint64_t listener_nonce, uint64_t caller_nonce);

/// @return whether `proof`, as received, is that of the other end; takes constant time
bool IsHandshakeProof(std::string_view proof, std::string_view cluster_key, handshake_side side,
                      uint64_t listener_nonce, uint64_t caller_nonce);

}  // namespace wagtail
