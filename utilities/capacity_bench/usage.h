#pragma once

#include <cstdint>

#include "base/time.h"
#include "rpc/event_loop.h"

/// @file
/// What this process and its threads use of the machine.

namespace wagtail {

/// @return processor time used by the calling thread
duration ThreadTime();
/// @return processor time used by the thread of `loop`
duration TimeOfLoop(event_loop& loop);
/// @return processor time used by all threads of this process
duration ProcessTime();
/// @return resident memory of this process in KiB
uint64_t ResidentKib();

/// What has passed the TCP connections that this process holds now. The kernel counts payload and
/// segments; headers are worked out from the segments.
struct socket_traffic {
  uint64_t connections = 0;
  uint64_t payload_bytes = 0;  ///< acknowledged or received, both directions
  uint64_t segments = 0;       ///< both directions

  /// @return payload and headers of IP and TCP
  uint64_t wire_bytes() const;
};

/// @return the sum over the established TCP connections of this process
socket_traffic CountTraffic();

}  // namespace wagtail
