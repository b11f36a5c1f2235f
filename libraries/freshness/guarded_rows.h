#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "membership/voter_set.h"
#include "table/table.h"

/// @file
/// The two table rows whose newest state every process has to know: the configuration and the
/// voters. They are read, handed on and counted together.

namespace wagtail {

/// Key of the table row that holds the operators' text.
inline constexpr std::string_view kConfigurationRowKey = "configuration";
static_assert(kVotersKey.starts_with(kConfigurationRowKey), "one read brings both rows");

struct guarded_row {
  std::string text;       ///< value in the table; empty if erased or never written
  uint64_t revision = 0;  ///< of the transaction that wrote it; 0: never written
};

struct guarded_rows {
  guarded_row configuration;
  guarded_row voters;

  /// @return the table revision that last wrote either row. Of two states of the rows, the one
  ///   with the higher version is the later one.
  uint64_t version() const { return std::max(configuration.revision, voters.revision); }

  /// Takes over each row that is newer in `other`.
  void Merge(const guarded_rows& other) {
    TakeNewer(configuration, other.configuration);
    TakeNewer(voters, other.voters);
  }

  /// Takes over what a read of the table brought; other rows are skipped.
  void Merge(const table_changes& changes) {
    for (const auto& row : changes.rows) {
      if (row.key == kConfigurationRowKey) {
        TakeNewer(configuration, {row.value.value_or(""), row.revision});
      } else if (row.key == kVotersKey) {
        TakeNewer(voters, {row.value.value_or(""), row.revision});
      }
    }
  }

 private:
  static void TakeNewer(guarded_row& held, const guarded_row& other) {
    if (other.revision > held.revision) {
      held = other;
    }
  }
};

}  // namespace wagtail
