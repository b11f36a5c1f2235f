#pragma once

#include "absl/status/status.h"
#include "membership/entry_registry.h"
#include "table/table.h"

namespace wagtail {

/// Writes an entry's row; blocks. An entry that stops writes only over its own row, so that a late
/// stop never takes the place of its successor.
/// @param wanted the entry as it is, or as it ends
/// @return OK, or a table or membership error; failed precondition when the row belongs to a
///   successor
absl::Status RegisterEntry(table& table, const entry_row& wanted);

}  // namespace wagtail
