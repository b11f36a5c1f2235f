#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/identifiers.h"

/// @file
/// The table row by which a target's daemon announces its target.
///
/// Rows are never erased while ids minted during their time may still come back: what a row says
/// of the past is what recovery goes by. A daemon that stops overwrites its row as retired.

namespace wagtail {

/// Prefix of the keys of target rows.
inline constexpr std::string_view kTargetPrefix = "target/";

enum class announcement_state { kAnnounced, kRetired };

/// Value of the row `target/NAME`.
struct target_row {
  target_incarnation incarnation;
  std::string service;
  std::string failure_domain;
  std::string address;  ///< where entries reach the target's daemon, HOST:PORT
  uint32_t slots = 1;   ///< tasks the target runs at once
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;  ///< empty for none
  announcement_state state = announcement_state::kAnnounced;
  uint64_t first_revision = 0;     ///< table revision of the name's first row; 0: this is it
  uint64_t previous_revision = 0;  ///< table revision of the row overwritten; 0: none
  bool operator==(const target_row&) const = default;
};

/// A row with the table revision that wrote it.
struct recorded_target_row {
  target_row row;
  uint64_t revision = 0;
};

/// @return the key of a target's row
std::string TargetKey(std::string_view target);
/// @return the value for the table
std::string Serialise(const target_row& row);
/// @param key of the row; must name the target that the value names
/// @return the row, or membership_error::kBadKey or kBadRow
absl::StatusOr<target_row> ParseTargetRow(std::string_view key, std::string_view value);

/// The row with which a new life of a daemon announces itself. To be written on condition that the
/// row's revision is still that of `previous`.
/// @param wanted everything but incarnation number and revisions
/// @param previous the row in the table, if any
/// @return the row to write, or membership_error::kBadChange if the service would change: a worker
///   put to another use announces under another name
absl::StatusOr<target_row> NextAnnouncement(const target_row& wanted,
                                            const std::optional<recorded_target_row>& previous);

/// The row with which a daemon retires itself as it stops.
/// @param announced its announcement as it stands in the table
target_row Retirement(const recorded_target_row& announced);

}  // namespace wagtail
