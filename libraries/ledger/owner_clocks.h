#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/identifiers.h"
#include "base/time.h"

namespace wagtail {

/// Estimates the uptime of each entry incarnation from the uptimes reported to this daemon.
///
/// Estimates never go backwards: between messages they advance with this daemon's own clock, so
/// that old job ids of an entry whose whole VM was frozen still expire. For the same reason
/// estimates are kept as long as the daemon runs.
class owner_clocks {
 public:
  /// @param capacity maximum number of entry incarnations
  explicit owner_clocks(size_t capacity) : capacity_(capacity) {}

  /// Records that `owner` has been up for at least `uptime_ms` milliseconds at `now`.
  /// @return false if the owner is new and the capacity is reached
  bool Observe(entry_incarnation owner, uint64_t uptime_ms, instant now);

  /// @return estimated uptime of `owner` in milliseconds; empty if the owner is unknown
  std::optional<uint64_t> UptimeMs(entry_incarnation owner, instant now) const;

 private:
  struct observation {
    uint64_t uptime_ms = 0;
    instant at{};
  };

  size_t capacity_;
  absl::flat_hash_map<uint64_t, observation> observations_;
};

}  // namespace wagtail
