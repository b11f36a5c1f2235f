#include "rpc/handshake_nonces.h"

#include <algorithm>

#include "security/digest.h"

namespace wagtail {

uint64_t handshake_nonces::Issue() {
  if (unused_.size() >= kMaxUnused) {
    unused_.pop_front();
  }
  unused_.push_back(RandomNonce64());
  return unused_.back();
}

bool handshake_nonces::Redeem(uint64_t nonce) {
  auto found = std::ranges::find(unused_, nonce);
  if (found == unused_.end()) {
    return false;
  }
  unused_.erase(found);
  return true;
}

}  // namespace wagtail
