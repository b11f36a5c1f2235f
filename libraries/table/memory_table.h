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

/// What a fault hook makes of one operation.
enum class table_fault {
  kNone,
  kRefuse,       ///< nothing takes effect; kUnavailable
  kLoseRequest,  ///< nothing takes effect; kOutcomeUnknown for a commit
  kLoseAnswer,   ///< a commit takes effect; kOutcomeUnknown all the same
};

/// Consulted before each operation, outside the table's lock: it may also block.
using table_fault_hook = std::function<table_fault(table_operation)>;

/// The table held in this process, for tests and for stand-ins of the platform. Rows that were
/// erased are remembered for as long as the table lives.
class memory_table : public table {
 public:
  /// @param faults decides what goes wrong; none by default
  explicit memory_table(table_fault_hook faults = {});

  absl::StatusOr<table_changes> Read(std::string_view prefix, uint64_t after) override;
  absl::StatusOr<uint64_t> Commit(const table_transaction& transaction) override;

 private:
  table_fault FaultOf(table_operation operation) const;
  bool Holds(const table_condition& condition) const;

  table_fault_hook faults_;
  std::mutex mutex_;
  uint64_t revision_ = 0;
  std::map<std::string, table_row, std::less<>> rows_;
};

}  // namespace wagtail
