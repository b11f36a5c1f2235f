#pragma once

#include <cstddef>
#include <optional>

#include "membership/entry_registry.h"
#include "membership/voter_set.h"

/// @file
/// The next step of the set of voters towards what the registered entries call for.

namespace wagtail {

/// More voters would only add messages to each poll.
inline constexpr std::size_t kMostVoters = 7;

/// The caller writes the set on two conditions: a majority of `present` has confirmed the version
/// that wrote it (in_force_tracker::HasMajority()), and the row still has that revision. The first
/// set of all is written on condition that the row does not exist.
/// @return the set to write next, or empty if `present` is as it should be. Voters that stopped or
///   were replaced leave first; then entries of the failure domains with the fewest voters join.
std::optional<voter_set> NextVoters(const voter_set& present, const entry_registry& entries);

}  // namespace wagtail
