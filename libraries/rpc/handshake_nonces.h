#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace wagtail {

/// Nonces that a listener has handed out and that were not used yet. Each is good for one
/// handshake, so that a recorded proof opens nothing.
class handshake_nonces {
 public:
  /// @return a fresh nonce; the oldest unused one lapses when too many are out
  uint64_t Issue();
  /// @return whether the nonce was handed out; it is not good any more
  bool Redeem(uint64_t nonce);

 private:
  static constexpr size_t kMostOpen = 1024;

  std::deque<uint64_t> open_;
};

}  // namespace wagtail
