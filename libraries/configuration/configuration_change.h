#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "configuration/configuration_error.h"

namespace wagtail {

enum class change_kind { kApplyText, kLeaveDomain, kReturnDomain, kLeaveTarget, kReturnTarget };

/// @return the name used in requests and records, for instance "leave_domain"
std::string_view ToString(change_kind kind);
/// @return the kind with that name, or nothing if the name is unknown
std::optional<change_kind> ChangeKindOf(std::string_view name);

/// A change requested by an operator. Idempotent: sending it twice has the effect of sending it
/// once.
struct configuration_change {
  std::string change_id;      ///< chosen by the operator's tool, unique per change
  std::string author;         ///< name of the operator; from the token, not from the request
  uint64_t base_version = 0;  ///< the version that the change is based on
  change_kind kind = change_kind::kApplyText;
  std::string text;     ///< the operators' text, for kApplyText only
  std::string subject;  ///< failure domain or target, for the other kinds
  bool operator==(const configuration_change&) const = default;
};

/// @return the body of POST /v1/operator/changes, without the author
std::string SerializeChangeRequest(const configuration_change& change);

/// @return the change without an author, or configuration_error::kInvalidRecord
absl::StatusOr<configuration_change> ParseChangeRequest(std::string_view body);

}  // namespace wagtail
