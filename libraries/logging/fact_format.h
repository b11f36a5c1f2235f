#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "logging/log_level.h"
#include "logging/secret.h"

/// @file
/// A fact is one event worth a log line: a name in snake case and typed fields.

namespace wagtail {

/// Longest field value written, in bytes; longer ones are truncated.
inline constexpr size_t kMaxLoggedValueBytes = 2048;

/// Output format of facts.
enum class log_format { kKeyValue, kJson };

/// @return the format named `key_value` or `json`, or logging_error::kUnknownFormat
absl::StatusOr<log_format> ParseLogFormat(std::string_view text);

/// Value of a field; a secret is replaced by kRedacted on construction.
class log_value {
 public:
  // Implicit, so that fields can be written as {{"job", id}, {"started", 3}}.
  log_value(std::string_view text);
  log_value(const std::string& text) : log_value(std::string_view(text)) {}
  log_value(const char* text) : log_value(std::string_view(text)) {}
  log_value(const secret& /*hidden*/) : log_value(kRedacted) {}
  log_value(bool value) : value_(value) {}
  log_value(double value) : value_(value) {}
  template <std::signed_integral I>
  log_value(I value) : value_(static_cast<int64_t>(value)) {}
  template <std::unsigned_integral U>
  requires(!std::same_as<U, bool>) log_value(U value) : value_(static_cast<uint64_t>(value)) {}

  const auto& value() const { return value_; }

 private:
  std::variant<std::string, bool, int64_t, uint64_t, double> value_;
};

struct log_field {
  std::string name;  ///< snake case
  log_value value;
};

using wall_time = std::chrono::system_clock::time_point;

/// Formats a fact as one line without a line end, in ASCII whatever the values contain.
/// @param time time of the event, written in UTC with microseconds
/// @param fact name of the fact in snake case
/// @param fields written in the given order after time, level and fact; a field with one of
///   these names gets the prefix `field_`
std::string FormatFact(log_format format, wall_time time, log_level level, std::string_view fact,
                       std::span<const log_field> fields);

}  // namespace wagtail
