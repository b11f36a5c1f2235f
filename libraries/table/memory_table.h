#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "table/table.h"

namespace wagtail {

enum class table_operation { kRead, kCommit };

/// Fault that a hook injects into one operation.
enum class table_fault {
  kNone,
  kRefuse,       ///< nothing takes effect; kUnavailable
  kLoseRequest,  ///< nothing takes effect; kOutcomeUnknown for a commit
  kLoseAnswer,   ///< a commit takes effect but returns kOutcomeUnknown
};

/// Called before each operation without the table's lock; may block.
using table_fault_hook = std::function<table_fault(table_operation)>;

/// In-memory table for tests and for stand-ins of the platform. Erased rows are kept for the
/// lifetime of the table.
class memory_table : public table {
 public:
  /// @param faults selects the fault of each operation; none by default
  explicit memory_table(table_fault_hook faults = {});

  absl::StatusOr<table_changes> Read(std::string_view prefix, uint64_t after) override;
  absl::StatusOr<uint64_t> Commit(const table_transaction& transaction) override;

 private:
  table_fault FaultFor(table_operation operation) const;
  bool Holds(const table_condition& condition) const;

  table_fault_hook faults_;
  std::mutex mutex_;
  uint64_t revision_ = 0;
  std::map<std::string, table_row, std::less<>> rows_;
};

}  // namespace wagtail
