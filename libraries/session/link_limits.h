#pragma once

#include <cstddef>

namespace wagtail::leased {

/// How many sessions an agent keeps. Answers entries that are added while callers stay with those
/// that they are connected to: an entry with work does not lose targets to idle ones.
struct link_limits {
  /// Sessions with entries, whether they have work or not.
  size_t most = 4;
  /// Sessions in all, if those beyond `most` are with entries that send orders.
  size_t max_sessions_with_busy = 8;

  /// @param kept sessions with entries that are preferred to this one
  /// @param busy whether there is a session with this entry, and it sends orders
  /// @return whether to have a session with it
  constexpr bool Allow(size_t kept, bool busy) const {
    return kept < (busy ? max_sessions_with_busy : most);
  }
};

}  // namespace wagtail::leased
