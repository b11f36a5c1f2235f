#pragma once

#include <optional>

namespace wagtail::leased {

/// What an entry tells an agent about the jobs that wait for the service of the agent's target.
struct waiting_priority {
  /// Whether the entry told anything. Entries of earlier versions do not, nor do those whose plan
  /// gives all queues of the service one priority.
  bool told = false;
  /// Highest priority of the waiting jobs (0 is the highest); empty if none waits.
  std::optional<unsigned> highest{};

  bool operator==(const waiting_priority&) const = default;
};

/// @return whether `other` gives way to `one`: both entries told, and `one` has a waiting job of a
///   higher priority than any at `other`
constexpr bool IsMoreUrgent(const waiting_priority& one, const waiting_priority& other) {
  return one.told && other.told && one.highest.has_value() &&
         (!other.highest.has_value() || *one.highest < *other.highest);
}

}  // namespace wagtail::leased
