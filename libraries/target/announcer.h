#pragma once

#include "absl/status/statusor.h"
#include "membership/target_row.h"
#include "table/table.h"

/// @file
/// Records the lives of a target's daemon in the platform's table, so that every incarnation that
/// could have been given work is known to have existed.

namespace wagtail {

/// Writes a new incarnation: one more than the row holds.
/// @param wanted the row without incarnation number
/// @return the row as written, or a table or membership error; after kOutcomeUnknown simply
///   announce again, which takes a further number
absl::StatusOr<recorded_target_row> Announce(table& table, const target_row& wanted);

/// Marks the incarnation as ended in good order, unless a newer one has been announced.
absl::Status Retire(table& table, const recorded_target_row& announced);

}  // namespace wagtail
