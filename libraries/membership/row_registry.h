#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "base/layer_error.h"
#include "table/table.h"

/// @file
/// Tracks the table rows under one prefix, with which processes register themselves.

namespace wagtail {

/// Specialised for each type of row with:
///   static constexpr std::string_view kPrefix;
///   static absl::StatusOr<Row> Parse(std::string_view key, std::string_view value);
///   static bool IsPresent(const Row& row);
template <typename Row>
struct row_traits;

enum class row_event_kind {
  kAdded,      ///< a name that was absent is present
  kReplaced,   ///< a new incarnation replaced the previous one
  kUpdated,    ///< the same incarnation, with changed properties
  kRemoved,    ///< the process stopped, or its row is erased or unreadable
  kMalformed,  ///< the row can't be parsed; follows kRemoved if the name was present
};

template <typename Row>
struct row_event {
  row_event_kind kind = row_event_kind::kAdded;
  std::string name;
  std::optional<Row> row;       ///< the new row; the last one for kRemoved; empty for kMalformed
  std::optional<Row> previous;  ///< for kReplaced and kUpdated
  std::string message;          ///< for kMalformed
};

enum class row_condition { kReadable, kErased, kMalformed };

/// Latest state of one row, readable or not.
template <typename Row>
struct row_record {
  row_condition condition = row_condition::kErased;
  std::optional<Row> row;  ///< set if readable
  uint64_t revision = 0;   ///< of the transaction that wrote or erased the row
};

/// Registry of the rows of one type. Duplicate or late rows are ignored; malformed ones are
/// reported and count as absent.
template <typename Row>
class row_registry {
 public:
  using record = row_record<Row>;
  using event = row_event<Row>;
  using traits = row_traits<Row>;

  /// @param changes result of a read that started from revision(); rows of other types are skipped
  /// @return the resulting events, in the order of the rows
  std::vector<event> OnChanges(const table_changes& changes) {
    std::vector<event> events;
    for (const auto& row : changes.rows) {
      OnRow(row, events);
    }
    revision_ = std::max(revision_, changes.revision);
    return events;
  }

  /// @return the table revision up to which rows were read; the `after` of the next read
  uint64_t revision() const { return revision_; }

  /// @return the record of a name, also of an absent one, or null if it was never seen
  const record* Find(std::string_view name) const {
    auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
  }

  /// @return the rows that are present, in the order of their names
  std::vector<Row> Present() const {
    std::vector<Row> present;
    for (const auto& [name, known] : records_) {
      if (IsPresent(known)) {
        present.push_back(*known.row);
      }
    }
    return present;
  }

  /// @return the records of all names ever seen, including absent ones
  const std::map<std::string, record, std::less<>>& records() const { return records_; }

 private:
  static bool IsPresent(const record& known) {
    return known.row.has_value() && traits::IsPresent(*known.row);
  }

  static std::optional<event> EventBetween(const std::string& name, const record& before,
                                           const record& after) {
    if (!IsPresent(after)) {
      return IsPresent(before)
                 ? std::optional(event{row_event_kind::kRemoved, name, before.row, {}, {}})
                 : std::nullopt;
    }
    if (!IsPresent(before)) {
      return event{row_event_kind::kAdded, name, after.row, {}, {}};
    }
    bool is_same_incarnation = before.row->incarnation == after.row->incarnation;
    auto kind = is_same_incarnation ? row_event_kind::kUpdated : row_event_kind::kReplaced;
    return event{kind, name, after.row, before.row, {}};
  }

  void OnRow(const table_row& row, std::vector<event>& events) {
    if (!row.key.starts_with(traits::kPrefix)) {
      return;
    }
    std::string name = row.key.substr(traits::kPrefix.size());
    record& known = records_[name];
    if (row.revision <= known.revision) {
      return;
    }
    record after;
    absl::Status status = ReadInto(row, after);
    if (auto change = EventBetween(name, known, after)) {
      events.push_back(*std::move(change));
    }
    if (!status.ok()) {
      events.push_back({row_event_kind::kMalformed, name, {}, {}, MessageOf(status)});
    }
    known = std::move(after);
  }

  static absl::Status ReadInto(const table_row& row, record& result) {
    result.revision = row.revision;
    if (!row.value) {
      return absl::OkStatus();
    }
    auto parsed = traits::Parse(row.key, *row.value);
    if (!parsed.ok()) {
      result.condition = row_condition::kMalformed;
      return parsed.status();
    }
    result.condition = row_condition::kReadable;
    result.row = *std::move(parsed);
    return absl::OkStatus();
  }

  uint64_t revision_ = 0;
  std::map<std::string, record, std::less<>> records_;
};

}  // namespace wagtail
