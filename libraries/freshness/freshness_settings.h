#pragma once

#include "base/time.h"

/// @file
/// Intervals and timeouts of the propagation of a configuration. Every process of a deployment uses
/// the same values.

namespace wagtail {

struct freshness_settings {
  /// Interval of an entry's table reads, of its queries to other entries and of the heartbeats of a
  /// target's daemon.
  duration period = std::chrono::milliseconds(500);
  /// An entry whose last successful read started longer ago than this queries other entries. A slow
  /// table is thus handled like one that rejects reads.
  duration max_read_age = std::chrono::milliseconds(1200);
  /// A target's daemon that has had no answer from an entry for this long starts no tasks, so a
  /// version that an entry has held for this long is in force. Long enough for a read by another
  /// entry and a heartbeat, with one lost message each: a daemon in contact has the version by
  /// then.
  duration contact_timeout = std::chrono::seconds(3);
};

}  // namespace wagtail
