#include "rpc/handshake_nonces.h"

#include <algorithm>

#include "security/digest.h"

namespace wagtail {

uint64_t handshake_nonces::Issue() {
  if (open_.size() >= kMostOpen) {
    open_.pop_front();
  }
  open_.push_back(RandomNonce64());
  return open_.back();
}

bool handshake_nonces::Redeem(uint64_t nonce) {
  auto found = std::ranges::find(open_, nonce);
  if (found == open_.end()) {
    return false;
  }
  open_.erase(found);
  return true;
}

}  // namespace wagtail
