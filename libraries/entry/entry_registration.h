#pragma once

#include <span>
#include <string_view>

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

/// Records an operator's word that lives of an entry have ended for good, so that their votes no
/// longer count; blocks.
/// @param name of the entry
/// @param lives incarnations that ended; the one that the row shows as serving among them only if
///   the entry has not come back under its name
/// @return OK, or a table or membership error; not found when no such entry ever registered
absl::Status VouchEnded(table& table, std::string_view name,
                        std::span<const entry_incarnation> lives);

}  // namespace wagtail
