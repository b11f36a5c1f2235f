#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace wagtail {

/// Nonces that a listener has issued and that are still unused. Each is valid for one handshake,
/// so that a recorded proof can't be replayed.
class handshake_nonces {
 public:
  /// @return a fresh nonce; at kMaxUnused, the oldest unused one is invalidated
  uint64_t Issue();
  /// Invalidates a nonce.
  /// @return whether it was issued and still unused
  bool Redeem(uint64_t nonce);

 private:
  static constexpr size_t kMaxUnused = 1024;

  std::deque<uint64_t> unused_;
};

}  // namespace wagtail
