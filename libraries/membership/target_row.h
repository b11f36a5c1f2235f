#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/identifiers.h"

/// @file
/// The table row with which a target's daemon announces its target.
///
/// Rows are never erased while ids minted during their lifetime may still be resubmitted: recovery
/// relies on the history recorded in a row. A daemon that stops overwrites its row as retired.

namespace wagtail {

/// Prefix of the keys of target rows.
inline constexpr std::string_view kTargetPrefix = "target/";

enum class announcement_state { kAnnounced, kRetired };

/// Value of the row `target/NAME`.
struct target_row {
  target_incarnation incarnation;
  std::string service;
  std::string failure_domain;
  std::string address;  ///< address of the target's daemon for entries, HOST:PORT
  uint32_t slots = 1;   ///< tasks that the target runs concurrently
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;  ///< empty for none
  announcement_state state = announcement_state::kAnnounced;
  uint64_t first_revision = 0;     ///< table revision of the name's first row; 0: it is this one
  uint64_t previous_revision = 0;  ///< table revision of the overwritten row; 0: none
  bool operator==(const target_row&) const = default;
};

/// A row with the table revision at which it was written.
struct recorded_target_row {
  target_row row;
  uint64_t revision = 0;
};

/// @return the key of a target's row
std::string TargetKey(std::string_view target);
/// @return the value for the table
std::string Serialise(const target_row& row);
/// @param key key of the row; must contain the name of the target in the value
/// @return the row, or membership_error::kBadKey or kBadRow
absl::StatusOr<target_row> ParseTargetRow(std::string_view key, std::string_view value);

/// Builds the row with which a new incarnation of a daemon announces itself. To be written on
/// condition that the row's revision is still that of `previous`.
/// @param wanted all fields except the incarnation number and the revisions
/// @param previous the current row in the table, if any
/// @return the row to write, or membership_error::kBadChange if the service would change: a VM that
///   is assigned to another service announces under another name
absl::StatusOr<target_row> NextAnnouncement(const target_row& wanted,
                                            const std::optional<recorded_target_row>& previous);

/// Builds the row with which a daemon retires itself when it stops.
/// @param announced its current announcement in the table
target_row Retirement(const recorded_target_row& announced);

}  // namespace wagtail
