#pragma once

#include <optional>
#include <string>

#include "membership/entry_registry.h"
#include "membership/target_row.h"
#include "table/table.h"

/// @file
/// Rows used by the tests of membership.

namespace wagtail {

inline target_row CourtTarget(const std::string& name) {
  target_row row;
  row.incarnation = {name, 1};
  row.service = "court";
  row.failure_domain = "galle";
  row.address = "127.0.0.1:4000";
  row.slots = 8;
  row.cores = 64;
  row.memory_mb = 131072;
  return row;
}

inline table_row RowOf(const target_row& row, uint64_t revision) {
  return {TargetKey(row.incarnation.target), revision, Serialise(row)};
}

inline entry_row Entry(const std::string& name, uint64_t nonce,
                       const std::string& failure_domain = "galle") {
  return {name, {nonce}, "127.0.0.1:80", "127.0.0.1:81", failure_domain, entry_state::kServing};
}

inline table_row RowOf(const entry_row& row, uint64_t revision) {
  return {EntryKey(row.name), revision, Serialise(row)};
}

}  // namespace wagtail
