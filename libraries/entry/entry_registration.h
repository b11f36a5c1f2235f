#pragma once

#include "absl/status/status.h"
#include "membership/entry_registry.h"
#include "table/table.h"

namespace wagtail {

/// Writes an entry's row; blocks. A stopping entry overwrites only its own row, so that a late stop
/// never replaces the row of its successor.
/// @param wanted the row to write
/// @return OK, or a table or membership error; failed precondition when the row belongs to a
///   successor
absl::Status RegisterEntry(table& table, const entry_row& wanted);

}  // namespace wagtail
