#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "configuration/configuration.h"
#include "configuration/configuration_change.h"
#include "configuration/configuration_error.h"

namespace wagtail {

/// The accepted configuration as stored in one row of the table.
struct configuration_record {
  uint64_t version = 0;  ///< 0: none accepted yet
  std::string text;      ///< the operators' text as applied, comments included
  std::set<std::string, std::less<>> leaving_failure_domains;
  std::set<std::string, std::less<>> leaving_targets;
  std::string change_id;  ///< of the change that made this version
  std::string author;     ///< of that change
  bool operator==(const configuration_record&) const = default;
};

/// @param record with all texts in UTF-8, as Apply() ensures
/// @return JSON
std::string Serialize(const configuration_record& record);

/// @return the record, or configuration_error::kInvalidRecord
absl::StatusOr<configuration_record> ParseConfigurationRecord(std::string_view text);

/// Converts a record to the form that the daemons use.
/// @return version, parsed text and leaving marks, or configuration_error::kInvalidText
absl::StatusOr<configuration> ConfigurationOf(const configuration_record& record);

/// Makes the next version. Leaving marks survive a change of the text, even for a failure domain
/// that the new text no longer names, so that no text returns a leaving failure domain to service.
/// @param current the version in force
/// @param change the requested change, with its author
/// @return the next record, or configuration_error: kAlreadyApplied, kStaleBase, kInvalidText,
///   kUnknownDomain, kBadSubject, kTooMany, kNoChange
absl::StatusOr<configuration_record> Apply(const configuration_record& current,
                                           const configuration_change& change);

}  // namespace wagtail
