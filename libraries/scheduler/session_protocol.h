#pragma once

#include <algorithm>
#include <optional>
#include <string>

namespace wagtail::leased {

/// Versions of the session protocol that one end can speak. docs/COMPATIBILITY.md says what each
/// version added and how long it is kept.
struct protocol_range {
  unsigned oldest = 1;
  unsigned newest = 1;
  bool operator==(const protocol_range&) const = default;
};

/// Versions that this build speaks. Version 1 is that of peers that state none.
inline constexpr protocol_range kSessionProtocols{.oldest = 1, .newest = 2};

/// @return the newest version that both ends speak, or nothing if there is none
constexpr std::optional<unsigned> CommonProtocol(const protocol_range& ours,
                                                 const protocol_range& theirs) {
  unsigned newest = std::min(ours.newest, theirs.newest);
  unsigned oldest = std::max(ours.oldest, theirs.oldest);
  return oldest <= newest ? std::optional(newest) : std::nullopt;
}

/// @return for instance "1-2"
inline std::string ProtocolText(const protocol_range& range) {
  return std::to_string(range.oldest) + "-" + std::to_string(range.newest);
}

/// The program at the other end of a session.
struct peer_build {
  protocol_range protocols{};
  std::string build{};  ///< version and commit; empty from peers of protocol 1
};

}  // namespace wagtail::leased
