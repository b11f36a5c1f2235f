#pragma once

#include <cstddef>

namespace wagtail::leased {

/// Limits on the number of sessions that an agent keeps. Handles entries that are added while
/// callers stay connected to the existing ones: an entry with work does not lose targets to idle
/// entries.
struct link_limits {
  /// Maximum number of sessions, with busy or idle entries.
  size_t max_sessions = 4;
  /// Maximum in total; sessions beyond `max_sessions` must be with entries that send orders.
  size_t max_sessions_with_busy = 8;

  /// @param kept number of sessions with entries of higher preference
  /// @param busy whether a session with this entry is open and the entry sends orders
  /// @return whether to open or keep a session with the entry
  constexpr bool Allow(size_t kept, bool busy) const {
    return kept < (busy ? max_sessions_with_busy : max_sessions);
  }
};

}  // namespace wagtail::leased
