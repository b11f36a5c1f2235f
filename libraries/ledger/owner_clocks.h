#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/identifiers.h"
#include "base/time.h"

namespace wagtail {

/// Estimates how long each entry incarnation has been up, from the uptimes that reach this daemon.
///
/// An estimate never falls behind one given before: it runs on this daemon's own clock between
/// messages, so an entry whose whole machine was frozen can't make its old job ids young again.
/// Estimates are kept for the daemon's life for the same reason.
class owner_clocks {
 public:
  /// @param capacity most entry incarnations to keep
  explicit owner_clocks(size_t capacity) : capacity_(capacity) {}

  /// Notes that `owner` has been up for at least `uptime_ms` at `now`.
  /// @return false when the owner is new and there is no room for it
  bool Observe(entry_incarnation owner, uint64_t uptime_ms, instant now);

  /// @return milliseconds that `owner` has been up by this daemon's estimate; empty when unknown
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
