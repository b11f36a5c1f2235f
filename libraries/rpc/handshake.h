#pragma once

#include <cstdint>
#include <string_view>

#include "security/digest.h"

/// @file
/// Proofs by which processes of the system authenticate to each other with the cluster key.

namespace wagtail {

/// Which end made a proof; part of the MAC, so that one end's proof can't be replayed as the
/// other's.
enum class handshake_side { kCaller, kListener };

/// @param cluster_key the shared secret from the settings
/// @param side the end that makes the proof
/// @param listener_nonce chosen by the end that listens, fresh for each connection
/// @param caller_nonce chosen by the end that connects, fresh for each connection
/// @return HMAC-SHA256 over both nonces
sha256_digest HandshakeProof(std::string_view cluster_key, handshake_side side,
                             uint64_t listener_nonce, uint64_t caller_nonce);

/// @return whether the received `proof` is valid for `side`; compares in constant time
bool IsHandshakeProof(std::string_view proof, std::string_view cluster_key, handshake_side side,
                      uint64_t listener_nonce, uint64_t caller_nonce);

}  // namespace wagtail
