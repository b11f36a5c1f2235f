#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "table/table.h"

/// @file
/// The table as rows in memory. Its outages are those of the way to it.

namespace wagtail {

class table_fake {
 public:
  table_changes Read(uint64_t after) const {
    table_changes changes{revision_, {}};
    for (const auto& [key, row] : rows_) {
      if (row.revision > after) {
        changes.rows.push_back(row);
      }
    }
    return changes;
  }

  /// @return the new revision, or empty if a condition did not hold
  std::optional<uint64_t> Commit(const table_transaction& transaction) {
    auto holds = [this](const table_condition& condition) {
      auto found = rows_.find(condition.key);
      return condition.revision == (found == rows_.end() ? 0 : found->second.revision);
    };
    if (!std::ranges::all_of(transaction.conditions, holds)) {
      return std::nullopt;
    }
    ++revision_;
    for (const auto& write : transaction.writes) {
      rows_[write.key] = {write.key, revision_, write.value};
    }
    return revision_;
  }

 private:
  uint64_t revision_ = 0;
  std::map<std::string, table_row> rows_;
};

}  // namespace wagtail
