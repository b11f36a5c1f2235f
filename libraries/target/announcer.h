#pragma once

#include "absl/status/statusor.h"
#include "membership/target_row.h"
#include "table/table.h"

/// @file
/// Records the incarnations of a target's daemon in the platform's table, so that recovery finds
/// every incarnation that could have received work.

namespace wagtail {

/// Writes a row with a new incarnation number: one more than the stored row has.
/// @param wanted the row without incarnation number
/// @return the row as written, or a table or membership error; after kOutcomeUnknown the caller
///   may announce again, which uses up a further number
absl::StatusOr<recorded_target_row> Announce(table& table, const target_row& wanted);

/// Marks the incarnation as shut down cleanly, unless a newer one has been announced.
absl::Status Retire(table& table, const recorded_target_row& announced);

}  // namespace wagtail
