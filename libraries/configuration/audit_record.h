#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "configuration/configuration_change.h"
#include "configuration/configuration_error.h"

namespace wagtail {

enum class audit_outcome { kCommitted, kRefused };

/// @return "committed" or "refused"
std::string_view ToString(audit_outcome outcome);

/// One record of the audit trail, written to the table in the transaction that commits the change.
struct audit_record {
  std::string change_id;
  std::string author;
  std::string when;  ///< wall time in RFC 3339; for display only, never compared
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  change_kind kind = change_kind::kApplyText;
  std::string subject;  ///< failure domain or target; empty for a change of the text
  audit_outcome outcome = audit_outcome::kCommitted;
  bool operator==(const audit_record&) const = default;
};

/// @param change committed on top of its base version
/// @param when wall time in RFC 3339
audit_record AuditOfCommitted(const configuration_change& change, std::string_view when);

/// @return JSON
std::string Serialize(const audit_record& record);

/// @return the record, or configuration_error::kInvalidRecord
absl::StatusOr<audit_record> ParseAuditRecord(std::string_view text);

}  // namespace wagtail
