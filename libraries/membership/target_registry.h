#pragma once

#include <string_view>

#include "membership/row_registry.h"
#include "membership/target_row.h"

/// @file
/// Registry of the announced targets, read incrementally from the table.

namespace wagtail {

template <>
struct row_traits<target_row> {
  static constexpr std::string_view kPrefix = kTargetPrefix;
  static absl::StatusOr<target_row> Parse(std::string_view key, std::string_view value) {
    return ParseTargetRow(key, value);
  }
  static bool IsPresent(const target_row& row) {
    return row.state == announcement_state::kAnnounced;
  }
};

using target_registry = row_registry<target_row>;
using target_event = row_event<target_row>;
using target_record = row_record<target_row>;

}  // namespace wagtail
