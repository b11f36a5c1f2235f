#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtail {

/// One invalid value of a text.
struct settings_problem {
  std::string path;     ///< JSON pointer, for instance /services/lighting/task_timeout_ms
  std::string value;    ///< the value found, shortened; empty when it is missing
  std::string allowed;  ///< description of the allowed values
  bool operator==(const settings_problem&) const = default;
};

using settings_problems = std::vector<settings_problem>;

/// Longest piece of the user's text that is repeated in a message, in bytes.
inline constexpr size_t kMaxShownBytes = 80;
/// Problems listed in one message; the rest are counted.
inline constexpr size_t kMaxShownProblems = 50;

/// Escapes control characters and truncates to kMaxShownBytes at a character boundary.
/// @param text valid UTF-8
std::string Shown(std::string_view text);

/// @return `path` extended by `key`, escaped as a JSON pointer
std::string ChildPath(std::string_view path, std::string_view key);

/// @return `file: path: value ...; allowed: ...`
std::string ToString(const settings_problem& problem, std::string_view file_name);

/// @return one line per problem, at most kMaxShownProblems of them
std::string ToString(const settings_problems& problems, std::string_view file_name);

}  // namespace wagtail
