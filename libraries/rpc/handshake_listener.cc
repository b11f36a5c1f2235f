#include "rpc/handshake_listener.h"

#include "rpc/handshake.h"
#include "rpc/require.h"

namespace wagtail {

sha256_digest handshake_listener::Accept(uint64_t listener_nonce, uint64_t caller_nonce,
                                         std::string_view proof) {
  bool is_valid =
      nonces_.Redeem(listener_nonce) &&
      IsHandshakeProof(proof, cluster_key_, handshake_side::kCaller, listener_nonce, caller_nonce);
  Require(is_valid, "handshake refused");
  return HandshakeProof(cluster_key_, handshake_side::kListener, listener_nonce, caller_nonce);
}

}  // namespace wagtail
