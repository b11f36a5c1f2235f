#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "table/table.h"

/// @file
/// Binds callers' idempotency keys to job ids with one conditional table write per key. A key is
/// kept for kKeyLifetime; a later submission with the same key is a new one.

namespace wagtail {

/// How long an idempotency key is kept.
inline constexpr std::chrono::hours kKeyLifetime{24};
/// Maximum length of a key, in bytes.
inline constexpr size_t kMaxKeyBytes = 256;

struct key_binding {
  std::string job_id;      ///< minted for the first submission with the key
  uint64_t digest = 0;     ///< of that submission's body
  int64_t bound_at_s = 0;  ///< wall time in seconds since 1970
};

/// Finds or creates the binding of a key; blocks.
/// @param wanted the binding to create if there is none
/// @return the stored binding, `wanted` or an earlier one, or a table error
absl::StatusOr<key_binding> BindKey(table& table, std::string_view team, std::string_view key,
                                    const key_binding& wanted);

/// Erases bindings older than kKeyLifetime; blocks.
/// @param now_s wall time in seconds since 1970
/// @return the number of erased bindings, or a table error
absl::StatusOr<size_t> SweepKeys(table& table, int64_t now_s);

}  // namespace wagtail
