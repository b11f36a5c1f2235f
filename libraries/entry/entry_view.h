#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "configuration/configuration.h"

namespace wagtail {

/// Snapshot of the entry's state for the threads that serve requests. Immutable; each change
/// publishes a new one.
struct entry_view {
  configuration current;
  /// Team and operator names by token digest.
  absl::flat_hash_map<std::string, std::string> team_of_token;
  absl::flat_hash_map<std::string, std::string> operator_of_token;
  bool stopping = false;

  /// @return whether requests may be served: a configuration is known and no stop has begun
  bool is_ready() const { return current.version > 0 && !stopping; }
};

/// Builds the view for a configuration.
entry_view MakeEntryView(const configuration& current, bool stopping);

}  // namespace wagtail
