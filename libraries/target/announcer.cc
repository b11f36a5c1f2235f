#include "target/announcer.h"

#include <algorithm>
#include <utility>

#include "base/try.h"

namespace wagtail {

absl::StatusOr<recorded_target_row> Announce(table& table, const target_row& wanted) {
  std::string key = TargetKey(wanted.incarnation.target);
  table_changes current = TRY(table.Read(key, 0));
  auto existing = std::ranges::find(current.rows, key, &table_row::key);
  std::optional<recorded_target_row> previous;
  if (existing != current.rows.end() && existing->value.has_value()) {
    target_row row = TRY(ParseTargetRow(key, *existing->value));
    previous = recorded_target_row{.row = std::move(row), .revision = existing->revision};
  }
  target_row row = TRY(NextAnnouncement(wanted, previous));
  uint64_t expected = previous.has_value() ? previous->revision : 0;
  table_transaction write{.conditions = {{.key = key, .revision = expected}},
                          .writes = {{.key = key, .value = Serialise(row)}}};
  uint64_t revision = TRY(table.Commit(write));
  return recorded_target_row{.row = std::move(row), .revision = revision};
}

absl::Status Retire(table& table, const recorded_target_row& announced) {
  std::string key = TargetKey(announced.row.incarnation.target);
  table_transaction write{.conditions = {{.key = key, .revision = announced.revision}},
                          .writes = {{.key = key, .value = Serialise(Retirement(announced))}}};
  TRY(table.Commit(write));
  return absl::OkStatus();
}

}  // namespace wagtail
