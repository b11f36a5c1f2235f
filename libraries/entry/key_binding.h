#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "table/table.h"

/// @file
/// Binds callers' own idempotency keys to job ids, through the table: one conditional write per
/// key. A key is remembered for kKeyLife; a submission that comes later is a new one.

namespace wagtail {

/// How long a caller's own key is remembered.
inline constexpr std::chrono::hours kKeyLife{24};
/// Longest key, in bytes.
inline constexpr size_t kMaxKeyBytes = 256;

struct key_binding {
  std::string job_id;      ///< as minted for the first submission with the key
  uint64_t digest = 0;     ///< of that submission's body
  int64_t bound_at_s = 0;  ///< wall time in seconds since 1970
};

/// Finds the binding of a key or makes it; blocks.
/// @param wanted the binding to make if there is none
/// @return the binding that holds, `wanted` or an earlier one, or a table error
absl::StatusOr<key_binding> BindKey(table& table, std::string_view team, std::string_view key,
                                    const key_binding& wanted);

/// Erases bindings older than kKeyLife; blocks.
/// @param now_s wall time in seconds since 1970
/// @return how many were erased, or a table error
absl::StatusOr<size_t> SweepKeys(table& table, int64_t now_s);

}  // namespace wagtail
