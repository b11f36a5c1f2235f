#include "logging/log_level.h"

#include <algorithm>
#include <array>
#include <string>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr std::array kLevels = {log_level::kDebug, log_level::kInfo, log_level::kWarning,
                                log_level::kError};

}  // namespace

std::string_view ToText(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  VERIFY_NOT_REACHED();
}

absl::StatusOr<log_level> ParseLogLevel(std::string_view text) {
  const auto* found = std::ranges::find(kLevels, text, ToText);
  if (found == kLevels.end()) {
    return MakeError(logging_error::kUnknownLevel, "unknown log level '" + std::string(text) +
                                                       "', allowed: debug, info, warning, error");
  }
  return *found;
}

}  // namespace wagtail
