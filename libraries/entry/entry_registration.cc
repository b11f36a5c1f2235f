#include "entry/entry_registration.h"

#include <algorithm>
#include <optional>

#include "base/try.h"

namespace wagtail {

absl::Status RegisterEntry(table& table, const entry_row& wanted) {
  std::string key = EntryKey(wanted.name);
  table_changes changes = TRY(table.Read(key, 0));
  auto row = std::ranges::find(changes.rows, key, &table_row::key);
  std::optional<entry_row> previous;
  uint64_t revision = 0;
  if (row != changes.rows.end() && row->value.has_value()) {
    entry_row parsed = TRY(ParseEntryRow(key, *row->value));
    previous = std::move(parsed);
    revision = row->revision;
  }
  bool is_own = previous.has_value() && previous->incarnation == wanted.incarnation;
  if (wanted.state == entry_state::kStopped && !is_own) {
    return absl::FailedPreconditionError("the row belongs to another incarnation");
  }
  entry_row next = is_own ? wanted : NextRegistration(wanted, previous);
  if (is_own) {
    next.stopped_before = previous->stopped_before;
  }
  table_transaction write;
  write.conditions.push_back({.key = key, .revision = revision});
  write.writes.push_back({.key = key, .value = Serialise(next)});
  TRY(table.Commit(write));
  return absl::OkStatus();
}

}  // namespace wagtail
