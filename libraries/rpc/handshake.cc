#include "rpc/handshake.h"

#include "absl/strings/str_format.h"

namespace wagtail {

sha256_digest HandshakeProof(std::string_view cluster_key, handshake_side side,
                             uint64_t listener_nonce, uint64_t caller_nonce) {
  const char* role = side == handshake_side::kCaller ? "caller" : "listener";
  std::string message =
      absl::StrFormat("wagtailplank/%s/%016x/%016x", role, listener_nonce, caller_nonce);
  return HmacSha256(cluster_key, message);
}

bool IsHandshakeProof(std::string_view proof, std::string_view cluster_key, handshake_side side,
                      uint64_t listener_nonce, uint64_t caller_nonce) {
  sha256_digest expected = HandshakeProof(cluster_key, side, listener_nonce, caller_nonce);
  return EqualInConstantTime({reinterpret_cast<const char*>(expected.data()), expected.size()},
                             proof);
}

}  // namespace wagtail
