#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/layer_error.h"

/// @file
/// Interface of the platform's transactional table service: text rows under keys, a revision that
/// grows with each committed transaction, and conditional writes.

namespace wagtail {

enum class table_error {
  kConflict = 1,        ///< a condition did not hold; nothing was written
  kUnavailable = 2,     ///< the service refused or was not reached; nothing was written
  kOutcomeUnknown = 3,  ///< the answer was lost; the write may or may not have taken effect
  kBadAnswer = 4,       ///< the service sent a malformed answer
};

template <>
struct layer_error_traits<table_error> {
  static constexpr std::string_view kLayer = "wagtail/table";
  static absl::StatusCode CanonicalCode(table_error error) {
    switch (error) {
      case table_error::kConflict:
        return absl::StatusCode::kAborted;
      case table_error::kUnavailable:
        return absl::StatusCode::kUnavailable;
      case table_error::kOutcomeUnknown:
        return absl::StatusCode::kUnknown;
      case table_error::kBadAnswer:
        return absl::StatusCode::kInternal;
    }
    return absl::StatusCode::kInternal;
  }
};

struct table_row {
  std::string key{};
  uint64_t revision = 0;               ///< of the transaction that last wrote the row
  std::optional<std::string> value{};  ///< empty when that transaction erased the row
  bool is_readable = true;             ///< if not, the row exists and its value is unknown
  bool operator==(const table_row&) const = default;
};

/// Rows under a prefix that changed after a revision, including erased rows.
struct table_changes {
  uint64_t revision = 0;  ///< of the table when it was read
  std::vector<table_row> rows{};
};

struct table_condition {
  std::string key{};
  uint64_t revision = 0;  ///< the row's revision must be this; 0: the row must not exist
  bool operator==(const table_condition&) const = default;
};

struct table_write {
  std::string key{};
  std::optional<std::string> value{};  ///< empty erases the row
  bool operator==(const table_write&) const = default;
};

/// All writes take effect atomically if every condition holds, otherwise none does.
struct table_transaction {
  std::vector<table_condition> conditions{};
  std::vector<table_write> writes{};
  bool operator==(const table_transaction&) const = default;
};

/// Client of the table. Implementations are safe to call from several threads; calls block.
class table {
 public:
  virtual ~table() = default;
  /// @param prefix prefix of the keys; empty for all
  /// @param after returns only rows changed after this revision; 0 returns all existing rows
  virtual absl::StatusOr<table_changes> Read(std::string_view prefix, uint64_t after) = 0;
  /// @return the revision of the committed transaction, or a table_error
  virtual absl::StatusOr<uint64_t> Commit(const table_transaction& transaction) = 0;
};

}  // namespace wagtail
