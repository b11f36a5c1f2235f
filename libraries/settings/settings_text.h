#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "settings/object_reader.h"
#include "settings/settings_error.h"
#include "settings/settings_problem.h"

/// @file
/// Settings and operators' texts: JSON with comments, validated against a schema that the code
/// defines by reading each key from an object_reader. One pass reports every problem of a text.

namespace wagtail {

/// Largest text that is read, in bytes.
inline constexpr size_t kMaxSettingsBytes = 4 << 20;

/// Parses `text` and hands its outermost object to `read`.
/// @param text JSON with // and /* */ comments
/// @param file_name named in messages
/// @param read reads every key of the schema
/// @return OK, or settings_error::kSyntax with line and column, or settings_error::kInvalid with
///   one line per problem
absl::Status ReadSettings(std::string_view text, std::string_view file_name,
                          const object_reader::object_hook& read);

/// @return the whole text of `path`, or settings_error::kUnreadable
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

/// ReadSettings over the text of the file `path`.
absl::Status ReadSettingsFile(const std::string& path, const object_reader::object_hook& read);

}  // namespace wagtail
