#include "logging/fact_format.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "absl/time/time.h"

namespace wagtail {

namespace {

using ordered_json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 3> kReservedNames = {"time", "level", "fact"};

/// ASCII only, since the locale of a daemon may not be UTF-8; bytes that are not UTF-8 are
/// replaced.
std::string DumpAscii(const ordered_json& value) {
  constexpr int kNoIndent = -1;
  constexpr bool kEnsureAscii = true;
  return value.dump(kNoIndent, ' ', kEnsureAscii, ordered_json::error_handler_t::replace);
}

std::string FormatTime(wall_time time) {
  return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E6SZ", absl::FromChrono(time), absl::UTCTimeZone());
}

ordered_json ToJson(const log_value& value) {
  return std::visit([](const auto& inner) { return ordered_json(inner); }, value.value());
}

std::string NameOf(const log_field& field) {
  bool reserved = std::ranges::find(kReservedNames, field.name) != kReservedNames.end();
  return reserved ? "field_" + field.name : field.name;
}

bool NeedsNoQuotes(std::string_view text) {
  constexpr std::string_view kPlain = "-_.:/#+@,";
  return !text.empty() && std::ranges::all_of(text, [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kPlain.find(c) != std::string_view::npos;
  });
}

std::string ToKeyValueText(const ordered_json& value) {
  if (value.is_string() && NeedsNoQuotes(value.get_ref<const std::string&>())) {
    return value.get<std::string>();
  }
  return DumpAscii(value);
}

std::string ToKeyValueLine(const ordered_json& fact) {
  std::string line;
  for (const auto& [name, value] : fact.items()) {
    line += line.empty() ? "" : " ";
    line += name;
    line += '=';
    line += ToKeyValueText(value);
  }
  return line;
}

}  // namespace

absl::StatusOr<log_format> ParseLogFormat(std::string_view text) {
  if (text == "key_value") {
    return log_format::kKeyValue;
  }
  if (text == "json") {
    return log_format::kJson;
  }
  return MakeError(logging_error::kUnknownFormat,
                   "unknown log format '" + std::string(text) + "', allowed: key_value, json");
}

log_value::log_value(std::string_view text)
    : value_(std::string(text.substr(0, kMaxLoggedValueBytes))) {
  if (text.size() > kMaxLoggedValueBytes) {
    std::get<std::string>(value_) += "...";
  }
}

std::string FormatFact(log_format format, wall_time time, log_level level, std::string_view fact,
                       std::span<const log_field> fields) {
  ordered_json line;
  line["time"] = FormatTime(time);
  line["level"] = ToText(level);
  line["fact"] = fact;
  for (const log_field& field : fields) {
    line[NameOf(field)] = ToJson(field.value);
  }
  return format == log_format::kJson ? DumpAscii(line) : ToKeyValueLine(line);
}

}  // namespace wagtail
