#include "table/memory_table.h"

#include <algorithm>
#include <utility>

namespace wagtail {

memory_table::memory_table(table_fault_hook faults) : faults_(std::move(faults)) {}

table_fault memory_table::FaultFor(table_operation operation) const {
  return faults_ ? faults_(operation) : table_fault::kNone;
}

absl::StatusOr<table_changes> memory_table::Read(std::string_view prefix, uint64_t after) {
  if (FaultFor(table_operation::kRead) != table_fault::kNone) {
    return MakeError(table_error::kUnavailable, "table not reached");
  }
  std::lock_guard lock(mutex_);
  table_changes changes{.revision = revision_};
  for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
    if (!row->first.starts_with(prefix)) {
      break;
    }
    bool matches = after == 0 ? row->second.value.has_value() : row->second.revision > after;
    if (matches) {
      changes.rows.push_back(row->second);
    }
  }
  return changes;
}

absl::StatusOr<uint64_t> memory_table::Commit(const table_transaction& transaction) {
  table_fault fault = FaultFor(table_operation::kCommit);
  if (fault == table_fault::kRefuse) {
    return MakeError(table_error::kUnavailable, "table refused");
  }
  if (fault == table_fault::kLoseRequest) {
    return MakeError(table_error::kOutcomeUnknown, "answer lost");
  }
  std::lock_guard lock(mutex_);
  bool holds = std::ranges::all_of(transaction.conditions,
                                   [this](const auto& condition) { return Holds(condition); });
  if (holds && !transaction.writes.empty()) {
    ++revision_;
    for (const table_write& write : transaction.writes) {
      rows_.insert_or_assign(
          write.key, table_row{.key = write.key, .revision = revision_, .value = write.value});
    }
  }
  if (fault == table_fault::kLoseAnswer) {
    return MakeError(table_error::kOutcomeUnknown, "answer lost");
  }
  if (!holds) {
    return MakeError(table_error::kConflict, "a condition did not hold");
  }
  return revision_;
}

bool memory_table::Holds(const table_condition& condition) const {
  auto row = rows_.find(condition.key);
  bool exists = row != rows_.end() && row->second.value.has_value();
  return exists ? row->second.revision == condition.revision : condition.revision == 0;
}

}  // namespace wagtail
