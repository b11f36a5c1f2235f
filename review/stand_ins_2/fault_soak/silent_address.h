#pragma once

#include <array>

#include "tests/support/tcp_relay.h"

namespace wagtail::review {

/// Address of a VM without power: connections to it get no answer. A listener whose queue of new
/// connections is full, so that the kernel drops the opening packets of others.
class silent_address {
 public:
  explicit silent_address(const loopback_address& address);
  ~silent_address();
  silent_address(const silent_address&) = delete;
  silent_address& operator=(const silent_address&) = delete;

 private:
  static constexpr size_t kQueueFillers = 2;

  int listener_ = -1;
  std::array<int, kQueueFillers> fillers_{};
};

}  // namespace wagtail::review
