#include "settings/settings_text.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "settings/duplicate_key_finder.h"

namespace wagtail {

namespace {

using nlohmann::json;

struct text_position {
  size_t line = 1;
  size_t column = 1;
};

/// @param byte number of bytes read when the error was found, 1 for the first
text_position PositionOf(std::string_view text, size_t byte) {
  const std::string_view before = text.substr(0, byte == 0 ? 0 : std::min(byte - 1, text.size()));
  const size_t last_break = before.rfind('\n');
  const size_t line_start = last_break == std::string_view::npos ? 0 : last_break + 1;
  return {.line = 1 + static_cast<size_t>(std::ranges::count(before, '\n')),
          .column = 1 + before.size() - line_start};
}

/// Strips the library's own prefix, which repeats the position, from its message.
std::string_view ReasonOf(std::string_view what) {
  const size_t colon = what.find(": ");
  return colon == std::string_view::npos ? what : what.substr(colon + 2);
}

absl::Status SyntaxError(std::string_view text, std::string_view file_name, size_t byte,
                         std::string_view what) {
  const text_position position = PositionOf(text, byte);
  return MakeError(settings_error::kSyntax,
                   absl::StrCat(std::string(file_name), ":", position.line, ":", position.column,
                                ": not JSON with comments: ", Shown(ReasonOf(what))));
}

bool IsUtf8Text(std::string_view line) {
  try {
    // The serializer checks what the parser leaves unchecked inside comments.
    const std::string quoted = json(line).dump();
    return line.find('\0') == std::string_view::npos;
  } catch (const json::type_error& /*error*/) {
    return false;
  }
}

/// Rejects bytes that the parser would skip or stop at, but that a copy of the text may not
/// contain.
absl::Status CheckBytes(std::string_view text, std::string_view file_name) {
  size_t line_number = 1;
  for (size_t start = 0; start <= text.size(); ++line_number) {
    const size_t end = std::min(text.find('\n', start), text.size());
    if (!IsUtf8Text(text.substr(start, end - start))) {
      return MakeError(settings_error::kSyntax,
                       absl::StrCat(std::string(file_name), ":", line_number,
                                    ":1: not UTF-8 text without NUL characters"));
    }
    start = end + 1;
  }
  return absl::OkStatus();
}

absl::StatusOr<json> ParseJson(std::string_view text, std::string_view file_name,
                               duplicate_key_finder* duplicates) {
  const auto see = [duplicates](int /*depth*/, json::parse_event_t event, json& parsed) {
    duplicates->OnEvent(event, parsed);
    return true;
  };
  constexpr bool kAllowExceptions = true;
  constexpr bool kIgnoreComments = true;
  try {
    return json::parse(text, see, kAllowExceptions, kIgnoreComments);
  } catch (const json::parse_error& error) {
    return SyntaxError(text, file_name, error.byte, error.what());
  } catch (const json::exception& error) {
    // A number that no double can hold is reported without a position.
    return MakeError(settings_error::kSyntax,
                     absl::StrCat(std::string(file_name), ":1:1: ", Shown(error.what())));
  }
}

}  // namespace

absl::Status ReadSettings(std::string_view text, std::string_view file_name,
                          const object_reader::object_hook& read) {
  if (text.size() > kMaxSettingsBytes) {
    return MakeError(settings_error::kInvalid,
                     absl::StrCat(std::string(file_name), ": /: ", text.size(),
                                  " bytes are refused; allowed: at most ", kMaxSettingsBytes));
  }
  TRY(CheckBytes(text, file_name));
  duplicate_key_finder duplicates;
  const json document = TRY(ParseJson(text, file_name, &duplicates));
  settings_problems problems = duplicates.problems();
  object_reader reader(document, "", &problems);
  read(reader);
  reader.Finish();
  if (problems.empty()) {
    return absl::OkStatus();
  }
  return MakeError(settings_error::kInvalid, ToString(problems, file_name));
}

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(settings_error::kUnreadable,
                     absl::StrCat(path, ": cannot be read: ", std::strerror(errno)));
  }
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (file.bad()) {
    return MakeError(settings_error::kUnreadable, absl::StrCat(path, ": reading failed"));
  }
  return text;
}

absl::Status ReadSettingsFile(const std::string& path, const object_reader::object_hook& read) {
  const std::string text = TRY(ReadTextFile(path));
  return ReadSettings(text, path, read);
}

}  // namespace wagtail
