#pragma once

#include "base/time.h"

/// @file
/// Time limits of the way of a configuration to everyone. Every process of a deployment uses the
/// same.

namespace wagtail {

struct freshness_settings {
  /// Time between two table reads of an entry, two questions to other entries and two heartbeats of
  /// a target's daemon.
  duration period = std::chrono::milliseconds(500);
  /// An entry whose last successful read started longer ago than this asks other entries. A slow
  /// table is thereby the same as one that refuses.
  duration reads_fail_after = std::chrono::milliseconds(1200);
  /// A target's daemon that no entry has answered for this long starts nothing, so a version that
  /// an entry has known for this long is in force. Long enough for a read by another entry and a
  /// heartbeat, with one lost message each: who is in touch knows the version by then.
  duration contact_limit = std::chrono::seconds(3);
};

}  // namespace wagtail
