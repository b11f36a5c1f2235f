#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace wagtail::leased {

/// Course of a planned stop of an entry: it goes on serving while the load balancer takes it out of
/// rotation, then sends its callers to other entries, and ends as soon as they have gone. Handles
/// replacements of one entry after the other: the shorter each is away, the fewer are away at once.
/// Uses no sockets, threads or clocks.
class entry_drain {
 public:
  struct options {
    /// The load balancer may keep sending connections for this long after the stop was requested.
    duration balancer_time = std::chrono::milliseconds(2000);
    /// A connection that was not used for this long is closed between two requests.
    duration idle_connection_age = std::chrono::milliseconds(500);
    /// The entry ends once it has had no request for this long.
    duration quiet_period = std::chrono::milliseconds(300);
  };

  /// @param begin when the stop was requested
  /// @param limit maximum duration of the drain
  entry_drain(const options& options, instant begin, duration limit)
      : options_(options), begin_(begin), end_(begin + limit) {}

  /// @return when the entry ends at the latest
  instant end() const { return end_; }
  /// @return how long idle connections must have been idle to be closed now; empty while the load
  ///   balancer may still choose this entry, and a caller that reconnects would come back
  std::optional<duration> IdleAgeToClose(instant now) const {
    bool is_out_of_rotation = now >= begin_ + options_.balancer_time;
    return is_out_of_rotation ? std::optional(options_.idle_connection_age) : std::nullopt;
  }
  /// @param last_activity when a request was last received or answered
  /// @param requests in progress
  /// @return whether the entry is to end now
  bool IsOver(instant now, instant last_activity, size_t requests) const {
    bool is_quiet = requests == 0 && now - last_activity >= options_.quiet_period;
    return now >= end_ || (IdleAgeToClose(now).has_value() && is_quiet);
  }

 private:
  options options_;
  instant begin_;
  instant end_;
};

}  // namespace wagtail::leased
