#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/identifiers.h"
#include "membership/row_registry.h"

/// @file
/// The entries that registered themselves in the table.

namespace wagtail {

/// Prefix of the keys of entry rows.
inline constexpr std::string_view kEntryPrefix = "entry/";

enum class entry_state {
  kServing,
  kStopped,  ///< written by the entry itself as its last act: it answers no poll from then on
};

/// Value of the row `entry/NAME`.
struct entry_row {
  std::string name;
  entry_incarnation incarnation;
  std::string http_address;  ///< HOST:PORT
  std::string rpc_address;   ///< HOST:PORT
  std::string failure_domain;
  entry_state state = entry_state::kServing;
  /// Earlier lives of this name that had written that they stopped, the latest last. Readers may
  /// not have seen those rows before they were overwritten.
  std::vector<entry_incarnation> stopped_before{};
  bool operator==(const entry_row&) const = default;
};

/// Earlier lives that a row remembers.
inline constexpr std::size_t kMostStoppedLives = 16;

/// The row with which a new life of an entry registers. To be written on condition that the row's
/// revision is still that of `previous`.
/// @param wanted the entry as it is
/// @param previous the row in the table, if any
entry_row NextRegistration(const entry_row& wanted, const std::optional<entry_row>& previous);
/// The row by which an operator vouches that an earlier life of the name has ended. To be written
/// on condition that the row's revision is still that of `present`.
entry_row WithStoppedLife(const entry_row& present, entry_incarnation ended);
/// @return the incarnations that the row shows to have stopped for good
std::vector<entry_incarnation> StoppedLives(const entry_row& row);

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
