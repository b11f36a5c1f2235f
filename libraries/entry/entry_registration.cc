#include "entry/entry_registration.h"

#include <algorithm>
#include <optional>

#include "base/try.h"

namespace wagtail {

namespace {

struct present_row {
  std::optional<entry_row> row;
  uint64_t revision = 0;  ///< 0: no row
};

absl::StatusOr<present_row> ReadRow(table& table, const std::string& key) {
  table_changes changes = TRY(table.Read(key, 0));
  auto row = std::ranges::find(changes.rows, key, &table_row::key);
  present_row present;
  if (row != changes.rows.end() && row->value.has_value()) {
    present.row = TRY(ParseEntryRow(key, *row->value));
    present.revision = row->revision;
  }
  return present;
}

absl::Status WriteRow(table& table, const std::string& key, uint64_t expected,
                      const entry_row& row) {
  table_transaction write;
  write.conditions.push_back({.key = key, .revision = expected});
  write.writes.push_back({.key = key, .value = Serialise(row)});
  TRY(table.Commit(write));
  return absl::OkStatus();
}

}  // namespace

absl::Status RegisterEntry(table& table, const entry_row& wanted) {
  std::string key = EntryKey(wanted.name);
  present_row present = TRY(ReadRow(table, key));
  bool is_own = present.row.has_value() && present.row->incarnation == wanted.incarnation;
  if (wanted.state == entry_state::kStopped && !is_own) {
    return absl::FailedPreconditionError("the row belongs to another incarnation");
  }
  return WriteRow(table, key, present.revision, wanted);
}

}  // namespace wagtail
