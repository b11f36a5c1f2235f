#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/identifiers.h"
#include "membership/row_registry.h"

/// @file
/// Registry of the entries that are registered in the table.

namespace wagtail {

/// Prefix of the keys of entry rows.
inline constexpr std::string_view kEntryPrefix = "entry/";

enum class entry_state {
  kServing,
  kStopped,  ///< written by the entry itself on shutdown
};

/// Value of the row `entry/NAME`.
struct entry_row {
  std::string name;
  entry_incarnation incarnation;
  std::string http_address;  ///< HOST:PORT
  std::string rpc_address;   ///< HOST:PORT
  std::string failure_domain;
  entry_state state = entry_state::kServing;
  bool operator==(const entry_row&) const = default;
};

/// @return the key of an entry's row
std::string EntryKey(std::string_view name);
/// @return the value for the table
std::string Serialise(const entry_row& row);
/// @return the row, or membership_error::kBadKey or kBadRow
absl::StatusOr<entry_row> ParseEntryRow(std::string_view key, std::string_view value);

template <>
struct row_traits<entry_row> {
  static constexpr std::string_view kPrefix = kEntryPrefix;
  static absl::StatusOr<entry_row> Parse(std::string_view key, std::string_view value) {
    return ParseEntryRow(key, value);
  }
  static bool IsPresent(const entry_row& row) { return row.state == entry_state::kServing; }
};

using entry_registry = row_registry<entry_row>;
using entry_event = row_event<entry_row>;

}  // namespace wagtail
