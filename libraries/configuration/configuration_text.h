#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "configuration/configuration.h"
#include "configuration/configuration_error.h"
#include "settings/object_reader.h"

namespace wagtail {

/// Rule for names: 1 to kMaxNameBytes of letters, digits, '-', '_' and '.'.
const text_rule& NameRule();

/// @return whether `name` follows NameRule()
bool IsName(std::string_view name);

/// Parses and validates the whole operators' text: types, ranges, unknown keys, missing
/// dependencies, dependency cycles, teams' services, duplicate tokens.
/// @param text JSON with comments, as docs/CONFIGURATION.md describes
/// @param file_name shown in error messages
/// @return the configuration with version 0 and no leaving marks, or
///   configuration_error::kInvalidText with one line per problem
absl::StatusOr<configuration> ParseConfiguration(std::string_view text, std::string_view file_name);

}  // namespace wagtail
